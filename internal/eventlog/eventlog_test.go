package eventlog

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"net/url"
	"strings"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"heatherreel/internal/ledger"
	"heatherreel/internal/problem"
)

// decodeLines decodes the JSON lines in out.
func decodeLines(t *testing.T, out *bytes.Buffer) []map[string]any {
	t.Helper()
	var all []map[string]any
	for _, text := range strings.Split(strings.TrimSpace(out.String()), "\n") {
		var line map[string]any
		if err := json.Unmarshal([]byte(text), &line); err != nil {
			t.Fatalf("%v in %q", err, text)
		}
		all = append(all, line)
	}
	return all
}

// Guards against events with a number or name that is not unique or valid, errors without a remedy, and events caused
// by requests without a rate limit.
func TestCatalogueIsConsistent(t *testing.T) {
	numbers, names := map[int]bool{}, map[string]bool{}
	for _, e := range catalogue {
		if numbers[e.Number] || names[e.Name] {
			t.Errorf("event %d %s repeats a number or name", e.Number, e.Name)
		}
		numbers[e.Number], names[e.Name] = true, true
		if e.Number <= AreaProcess || e.Number >= AreaPeer+areaSize || e.Number%areaSize == 0 {
			t.Errorf("event %d %s is outside all areas", e.Number, e.Name)
		}
		if e.Text == "" || !isName(e.Name) || (e.Level == zerolog.ErrorLevel && e.Remedy == "") {
			t.Errorf("event %d %s lacks text, name or remedy", e.Number, e.Name)
		}
		if e.Number/areaSize == AreaRequest/areaSize && e.PerSecond == 0 {
			t.Errorf("event %d %s is caused by requests and has no rate limit", e.Number, e.Name)
		}
	}
}

// Guards against log lines without the event number, with a field in the wrong unit, or below the level of the logger.
func TestEmitWritesNumberAndFields(t *testing.T) {
	var out bytes.Buffer
	l := New(&out, zerolog.InfoLevel, Node{Instance: "i-1"})
	l.Emit(Joined, Incarnation(5), Duration("took", 1500*time.Microsecond), Witnesses([]ledger.Incarnation{1, 2}))
	l.Emit(SliceSettled)
	all := decodeLines(t, &out)
	if len(all) != 1 {
		t.Fatalf("%d lines, want only the one at info level", len(all))
	}
	for key, want := range map[string]any{"event": 301.0, "incarnation": 5.0, "took_ms": 1.5, "instance_name": "i-1"} {
		if all[0][key] != want {
			t.Errorf("%s = %v, want %v", key, all[0][key], want)
		}
	}
	if got := fmt.Sprint(all[0]["witnesses"]); got != "[1 2]" {
		t.Errorf("witnesses = %s", got)
	}
}

// Guards against requests that flood the log, and against suppressed events that are not counted.
func TestBulkEventsAreLimitedAndCounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		l := New(&out, zerolog.InfoLevel, Node{})
		for range 1000 {
			l.Emit(RequestsRefused)
		}
		time.Sleep(time.Second)
		l.Emit(RequestsRefused)
		for range 10 {
			l.Emit(RequestsRefused)
		}
		l.Flush()
		all := decodeLines(t, &out)
		if got, want := len(all), 2*bulkRate+1; got != want {
			t.Fatalf("%d lines, want %d", got, want)
		}
		if got := all[bulkRate]["suppressed"]; got != float64(1000-bulkRate) {
			t.Errorf("suppressed = %v, want %d", got, 1000-bulkRate)
		}
		if last := all[len(all)-1]; last["event"] != 108.0 || last["suppressed"] != float64(11-bulkRate) || last["suppressed_event"] != 502.0 {
			t.Errorf("last line = %v, want a count of 502", last)
		}
	})
}

// Guards against a key or a tenant's text that reaches the log in an error or in place of a name.
func TestFieldsOmitRequestText(t *testing.T) {
	wrapped := &url.Error{Op: "Get", URL: "http://10.0.0.1/v1/services/s/keys/secret", Err: syscall.ECONNREFUSED}
	for name, c := range map[string]struct {
		field Field
		want  string
	}{
		"url error":     {Cause(wrapped), "connection refused"},
		"problem":       {Cause(problem.New(problem.Malformed, "r", "key %q: %w", "secret", wrapped)), "malformed: connection refused"},
		"plain":         {Cause(errors.New("secret")), "other"},
		"service":       {Service("secret/key"), invalidName},
		"long":          {Instance(strings.Repeat("s", maxNameBytes+1)), invalidName},
		"kind from log": {RecordKind("secret key"), invalidName},
	} {
		t.Run(name, func(t *testing.T) {
			var out bytes.Buffer
			New(&out, zerolog.InfoLevel, Node{}).Emit(Joined, c.field)
			if got := decodeLines(t, &out)[0][c.field.key]; got != c.want {
				t.Errorf("%s = %v, want %q", c.field.key, got, c.want)
			}
		})
	}
}

// BenchmarkSuppressed measures the cost of an event that is suppressed by its rate limit.
func BenchmarkSuppressed(b *testing.B) {
	l := New(&bytes.Buffer{}, zerolog.InfoLevel, Node{})
	b.ReportAllocs()
	for b.Loop() {
		l.Emit(RequestsRefused, Reason("queue_full"))
	}
}
