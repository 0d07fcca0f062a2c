package gateway

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"heatherreel/internal/request"
	"heatherreel/internal/route"
	"heatherreel/internal/routed"
)

const (
	// slowPath delays answers for longer than the silence limit.
	slowPath = 1500 * time.Millisecond
	// secondSendTimeout is the deadline of requests whose first send may be silent.
	secondSendTimeout = 4 * time.Second
)

// startSilentFleet starts a fleet in which the path from f0, which is nearer to k0 than f1, is slow.
func startSilentFleet(t *testing.T, delay time.Duration) *simulation {
	sim := startFleet(t)
	sim.mu.Lock()
	defer sim.mu.Unlock()
	sim.answerDelays = map[string]time.Duration{"f0": delay}
	return sim
}

// sendTimed sends a request through k0 and returns the answer and how long it took.
func (sim *simulation) sendTimed(id string) (routed.Answer, time.Duration) {
	started := time.Now()
	a := sim.sendRequest("k0", id, "/free/", -1, secondSendTimeout)
	return a, time.Since(started)
}

// Guards against answering "unknown" for a request whose first send is answered late, because the second one was refused
// or could not be made.
func TestSilentSendIsAwaitedWhenSecondFails(t *testing.T) {
	for _, reason := range []request.Reason{request.QueueFull, request.Stopping, request.NoServer} {
		t.Run(string(reason), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				sim := startSilentFleet(t, slowPath)
				defer sim.close()
				sim.mu.Lock()
				sim.refusals = map[string]request.Reason{"f1": reason}
				sim.mu.Unlock()
				for i := range 4 {
					time.Sleep(maxUnreachableBackoff)
					id := fmt.Sprintf("r-%d", i)
					if a, took := sim.sendTimed(id); a.Outcome != request.Done || sim.runs[id] != 1 {
						t.Errorf("%s ran %d times and got %v %q after %v, want the answer of the first send", id, sim.runs[id], a.Outcome, a.Reason, took)
					}
				}
			})
		})
	}
}

// Guards against answering "unknown" for a request whose second send was never made: the retry budget is used up, no
// worker is free, or the request may not run twice.
func TestSilentSendIsAwaitedWithoutSecond(t *testing.T) {
	for name, prevent := range map[string]func(sim *simulation){
		"retry budget": func(sim *simulation) {
			g := sim.instances["k0"].gateway
			g.SetLimits(Limits{})
			for g.members.takeRetry("free", time.Now()) {
			}
		},
		"no worker":       func(sim *simulation) { sim.instances["k0"].gateway.secondSendPool.Stop() },
		"not idempotent":  func(sim *simulation) { sim.publish(2, false) },
		"no other server": func(sim *simulation) { sim.killGateway("f1") },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				sim := startSilentFleet(t, slowPath)
				defer sim.close()
				prevent(sim)
				time.Sleep(time.Second)
				if a, took := sim.sendTimed("r"); a.Outcome != request.Done || string(a.Body) != "f0" || sim.runs["r"] != 1 {
					t.Errorf("the request ran %d times and got %v %q of %q after %v, want the answer of f0", sim.runs["r"], a.Outcome, a.Reason, a.Body, took)
				}
			})
		})
	}
}

// Guards against waiting for a silent node when another one answers, and against leaving the silent call open then.
func TestSecondSendAnswersFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sim := startSilentFleet(t, secondSendTimeout)
		defer sim.close()
		const serviceTime = 100 * time.Millisecond
		a, took := sim.sendTimed("r")
		if limit := 2*serviceTime + silenceLimit; a.Outcome != request.Done || string(a.Body) != "f1" || took > limit {
			t.Errorf("got %v %q of %q after %v, want an answer of f1 within %v", a.Outcome, a.Reason, a.Body, took, limit)
		}
		synctest.Wait()
		members := sim.instances["k0"].gateway.members
		members.mu.Lock()
		defer members.mu.Unlock()
		if p := members.peers["f0"]; p.pendingRequests != 0 || p.failures != 1 {
			t.Errorf("the call to f0 left %d pending requests and %d failures, want 0 and 1", p.pendingRequests, p.failures)
		}
	})
}

// Guards against charging the retry budget more than once for a second send, and against a third attempt.
func TestSecondSendTakesOneRetry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sim := startSilentFleet(t, slowPath)
		defer sim.close()
		g := sim.instances["k0"].gateway
		g.SetLimits(Limits{Retry: RetryLimits{Ratio: 2.5, Window: time.Hour}})
		sim.mu.Lock()
		sim.answerDelays["f1"] = slowPath
		sim.mu.Unlock()
		if a, took := sim.sendTimed("r"); a.Outcome != request.Done || string(a.Body) != "f0" || sim.runs["r"] != 2 {
			t.Errorf("the request ran %d times and got %v %q of %q after %v, want the answer of f0 after two runs", sim.runs["r"], a.Outcome, a.Reason, a.Body, took)
		}
		// The request added two retries, and there is no floor.
		if now := time.Now(); !g.members.takeRetry("free", now) || g.members.takeRetry("free", now) {
			t.Error("the second send did not take one retry")
		}
	})
}

