package gateway

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"heatherreel/internal/request"
)

// Guards against requests that start on a machine that is slow at the moment, while another backend server is free. The nodes
// that send them know nothing of it.
func TestSlowMachineDivertsRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t)
		defer w.close()
		w.publish(1, true)
		for i := range 3 {
			w.add(fmt.Sprintf("f%d", i), "free", "r1")
		}
		for i := range 8 {
			w.add(fmt.Sprintf("k%d", i), "keyed", "r1")
		}
		time.Sleep(settled)
		for i := range 3 {
			w.setFigure(fmt.Sprintf("f%d", i), 1)
			w.hosts[fmt.Sprintf("f%d", i)].gateway.server.observe(1)
		}
		w.setFigure("f0", 3)
		for i := range 8 {
			w.hosts["f0"].gateway.server.observe(3)
			started := time.Now()
			a := w.ask(fmt.Sprintf("k%d", i), fmt.Sprintf("slow-%d", i), "/free/", -1, time.Second)
			if a.Outcome != request.Done || time.Since(started) > 150*time.Millisecond {
				t.Errorf("request %d: %v %q by %s after %v", i, a.Outcome, a.Reason, a.Instance, time.Since(started))
			}
		}
		for i := range 3 {
			w.setFigure(fmt.Sprintf("f%d", i), 3)
			w.hosts[fmt.Sprintf("f%d", i)].gateway.server.observe(3)
		}
		if a := w.ask("f0", "all-slow", "/free/", -1, time.Second); a.Outcome != request.Done {
			t.Errorf("with all machines slow: %v %q", a.Outcome, a.Reason)
		}
	})
}

// Guards against requests for keys that start on a machine that is slow at the moment and take three times as long.
func TestKeyedRequestsWaitForSlowMachine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t)
		defer w.close()
		w.publish(1, true)
		w.add("k0", "keyed", "r1")
		time.Sleep(settled)
		w.setFigure("k0", 1)
		for i := range 5 {
			w.ask("k0", fmt.Sprintf("usual-%d", i), "/keyed/", 7, time.Second)
		}
		w.setFigure("k0", 3)
		started := time.Now()
		done := make(chan time.Duration)
		go func() {
			// The first answer after the change shows that the machine is slow.
			w.ask("k0", "first", "/keyed/", 7, 2*time.Second)
			again := time.Now()
			w.ask("k0", "second", "/keyed/", 8, 2*time.Second)
			done <- time.Since(again)
		}()
		time.Sleep(350 * time.Millisecond)
		w.setFigure("k0", 1)
		if took := <-done; took > 250*time.Millisecond {
			t.Errorf("the second request took %v, %v after the spell began", took, time.Since(started))
		}
	})
}

// Guards against keys that are given out by slots alone: a machine that takes three times as long must not get as many.
func TestFastMachinesGetMoreKeys(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t)
		defer w.close()
		w.publish(1, true)
		for i, figure := range []float64{0.5, 1, 1.5} {
			name := fmt.Sprintf("k%d", i)
			w.add(name, "keyed", "r1")
			w.setFigure(name, figure)
		}
		time.Sleep(settled)
		table, _ := w.hosts["k0"].gateway.ranges.get("keyed")
		keys := map[string]int{}
		for _, r := range table.Ranges {
			keys[r.Owner.Instance] += int(r.To) - int(r.From) + 1
		}
		if keys["k0"] < 3*keys["k1"] || keys["k1"] < 2*keys["k2"] || keys["k2"] == 0 {
			t.Errorf("keys by instance: %v", keys)
		}
	})
}

// Guards against endless questions to backend servers that tell no figure.
func TestSilentFigureIsNotAskedForEver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := fleet(t)
		defer w.close()
		time.Sleep(30 * time.Second)
		for i := range 20 {
			w.ask("f0", fmt.Sprintf("plain-%d", i), "/keyed/", i*3000, time.Second)
		}
		// Four backend servers, six questions each.
		if w.figuresAsked > 4*6 {
			t.Errorf("four backend servers without figures were asked %d times", w.figuresAsked)
		}
	})
}
