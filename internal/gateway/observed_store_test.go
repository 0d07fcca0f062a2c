package gateway

import (
	"bytes"
	"context"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"heatherreel/internal/eventlog"
	"heatherreel/internal/fake"
	"heatherreel/internal/problem"
	"heatherreel/internal/registry"
	"heatherreel/internal/telemetry"
)

// Guards against a read that is aborted during its transfer without a trace in the events and metrics.
func TestAbortedTransferIsReported(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const recordBytes, rate = 256 << 10, 128 << 10
		backing := fake.NewPlatformStore()
		backing.SetLink(rate, 14<<10, "i-1")
		var log bytes.Buffer
		metrics, err := telemetry.NewMetrics()
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = metrics.Shutdown(context.Background()) }()
		s := observedStore{backing.ClientFor("i-1"), eventlog.New(&log, zerolog.InfoLevel, eventlog.Node{Instance: "i-1"}), metrics}
		record := registry.Record{Key: "k", Value: make([]byte, recordBytes)}
		if _, err := s.Append(t.Context(), "topic", 0, record); err != nil {
			t.Fatal(err)
		}
		if _, err := s.Append(t.Context(), "topic", 0, record); problem.KindOf(err) != problem.Conflict || log.Len() > 0 {
			t.Errorf("append at an outdated end: %v, events %s", err, &log)
		}
		// Half of the record arrives within a second.
		for _, abort := range []struct {
			ended string
			start func() (context.Context, context.CancelFunc)
		}{
			{"timed_out", func() (context.Context, context.CancelFunc) { return context.WithTimeout(t.Context(), time.Second) }},
			{"interrupted", func() (context.Context, context.CancelFunc) {
				ctx, cancel := context.WithCancel(t.Context())
				time.AfterFunc(time.Second, cancel)
				return ctx, cancel
			}},
		} {
			// The link carries the rest of the last segment.
			time.Sleep(time.Second)
			ctx, cancel := abort.start()
			if _, err := s.Read(ctx, "topic", 0, 0); err == nil {
				t.Errorf("%s: the read completed", abort.ended)
			}
			cancel()
			for _, field := range []string{`"event":220`, `"ended":"` + abort.ended + `"`, `"operation":"read"`, `"received_bytes":129024`, `"took_ms":1000`} {
				if !strings.Contains(log.String(), field) {
					t.Errorf("no field %s in %s", field, &log)
				}
			}
			log.Reset()
		}
		if _, err := s.Read(t.Context(), "topic", 0, 0); err != nil {
			t.Error(err)
		}
		w := httptest.NewRecorder()
		metrics.Handler().ServeHTTP(w, httptest.NewRequest("GET", "/metrics", nil))
		for _, line := range []string{"heatherreel_store_received_bytes_total 520193", "heatherreel_store_discarded_bytes_total 258048"} {
			if !strings.Contains(w.Body.String(), line) {
				t.Errorf("no line %s in\n%s", line, w.Body)
			}
		}
	})
}
