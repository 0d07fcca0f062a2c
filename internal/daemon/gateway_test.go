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

// output is a log that tests read while it is written.
type output struct {
	mu   sync.Mutex
	data bytes.Buffer
}

func (o *output) Write(p []byte) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.data.Write(p)
}

func (o *output) count(name string) int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return strings.Count(o.data.String(), `"name":"`+name+`"`)
}

// Guards against a change of the settings file that is not noticed, one with faults that changes anything, and one that is
// said to be in force although it needs a restart.
func TestSettingsAreFollowed(t *testing.T) {
	s := settings.Gateway{Instance: "i-1", DataCentre: "west-a", Region: "emea-west", Service: "orders", BackendAddress: "127.0.0.1:1",
		StoreAddress: "127.0.0.1:1", MemoryMB: 284, CPUShare: 1, DrainMS: 2000, ShutdownS: 6, RetryRatio: 0.2, RetryWindowS: 10, RetryFloor: 62}
	log := &output{}
	d, err := newGatewayDaemon(s, log)
	if err != nil {
		t.Fatal(err)
	}
	next, fault := s, error(nil)
	var mu sync.Mutex
	changed := make(chan os.Signal)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		d.follow(ctx, GatewaySource{Changed: changed, Load: func() (settings.Gateway, error) {
			mu.Lock()
			defer mu.Unlock()
			return next, fault
		}})
	}()
	// set changes the file and returns when the daemon has read it and asks for the next signal.
	set := func(s settings.Gateway, err error) {
		mu.Lock()
		next, fault = s, err
		mu.Unlock()
		changed <- syscall.SIGHUP
		changed <- syscall.SIGHUP
	}
	set(s, nil)
	set(settings.Gateway{}, errors.New("drain_ms must be positive"))
	drains := s
	drains.DrainMS = 3000
	set(drains, nil)
	moved := drains
	moved.StoreAddress = "127.0.0.1:2"
	set(moved, nil)
	cancel()
	<-done
	for name, want := range map[string]int{"settings_reloaded": 2, "settings_refused": 1, "settings_need_restart": 1} {
		if got := log.count(name); got != want {
			t.Errorf("%d events %s, want %d", got, name, want)
		}
	}
	if d.settings.Drain() != 3*time.Second {
		t.Errorf("a backend server drains for %v", d.settings.Drain())
	}
}
