package daemon

import (
	"bytes"
	"context"
	"errors"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"heatherreel/internal/settings"
)

// logBuffer is a log that tests can read while it is written.
type logBuffer struct {
	mu   sync.Mutex
	data bytes.Buffer
}

func (b *logBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.data.Write(p)
}

func (b *logBuffer) countEvents(name string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return strings.Count(b.data.String(), `"name":"`+name+`"`)
}

// Guards against a settings change that is not noticed, an invalid change that has any effect, and a change reported
// only as in force although it needs a restart.
func TestSettingsReload(t *testing.T) {
	s := settings.Gateway{Instance: "i-1", DataCentre: "west-a", Region: "emea-west", Service: "orders", BackendAddress: "127.0.0.1:1",
		StoreAddress: "127.0.0.1:1", MemoryMB: 284, CPUShare: 1, DrainMS: 2000, ShutdownS: 6, RetryRatio: 0.2, RetryWindowS: 10, RetryFloor: 62, NestedCalls: true}
	log := &logBuffer{}
	d, err := newGatewayDaemon(s, log)
	if err != nil {
		t.Fatal(err)
	}
	next, loadErr := s, error(nil)
	var mu sync.Mutex
	changed := make(chan os.Signal)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		d.watchSettings(ctx, SettingsSource{Changed: changed, Load: func() (settings.Gateway, error) {
			mu.Lock()
			defer mu.Unlock()
			return next, loadErr
		}})
	}()
	// reload changes the settings and returns when the daemon has read them. The second signal is received only after
	// the first one was handled.
	reload := func(s settings.Gateway, err error) {
		mu.Lock()
		next, loadErr = s, err
		mu.Unlock()
		changed <- syscall.SIGHUP
		changed <- syscall.SIGHUP
	}
	reload(s, nil)
	reload(settings.Gateway{}, errors.New("drain_ms must be positive"))
	longerDrain := s
	longerDrain.DrainMS = 3000
	reload(longerDrain, nil)
	movedStore := longerDrain
	movedStore.StoreAddress = "127.0.0.1:2"
	reload(movedStore, nil)
	cancel()
	<-done
	for name, want := range map[string]int{"settings_reloaded": 2, "settings_refused": 1, "settings_need_restart": 1} {
		if got := log.countEvents(name); got != want {
			t.Errorf("%d events %s, want %d", got, name, want)
		}
	}
	if d.settings.DrainTime() != 3*time.Second {
		t.Errorf("the drain time is %v, want 3s", d.settings.DrainTime())
	}
}