// Guards against an answer after the deadline, and against a refusal of a request that may have run.
func TestSilentSendEndsAtDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sim := startSilentFleet(t, time.Hour)
		defer sim.close()
		sim.mu.Lock()
		sim.refusals = map[string]request.Reason{"f1": request.QueueFull}
		sim.mu.Unlock()
		if a, took := sim.sendTimed("r"); a.Outcome != request.Unknown || took < secondSendTimeout || took > secondSendTimeout+answerGrace {
			t.Errorf("got %v %q after %v, want an unknown outcome at the deadline", a.Outcome, a.Reason, took)
		}
	})
}

// Guards against an unknown outcome of a request that both nodes refused.
func TestRefusalsOfBothSendsAreReported(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sim := startSilentFleet(t, slowPath)
		defer sim.close()
		sim.mu.Lock()
		sim.refusals = map[string]request.Reason{"f0": request.QueueFull, "f1": request.QueueFull}
		sim.mu.Unlock()
		if a, took := sim.sendTimed("r"); a.Outcome != request.NotRun || a.Reason != request.QueueFull {
			t.Errorf("got %v %q after %v, want a refusal", a.Outcome, a.Reason, took)
		}
	})
}

// Guards against a refusal of a request that the second send still runs at the deadline.
func TestRunningSecondSendIsNotRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sim := startSilentFleet(t, slowPath)
		defer sim.close()
		sim.mu.Lock()
		sim.refusals = map[string]request.Reason{"f0": request.QueueFull}
		sim.answerDelays["f1"] = secondSendTimeout
		sim.mu.Unlock()
		for i := range 20 {
			time.Sleep(maxUnreachableBackoff)
			id := fmt.Sprintf("r-%d", i)
			if a, took := sim.sendTimed(id); sim.runs[id] > 0 && a.Outcome != request.Unknown || took > secondSendTimeout+answerGrace {
				t.Errorf("%s ran %d times and got %v %q after %v, want an unknown outcome", id, sim.runs[id], a.Outcome, a.Reason, took)
			}
		}
	})
}

// Guards against a request for a key that waits on a dead connection until its deadline, although its owner answers on
// another one, or is unknown because the owner has no room for the second send at first.
func TestRequestForKeyIsSentAgainToOwner(t *testing.T) {
	for name, refusedFor := range map[string]time.Duration{"at once": 0, "after refusals": time.Second} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				sim := startFleet(t)
				defer sim.close()
				key := sim.ownedKey("k1", "k0")
				sim.mu.Lock()
				sim.deadConnections = map[string]int{"k1": 1}
				sim.mu.Unlock()
				refuse := func(reasons map[string]request.Reason) func() {
					return func() {
						sim.mu.Lock()
						defer sim.mu.Unlock()
						sim.refusals = reasons
					}
				}
				if refusedFor > 0 {
					time.AfterFunc(silenceLimit/2, refuse(map[string]request.Reason{"k1": request.QueueFull}))
					time.AfterFunc(silenceLimit+refusedFor, refuse(nil))
				}
				started := time.Now()
				a := sim.sendRequest("k0", "r", "/keyed/", key, secondSendTimeout)
				if took, limit := time.Since(started), silenceLimit+refusedFor+2*ownerRetryInterval; a.Outcome != request.Done || took > limit {
					t.Errorf("got %v %q after %v, want an answer within %v", a.Outcome, a.Reason, took, limit)
				}
			})
		})
	}
}

// Guards against more attempts than the route allows when the second send fails too.
func TestSecondSendCountsAsAttempt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sim := startFleet(t)
		defer sim.close()
		key := sim.ownedKey("k1", "k0")
		sim.mu.Lock()
		sim.deadConnections = map[string]int{"k1": 1}
		sim.loseAnswerEvery = 1
		sim.mu.Unlock()
		sim.instances["k0"].gateway.SetLimits(Limits{Retry: RetryLimits{Ratio: 5, Window: time.Hour}})
		if a := sim.sendRequest("k0", "r", "/keyed/", key, secondSendTimeout); a.Outcome != request.Unknown || sim.runs["r"] != 2 {
			t.Errorf("the request ran %d times and got %v %q, want an unknown outcome after the two attempts of its route", sim.runs["r"], a.Outcome, a.Reason)
		}
	})
}

// Guards against a second send that goes on after the first one was answered.
func TestAnswerOfFirstSendCancelsSecond(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sim := startSilentFleet(t, slowPath)
		defer sim.close()
		sim.mu.Lock()
		sim.instances["f1"].server.serviceTime = secondSendTimeout
		sim.mu.Unlock()
		if a, took := sim.sendTimed("r"); a.Outcome != request.Done || string(a.Body) != "f0" || sim.runs["r"] != 2 {
			t.Errorf("the request ran %d times and got %v %q of %q after %v, want the answer of f0", sim.runs["r"], a.Outcome, a.Reason, a.Body, took)
		}
		synctest.Wait()
		if load := sim.instances["f1"].gateway.server.load(time.Now()); load.Running != 0 {
			t.Errorf("f1 still runs %d requests", load.Running)
		}
	})
}

// Guards against a third send beside two that are awaited: its job would wait for another one of its own pool.
func TestSecondSendIsNotRepeated(t *testing.T) {
	a := activeRequest{request: routed.Request{Idempotent: true}, route: &route.Route{MaxAttempts: 5}}
	if got := a.repetition(); got != routed.RepeatedElsewhere {
		t.Errorf("the first send: %v, want %v", got, routed.RepeatedElsewhere)
	}
	a.awaited = "f0"
	if got := a.repetition(); got != routed.NotRepeated {
		t.Errorf("the second send: %v, want %v", got, routed.NotRepeated)
	}
}
