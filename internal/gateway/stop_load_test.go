package gateway

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"heatherreel/internal/node"
	"heatherreel/internal/problem"
	"heatherreel/internal/request"
	"heatherreel/internal/routed"
)

// Times of the processes of a fleet under load.
const (
	// shutdownTime is the time that a stopping process has, less the part in which requests are ended.
	shutdownTime = 5300 * time.Millisecond
	// quietTime is how long a stopping process waits for requests that are on their way to it.
	quietTime = 500 * time.Millisecond
	// processStartTime is the time from the end of a process to the next one.
	processStartTime = 600 * time.Millisecond
	regionDelay      = 8 * time.Millisecond
	localDelay       = time.Millisecond
)

// process is one process of a gateway as the network sees it.
type process struct {
	gateway *Gateway
	// accepting is whether callers can open connections.
	accepting bool
	// callers and dispatches count the requests in progress.
	callers, dispatches int
	lastArrival         time.Time
}

// loadedFleet is a fleet whose requests take time on the network, so that they can meet the end of a process.
type loadedFleet struct {
	*simulation
	mu        sync.Mutex
	processes map[string]*process
	// congestion delays all data between the regions.
	congestion time.Duration
}

func startLoadedFleet(t *testing.T) *loadedFleet {
	f := &loadedFleet{simulation: startFleet(t), processes: map[string]*process{}}
	for name, inst := range f.instances {
		f.processes[name] = &process{gateway: inst.gateway, accepting: true}
	}
	f.network = f
	return f
}

// delay returns the time that data takes from one instance to another.
func (f *loadedFleet) delay(from, to string) time.Duration {
	if f.instances[from].self.Region == f.instances[to].self.Region {
		return localDelay
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return regionDelay + f.congestion
}

// dispatch carries a request to another instance and its answer back.
func (f *loadedFleet) dispatch(ctx context.Context, from, to string, r routed.Request, onSilent func(node.PeerState)) (routed.Answer, error) {
	lost := func(err error) (routed.Answer, error) {
		return routed.Answer{}, problem.New(problem.Unavailable, "check the node", "the connection to %s ended: %w", to, err)
	}
	f.mu.Lock()
	p := f.processes[to]
	f.mu.Unlock()
	if p == nil {
		return routed.Answer{}, problem.New(problem.NotSent, "check the node", "%s refuses connections", to)
	}
	if onSilent != nil && r.Repetition == routed.RepeatedElsewhere && 2*f.delay(from, to) > silenceLimit {
		silence := time.AfterFunc(silenceLimit, func() { onSilent(node.PeerSilent) })
		defer silence.Stop()
	}
	if !sleep(ctx, f.delay(from, to)) {
		return lost(ctx.Err())
	}
	f.mu.Lock()
	if f.processes[to] != p {
		f.mu.Unlock()
		return lost(context.Canceled)
	}
	p.dispatches++
	p.lastArrival = time.Now()
	f.mu.Unlock()
	answer := p.gateway.Dispatch(ctx, r, node.DispatchProgress{})
	f.mu.Lock()
	p.dispatches--
	f.mu.Unlock()
	if !sleep(ctx, f.delay(to, from)) {
		return lost(ctx.Err())
	}
	return answer, nil
}

// call sends a request of a caller through an instance; false if its process accepts none.
func (f *loadedFleet) call(through string, r routed.Request) (routed.Answer, bool) {
	f.mu.Lock()
	p := f.processes[through]
	if p == nil || !p.accepting {
		f.mu.Unlock()
		return routed.Answer{}, false
	}
	p.callers++
	f.mu.Unlock()
	answer := p.gateway.Route(context.Background(), r)
	f.mu.Lock()
	p.callers--
	f.mu.Unlock()
	return answer, true
}

// restart stops the process of an instance as the daemon does, and starts the next one.
func (f *loadedFleet) restart(name string) {
	f.mu.Lock()
	p := f.processes[name]
	f.mu.Unlock()
	if p == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTime)
	defer cancel()
	p.gateway.PrepareStop(ctx)
	closedAt := time.Now()
	f.mu.Lock()
	p.accepting = false
	f.mu.Unlock()
	f.await(ctx, func() bool { return p.callers == 0 })
	f.await(ctx, func() bool { return time.Since(closedAt) >= quietTime && time.Since(p.lastArrival) >= quietTime })
	if !f.await(ctx, func() bool { return p.dispatches == 0 }) {
		f.t.Errorf("%s was stopped while it ran requests", name)
		p.gateway.EndRequests()
	}
	f.mu.Lock()
	f.processes[name] = nil
	f.mu.Unlock()
	f.killGateway(name)
	time.Sleep(processStartTime)
	f.startGateway(name)
	f.mu.Lock()
	f.processes[name] = &process{gateway: f.instances[name].gateway, accepting: true}
	f.mu.Unlock()
}

