package gateway

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"heatherreel/internal/request"
)

// schedules is the number of random fault schedules; HEATHERREEL_GATEWAY_SCHEDULES raises it for a soak.
func schedules(t *testing.T) int {
	text := os.Getenv("HEATHERREEL_GATEWAY_SCHEDULES")
	if text == "" {
		return 12
	}
	n, err := strconv.Atoi(text)
	if err != nil {
		t.Fatal(err)
	}
	return n
}

// Guards against two owners, fences that fall, writes that run twice, refusals of what has run, and keys that stay
// unserved, under random faults that overlap.
func TestRandomFaults(t *testing.T) {
	for seed := range schedules(t) {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { randomFaults(t, rand.New(rand.NewPCG(uint64(seed), 1))) })
		})
	}
}

func randomFaults(t *testing.T, random *rand.Rand) {
	w := fleet(t)
	defer w.close()
	w.publish(2, false)
	time.Sleep(time.Second)
	w.mu.Lock()
	w.loseEvery = 5
	w.mu.Unlock()
	end := make(chan struct{})
	var callers sync.WaitGroup
	var mu sync.Mutex
	answers := map[string]request.Outcome{}
	for c := range 6 {
		own := rand.New(rand.NewPCG(random.Uint64(), uint64(c)))
		callers.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-end:
					return
				case <-time.After(time.Duration(1+own.IntN(200)) * time.Millisecond):
				}
				id := fmt.Sprintf("w-%d-%d", c, n)
				path, key := "/keyed/", own.IntN(65536)
				if own.IntN(2) == 0 {
					path, key = "/free/", -1
				}
				a := w.ask(fmt.Sprintf("k%d", own.IntN(4)), id, path, key, 1500*time.Millisecond)
				mu.Lock()
				answers[id] = a.Outcome
				mu.Unlock()
			}
		})
	}
	for range 8 {
		w.fault(random)
		time.Sleep(time.Duration(random.IntN(2500)) * time.Millisecond)
	}
	w.heal()
	time.Sleep(16 * time.Second)
	close(end)
	callers.Wait()
	if got := w.served("f0"); got != 1 {
		t.Errorf("%.2f of the keys are served after the faults", got)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for id, outcome := range answers {
		if n := w.runs[id]; n > 1 || n > 0 && outcome == request.NotRun || n == 0 && outcome == request.Done {
			t.Errorf("%s ran %d times and was answered %v", id, n, outcome)
		}
	}
}

// fault makes one random fault.
func (w *world) fault(random *rand.Rand) {
	name := fmt.Sprintf("k%d", random.IntN(4))
	w.mu.Lock()
	h := w.hosts[name]
	up, alive := h.gateway != nil, h.server != nil
	w.mu.Unlock()
	switch kind := random.IntN(9); {
	case kind == 0 && up:
		w.kill(name)
	case kind == 1 && !up:
		w.start(name)
	case kind == 2 && alive:
		w.stopServer(name)
	case kind == 3 && !alive:
		w.startServer(name)
	case kind == 4:
		w.mu.Lock()
		w.cut[name] = !w.cut[name]
		w.mu.Unlock()
	case kind == 5:
		w.log.SetRefused(name, random.IntN(2) == 0)
	case kind == 6:
		w.log.SetDown(random.IntN(3) == 0)
	case kind == 7:
		w.log.SetLost(random.IntN(2) == 0)
	case kind == 8 && alive:
		w.mu.Lock()
		h.server.draining = true
		w.mu.Unlock()
	}
}

// heal ends all faults.
func (w *world) heal() {
	w.mu.Lock()
	w.loseEvery = 0
	w.mu.Unlock()
	w.log.SetDown(false)
	w.log.SetLost(false)
	for name, h := range w.hosts {
		w.log.SetRefused(name, false)
		w.mu.Lock()
		w.cut[name] = false
		up, alive := h.gateway != nil, h.server != nil
		// A backend server that drains ends; another one takes its place.
		alive = alive && !h.server.draining
		w.mu.Unlock()
		if !alive {
			w.startServer(name)
		}
		if !up {
			w.start(name)
		}
	}
}
