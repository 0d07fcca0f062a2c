package gateway

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"heatherreel/internal/heartbeat"
	"heatherreel/internal/keyhold"
	"heatherreel/internal/problem"
	"heatherreel/internal/request"
	"heatherreel/internal/routed"
)

// fakeBackendServer holds the ranges that heartbeat replies grant, by a clock that runs 2% slow.
type fakeBackendServer struct {
	id            string
	startedUnixMS int64
	sequence      int64
	draining      bool
	held          map[[2]uint16]heldRange
	released      []keyhold.Released
	serviceTime   time.Duration
	// workFigure is the work figure that it reports; 0 for none.
	workFigure float64
	// highestFence is the highest fence under which it has held each 1024th key.
	highestFence [64]uint64
	// running are the keys of the requests in progress, and idle is closed and replaced when one of them ends.
	running []uint16
	idle    chan struct{}
	// granted are the spans that calls granted; seen are the highest fences of the spans that it was ever granted.
	granted []grantedSpan
	seen    []keyhold.Span
	// ended is closed when the incarnation ends.
	ended chan struct{}
}

type heldRange struct {
	fence uint64
	until time.Time
}

// Intervals of the fake backend server's heartbeats.
const (
	heartbeatInterval         = 870 * time.Millisecond
	releasedHeartbeatInterval = 100 * time.Millisecond
	// replyDelay is the time from a reply until the backend server holds the ranges that it grants.
	replyDelay = 5 * time.Millisecond
)

// startServer starts a new incarnation of the backend server.
func (sim *simulation) startServer(name string) {
	sim.mu.Lock()
	inst := sim.instances[name]
	s := &fakeBackendServer{id: fmt.Sprintf("s-%s-%d", name, time.Now().UnixMilli()), startedUnixMS: time.Now().UnixMilli(), held: map[[2]uint16]heldRange{},
		serviceTime: 100 * time.Millisecond}
	if sim.reuseServerIDs {
		s.id = "s-" + name
	}
	s.ended = make(chan struct{})
	inst.server = s
	sim.mu.Unlock()
	sim.group.Add(1)
	go func() {
		defer sim.group.Done()
		sim.sendHeartbeats(inst, s)
	}()
}

// stopServer ends the backend server.
func (sim *simulation) stopServer(name string) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	inst := sim.instances[name]
	if s := inst.server; s != nil {
		for i := range s.highestFence {
			inst.earlierFence[i] = max(inst.earlierFence[i], s.highestFence[i])
		}
		close(s.ended)
	}
	inst.server = nil
}

// sendHeartbeats sends the heartbeats of one incarnation until it ends.
func (sim *simulation) sendHeartbeats(inst *simulatedInstance, s *fakeBackendServer) {
	for {
		wait := heartbeatInterval
		if sim.sendHeartbeat(inst, s) {
			wait = releasedHeartbeatInterval
		}
		timer := time.NewTimer(wait)
		select {
		case <-timer.C:
		case <-sim.stop:
			timer.Stop()
			return
		}
		sim.mu.Lock()
		over := inst.server != s
		sim.mu.Unlock()
		if over {
			return
		}
	}
}

// sendHeartbeat sends one heartbeat and applies its reply. It reports whether ranges were released.
func (sim *simulation) sendHeartbeat(inst *simulatedInstance, s *fakeBackendServer) bool {
	sent := time.Now()
	sim.mu.Lock()
	g := inst.gateway
	if inst.server != s || sim.heldHeartbeats[inst.self.Instance] {
		sim.mu.Unlock()
		return false
	}
	m := heartbeatOf(inst)
	sim.mu.Unlock()
	if g == nil {
		return false
	}
	reply, err := g.Heartbeat(m)
	sleep(context.Background(), replyDelay)
	if err != nil {
		// A departure that cannot be stored is not acknowledged; the next heartbeat reports it again.
		if !m.Draining || problem.KindOf(err) != problem.Unavailable {
			sim.t.Errorf("heartbeat of %s: %v", inst.self.Instance, err)
		}
		return false
	}
	sim.mu.Lock()
	defer sim.mu.Unlock()
	s.released = nil
	if reply.Hold == 0 || inst.server != s {
		return false
	}
	kept := map[[2]uint16]heldRange{}
	for _, r := range reply.Spans {
		kept[[2]uint16{r.From, r.To}] = heldRange{fence: r.Fence, until: sent.Add(reply.Hold * 102 / 100)}
		sim.checkFence(inst, s, r)
	}
	for span, held := range s.held {
		if _, stays := kept[span]; !stays && held.until.After(sent) && !slices.ContainsFunc(reply.Spans, func(r keyhold.Span) bool { return r.Overlaps(span[0], span[1]) }) {
			s.released = append(s.released, keyhold.Released{From: span[0], To: span[1], HandoverToken: "from-" + s.id})
		}
	}
	s.held = kept
	sim.checkOwners()
	return len(s.released) > 0
}