// await waits until a condition holds. It returns false if ctx ends first.
func (f *loadedFleet) await(ctx context.Context, holds func() bool) bool {
	for {
		f.mu.Lock()
		ok := holds()
		f.mu.Unlock()
		if ok || !sleep(ctx, time.Millisecond) {
			return ok
		}
	}
}

// Guards against requests that end without the answer of the backend server that ran them because processes are stopped
// while requests run, wait in queues or are on their way, also over a slow path.
func TestStopsUnderLoadLoseNoAnswer(t *testing.T) {
	for name, stops := range map[string]func(f *loadedFleet){
		"ingress": func(f *loadedFleet) { f.restart("f0") },
		"owner":   func(f *loadedFleet) { f.restart("k1") },
		"both at once": func(f *loadedFleet) {
			var group sync.WaitGroup
			for _, name := range []string{"k1", "k0", "f0"} {
				group.Go(func() { f.restart(name) })
			}
			group.Wait()
		},
		"one after the other": func(f *loadedFleet) {
			var group sync.WaitGroup
			for i, name := range []string{"k0", "k1", "f0", "k2", "k3", "f1"} {
				group.Go(func() {
					time.Sleep(time.Duration(i) * 1300 * time.Millisecond)
					f.restart(name)
				})
			}
			group.Wait()
		},
		"twice in a row": func(f *loadedFleet) {
			f.restart("k1")
			f.restart("k1")
		},
	} {
		for _, congestion := range []time.Duration{0, 150 * time.Millisecond, 600 * time.Millisecond} {
			for seed := range uint64(scheduleCount(t) / 12) {
				t.Run(fmt.Sprintf("%s/delay=%v/seed=%d", name, congestion, seed), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) { stopUnderLoad(t, rand.New(rand.NewPCG(seed, 2)), congestion, stops) })
				})
			}
		}
	}
}

func stopUnderLoad(t *testing.T, random *rand.Rand, congestion time.Duration, stops func(*loadedFleet)) {
	// timeout ends before the shutdown time of a process that still accepted the request.
	const timeout = 2500 * time.Millisecond
	f := startLoadedFleet(t)
	defer f.close()
	names := []string{"k0", "k1", "k2", "k3", "f0", "f1"}
	f.simulation.mu.Lock()
	for _, name := range names {
		f.instances[name].server.serviceTime = time.Duration(50+random.IntN(250)) * time.Millisecond
	}
	f.simulation.mu.Unlock()
	f.publish(2, random.IntN(2) == 0)
	time.Sleep(time.Second)
	f.mu.Lock()
	f.congestion = congestion
	f.mu.Unlock()
	end := make(chan struct{})
	var callers sync.WaitGroup
	for c := range 10 + random.IntN(40) {
		callerRandom := rand.New(rand.NewPCG(random.Uint64(), uint64(c)))
		callers.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-end:
					return
				case <-time.After(time.Duration(1+callerRandom.IntN(100)) * time.Millisecond):
				}
				r := routed.Request{ID: fmt.Sprintf("r-%d-%d", c, n), Host: "h", Path: "/free/", Method: "GET", Deadline: time.Now().Add(timeout)}
				switch callerRandom.IntN(3) {
				case 0:
					r.Path, r.Keyed, r.Key = "/keyed/", true, uint16(callerRandom.IntN(65536))
				case 1:
					r.Path = "/home/" // not idempotent
				}
				through, began := names[callerRandom.IntN(len(names))], time.Now()
				a, accepted := f.call(through, r)
				f.simulation.mu.Lock()
				runs := f.runs[r.ID]
				f.simulation.mu.Unlock()
				switch took := time.Since(began); {
				case accepted && a.Outcome == request.Unknown && took < timeout:
					t.Errorf("%s %s through %s, last to %s, ran %d times and got %v %q after %v", r.ID, r.Path, through, a.Instance, runs, a.Outcome, a.Reason, took)
				case accepted && a.Outcome == request.NotRun && runs > 0:
					t.Errorf("%s %s through %s ran %d times and was refused as %q", r.ID, r.Path, through, runs, a.Reason)
				}
			}
		})
	}
	time.Sleep(500 * time.Millisecond)
	stops(f)
	time.Sleep(time.Second)
	close(end)
	callers.Wait()
}