// heartbeatOf returns the next heartbeat of a running backend server.
func heartbeatOf(inst *simulatedInstance) heartbeat.Message {
	s := inst.server
	s.sequence++
	m := heartbeat.Message{Server: s.id, Service: inst.self.Service, Address: inst.self.BackendAddress, Draining: s.draining, Slots: 8,
		StartedUnixMS: s.startedUnixMS, Sequence: s.sequence, KeysReported: inst.self.Service == "keyed" && !inst.sim.direct, Freed: s.released}
	for span, held := range s.held {
		if held.until.After(time.Now()) {
			m.Holds = append(m.Holds, heartbeat.Held{From: span[0], To: span[1], Fence: held.fence})
		}
	}
	return m
}

// checkFence fails the test if a backend server takes a range under a fence that is not above all fences that the other
// backend servers of its service had for it. It checks each 1024th key.
func (sim *simulation) checkFence(inst *simulatedInstance, s *fakeBackendServer, r keyhold.Span) {
	for name, other := range sim.instances {
		if other == inst || other.server == nil || other.self.Service != inst.self.Service {
			continue
		}
		for i := int(r.From) / 1024; i <= int(r.To)/1024; i++ {
			key := uint16(i * 1024)
			if r.Overlaps(key, key) && other.server.highestFence[i] >= r.Fence {
				sim.t.Errorf("%s takes key %d with fence %d; %s had %d", inst.self.Instance, key, r.Fence, name, other.server.highestFence[i])
			}
		}
	}
	for i := int(r.From) / 1024; i <= int(r.To)/1024; i++ {
		if key := uint16(i * 1024); r.Overlaps(key, key) {
			if inst.earlierFence[i] >= r.Fence {
				sim.t.Errorf("%s takes key %d with fence %d; its earlier incarnation had %d", inst.self.Instance, key, r.Fence, inst.earlierFence[i])
			}
			s.highestFence[i] = max(s.highestFence[i], r.Fence)
		}
	}
}

func (s *fakeBackendServer) holds(key uint16, now time.Time) bool {
	if slices.ContainsFunc(s.granted, func(g grantedSpan) bool { return g.Overlaps(key, key) && g.until.After(now) }) {
		return true
	}
	for span, held := range s.held {
		if span[0] <= key && key <= span[1] && held.until.After(now) {
			return true
		}
	}
	return false
}

// Exchange implements Backend.
func (inst *simulatedInstance) Exchange(ctx context.Context, e routed.Exchange) routed.Answer {
	inst.sim.mu.Lock()
	s := inst.server
	switch {
	case s == nil:
		inst.sim.mu.Unlock()
		refused := routed.NotRun(request.BackendUnreachable, 0)
		refused.ConnectionRefused = true
		return refused
	case s.id != e.Server || inst.self.Service == "keyed" && !s.holds(e.Request.Key, time.Now()):
		inst.sim.misdirected++
		inst.sim.mu.Unlock()
		refused := routed.NotRun(request.BackendChanged, 0)
		refused.ReachedServer = true
		return refused
	}
	inst.sim.runs[e.Request.ID]++
	inst.sim.exchanges++
	s.running = append(s.running, e.Request.Key)
	defer inst.endRun(s, e.Request.Key)
	serviceTime := s.serviceTime
	lost := inst.sim.loseAnswerEvery > 0 && inst.sim.exchanges%inst.sim.loseAnswerEvery == 0
	onRun := inst.sim.onRun
	inst.sim.mu.Unlock()
	if onRun != nil {
		onRun(ctx, inst, e.Request)
	}
	timer := time.NewTimer(serviceTime)
	defer timer.Stop()
	select {
	case <-timer.C:
		if lost {
			return routed.OutcomeUnknown(request.ConnectionLost)
		}
		return routed.Answer{Outcome: request.Done, Status: 200, Body: []byte(inst.self.Instance), ReachedServer: true, WorkFigure: inst.sim.workFigure(s)}
	case <-ctx.Done():
		if errors.Is(ctx.Err(), context.Canceled) {
			return routed.OutcomeUnknown(request.Canceled)
		}
		return routed.OutcomeUnknown(request.DeadlineExceeded)
	}
}

// WorkFigure implements Backend.
func (inst *simulatedInstance) WorkFigure(context.Context, string, string) (float64, error) {
	inst.sim.mu.Lock()
	s := inst.server
	inst.sim.workFigureQueries++
	inst.sim.mu.Unlock()
	if s == nil {
		return 0, problem.New(problem.Unavailable, "start the backend server", "no backend server")
	}
	if workFigure := inst.sim.workFigure(s); workFigure > 0 {
		return workFigure, nil
	}
	return 0, problem.New(problem.Unavailable, "check the backend server", "no work figure")
}

func (sim *simulation) workFigure(s *fakeBackendServer) float64 {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	return s.workFigure
}

// setWorkFigure sets the speed of a backend server's machine: requests that start from now on take the work figure
// times 100 ms.
func (sim *simulation) setWorkFigure(name string, workFigure float64) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	s := sim.instances[name].server
	s.workFigure, s.serviceTime = workFigure, time.Duration(workFigure*float64(100*time.Millisecond))
}

// CloseIdleConnections implements Backend.
func (inst *simulatedInstance) CloseIdleConnections() {}
