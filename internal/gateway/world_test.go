package gateway

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"heatherreel/internal/eventlog"
	"heatherreel/internal/fake"
	"heatherreel/internal/heartbeat"
	"heatherreel/internal/keyrange"
	"heatherreel/internal/node"
	"heatherreel/internal/problem"
	"heatherreel/internal/registry"
	"heatherreel/internal/request"
	"heatherreel/internal/route"
	"heatherreel/internal/routed"
	"heatherreel/internal/telemetry"
)

// world is a fleet of gateways with backend servers beside them, in virtual time.
type world struct {
	t     *testing.T
	log   *fake.KeyedLog
	mu    sync.Mutex
	hosts map[string]*host
	// runs counts how often each request began at a backend server.
	runs map[string]int
	// cut are instances that no other one reaches.
	cut map[string]bool
	// loseEvery makes each so many-th answer of a backend server get lost; 0 for none.
	loseEvery, exchanges int
	// figuresAsked counts the questions after work figures.
	figuresAsked int
	// onDispatch is told of each request that one instance sends to another.
	onDispatch func(to string, r routed.Request)
	// silentAfterRun is an instance that nobody reaches any more after it has run a request.
	silentAfterRun string
	// misdirected counts requests for keys that the backend server did not hold.
	misdirected int
	// tables are the published configurations by their record.
	tables []*route.Table
	stop   chan struct{}
	group  sync.WaitGroup
}

// host is one instance: a gateway and the backend server beside it.
type host struct {
	w       *world
	self    Self
	gateway *Gateway
	server  *backendServer
	process int64
}

// backendServer is a stand-in that holds what heartbeats grant, by a clock that runs 2% slow.
type backendServer struct {
	id       string
	born     int64
	sequence int64
	draining bool
	held     map[[2]uint16]hold
	freed    []heartbeat.Freed
	work     time.Duration
	// figure is the work figure that it tells; 0 for none.
	figure  float64
	highest [64]uint64
}

type hold struct {
	fence uint64
	until time.Time
}

// Heartbeats of the stand-in.
const (
	beatInterval  = 870 * time.Millisecond
	releasedAgain = 100 * time.Millisecond
	// replyDelay is the time from a reply until the backend server holds what it grants.
	replyDelay = 5 * time.Millisecond
)

func newWorld(t *testing.T) *world {
	return &world{t: t, log: fake.NewKeyedLog(), hosts: map[string]*host{}, runs: map[string]int{}, cut: map[string]bool{},
		stop: make(chan struct{})}
}

// close stops everything, so that the bubble of the test can end.
func (w *world) close() {
	close(w.stop)
	for name := range w.hosts {
		w.kill(name)
	}
	w.group.Wait()
}

// publishCold puts a configuration in force in which backend servers are cold for 5 s and bear 5 requests a second then.
func (w *world) publishCold(revision uint64) {
	w.publishWith(revision, true, route.Service{Name: "free", ColdFor: 5 * time.Second, ColdRate: 5})
}

// publish puts a configuration in force; see publishWith.
func (w *world) publish(revision uint64, idempotent bool) {
	w.publishWith(revision, idempotent, route.Service{Name: "free"})
}

// publishWith puts a configuration in force: the routes /keyed/ and /free/, and /home/ that is confined to region r1.
func (w *world) publishWith(revision uint64, idempotent bool, free route.Service) {
	w.t.Helper()
	table, err := route.Build(revision, []route.Route{
		{Name: "keyed", Host: "h", Prefix: "/keyed/", Parts: []route.Part{{Service: "keyed", Weight: 1}}, Idempotent: idempotent, MaxAttempts: 2},
		{Name: "free", Host: "h", Prefix: "/free/", Parts: []route.Part{{Service: "free", Weight: 1}}, Idempotent: idempotent, MaxAttempts: 2},
		{Name: "home", Host: "h", Prefix: "/home/", Parts: []route.Part{{Service: "free", Weight: 1}}, HomeRegions: []string{"r1"}, MaxAttempts: 2},
	}, []route.Service{{Name: "keyed", Keyed: true}, free}, route.Limits{})
	if err != nil {
		w.t.Fatal(err)
	}
	w.mu.Lock()
	w.tables = append(w.tables, table)
	n := len(w.tables) - 1
	w.mu.Unlock()
	w.operate("config", fmt.Sprint(n))
}

// operate writes a record of the operators.
func (w *world) operate(key, value string) {
	if _, err := w.log.For("operator").Append(context.Background(), "operators", registry.Anywhere, registry.Record{Key: key, Value: []byte(value)}); err != nil {
		w.t.Error(err)
	}
}

func (w *world) decode(r registry.Record) (registry.OperatorWord, bool, error) {
	if zone, found := strings.CutPrefix(r.Key, "evacuate/"); found {
		return registry.OperatorWord{DataCentre: zone, Ended: len(r.Value) == 0}, true, nil
	}
	var n int
	if _, err := fmt.Sscan(string(r.Value), &n); err != nil {
		return registry.OperatorWord{}, false, problem.New(problem.Malformed, "publish again", "no configuration: %w", err)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	return registry.OperatorWord{Table: w.tables[n]}, true, nil
}

// add makes an instance with a running gateway and backend server.
func (w *world) add(name, service, region string) *host {
	h := &host{w: w, self: Self{Instance: name, Address: name, DataCentre: "dc-" + name, Region: region, Service: service,
		BackendAddress: "backend-" + name}}
	w.mu.Lock()
	w.hosts[name] = h
	w.mu.Unlock()
	w.startServer(name)
	w.start(name)
	return h
}

// start starts a new process of the gateway.
func (w *world) start(name string) {
	w.mu.Lock()
	h := w.hosts[name]
	h.process++
	self := h.self
	self.Incarnation = h.process
	metrics, err := telemetry.NewMetrics()
	if err != nil {
		w.t.Fatal(err)
	}
	tracing, err := telemetry.NewTracing(telemetry.OutputNone, 0, telemetry.Identity{})
	if err != nil {
		w.t.Fatal(err)
	}
	g := New(Options{Self: self, IngressWorkers: 64, IngressQueue: 64, BackendWorkers: 32,
		Limits: Limits{Retry: RetryLimits{Ratio: 0.2, Floor: 1, Window: 10 * time.Second}, DrainTime: 1500 * time.Millisecond}},
		Dependencies{Store: w.log.For(name), OperatorTopic: "operators", DecodeOperator: w.decode, Peers: &peers{w, name},
			Backend: h, Events: eventlog.Discard(), Metrics: metrics, Tracing: tracing, Now: func() keyrange.Instant { return keyrange.Instant(time.Now().UnixNano()) }})
	w.mu.Unlock()
	g.Start()
	w.mu.Lock()
	h.gateway = g
	w.mu.Unlock()
}

// kill ends the process of the gateway.
func (w *world) kill(name string) {
	w.mu.Lock()
	g := w.hosts[name].gateway
	w.hosts[name].gateway = nil
	w.mu.Unlock()
	if g != nil {
		g.Close()
	}
}

// startServer starts a new life of the backend server.
func (w *world) startServer(name string) {
	w.mu.Lock()
	h := w.hosts[name]
	s := &backendServer{id: fmt.Sprintf("s-%s-%d", name, time.Now().UnixMilli()), born: time.Now().UnixMilli(), held: map[[2]uint16]hold{},
		work: 100 * time.Millisecond}
	h.server = s
	w.mu.Unlock()
	w.group.Add(1)
	go func() {
		defer w.group.Done()
		w.beat(h, s)
	}()
}

// stopServer ends the backend server.
func (w *world) stopServer(name string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.hosts[name].server = nil
}

// beat sends heartbeats of one life until it ends.
func (w *world) beat(h *host, s *backendServer) {
	for {
		wait := beatInterval
		if w.beatOnce(h, s) {
			wait = releasedAgain
		}
		timer := time.NewTimer(wait)
		select {
		case <-timer.C:
		case <-w.stop:
			timer.Stop()
			return
		}
		w.mu.Lock()
		over := h.server != s
		w.mu.Unlock()
		if over {
			return
		}
	}
}

// beatOnce sends one heartbeat and applies its reply; it reports whether ranges were released.
func (w *world) beatOnce(h *host, s *backendServer) bool {
	sent := time.Now()
	w.mu.Lock()
	g := h.gateway
	s.sequence++
	m := heartbeat.Message{Server: s.id, Service: h.self.Service, Address: h.self.BackendAddress, Draining: s.draining, Slots: 8,
		Born: s.born, Sequence: s.sequence, Freed: s.freed}
	for span, held := range s.held {
		if held.until.After(sent) {
			m.Holds = append(m.Holds, heartbeat.Held{From: span[0], To: span[1], Fence: held.fence})
		}
	}
	w.mu.Unlock()
	if g == nil {
		return false
	}
	reply, err := g.Heartbeat(m)
	pause(context.Background(), replyDelay)
	if err != nil {
		// A departure that cannot be stored is not acknowledged; the next heartbeat tells of it again.
		if !m.Draining || problem.KindOf(err) != problem.Unavailable {
			w.t.Errorf("heartbeat of %s: %v", h.self.Instance, err)
		}
		return false
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	s.freed = nil
	if reply.Hold == 0 || h.server != s {
		return false
	}
	kept := map[[2]uint16]hold{}
	for _, r := range reply.Ranges {
		kept[[2]uint16{r.From, r.To}] = hold{fence: r.Fence, until: sent.Add(reply.Hold * 102 / 100)}
		w.checkFence(h, s, r)
	}
	for span, held := range s.held {
		if _, stays := kept[span]; !stays && held.until.After(sent) && !slices.ContainsFunc(reply.Ranges, func(r keyrange.Range) bool { return r.Overlaps(span[0], span[1]) }) {
			s.freed = append(s.freed, heartbeat.Freed{From: span[0], To: span[1], Handover: "from-" + s.id})
		}
	}
	s.held = kept
	w.checkOwners()
	return len(s.freed) > 0
}

// checkFence fails the test if a backend server takes a range under a fence that is not above all that others had.
func (w *world) checkFence(h *host, s *backendServer, r keyrange.Range) {
	for name, other := range w.hosts {
		if other == h || other.server == nil {
			continue
		}
		for i := int(r.From) / 1024; i <= int(r.To)/1024; i++ {
			probe := uint16(i * 1024)
			if r.Overlaps(probe, probe) && other.server.highest[i] >= r.Fence {
				w.t.Errorf("%s takes key %d with fence %d; %s had %d", h.self.Instance, probe, r.Fence, name, other.server.highest[i])
			}
		}
	}
	for i := int(r.From) / 1024; i <= int(r.To)/1024; i++ {
		if probe := uint16(i * 1024); r.Overlaps(probe, probe) {
			s.highest[i] = max(s.highest[i], r.Fence)
		}
	}
}

// checkOwners fails the test if two backend servers that are up hold the same key.
func (w *world) checkOwners() {
	now := time.Now()
	for key := 0; key < keyrange.Keys; key += 1024 {
		holder := ""
		for name, h := range w.hosts {
			if h.server == nil || !h.server.holds(uint16(key), now) {
				continue
			}
			if holder != "" {
				w.t.Errorf("key %d is held by %s and %s", key, holder, name)
			}
			holder = name
		}
	}
}

func (s *backendServer) holds(key uint16, now time.Time) bool {
	for span, held := range s.held {
		if span[0] <= key && key <= span[1] && held.until.After(now) {
			return true
		}
	}
	return false
}

// Exchange implements Backend.
func (h *host) Exchange(ctx context.Context, e routed.Exchange) routed.Answer {
	h.w.mu.Lock()
	s := h.server
	switch {
	case s == nil:
		h.w.mu.Unlock()
		return routed.Refuse(request.BackendUnreachable, 0)
	case s.id != e.Server || h.self.Service == "keyed" && !s.holds(e.Request.Key, time.Now()):
		h.w.misdirected++
		h.w.mu.Unlock()
		refused := routed.Refuse(request.BackendChanged, 0)
		refused.Offered = true
		return refused
	}
	h.w.runs[e.Request.ID]++
	h.w.exchanges++
	work := s.work
	lost := h.w.loseEvery > 0 && h.w.exchanges%h.w.loseEvery == 0
	h.w.mu.Unlock()
	timer := time.NewTimer(work)
	defer timer.Stop()
	select {
	case <-timer.C:
		if lost {
			return routed.Uncertain(request.ConnectionLost)
		}
		return routed.Answer{Outcome: request.Done, Status: 200, Body: []byte(h.self.Instance), Offered: true, WorkFigure: h.w.figure(s)}
	case <-ctx.Done():
		return routed.Uncertain(request.DeadlineExceeded)
	}
}

// WorkFigure implements Backend.
func (h *host) WorkFigure(context.Context, string, string) (float64, error) {
	h.w.mu.Lock()
	s := h.server
	h.w.figuresAsked++
	h.w.mu.Unlock()
	if s == nil {
		return 0, problem.New(problem.Unavailable, "start the backend server", "no backend server")
	}
	if figure := h.w.figure(s); figure > 0 {
		return figure, nil
	}
	return 0, problem.New(problem.Unavailable, "check the backend server", "no figure")
}

func (w *world) figure(s *backendServer) float64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return s.figure
}

// setFigure makes the machine of a backend server as slow as the figure says: work that starts from now on takes so much
// longer than 100 ms.
func (w *world) setFigure(name string, figure float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	s := w.hosts[name].server
	s.figure, s.work = figure, time.Duration(figure*float64(100*time.Millisecond))
}

// DropIdle implements Backend.
func (h *host) DropIdle() {}

// peers are the other instances as one reaches them.
type peers struct {
	w    *world
	from string
}

// reach returns the gateway at an address, or an error like that of a connection that cannot be opened.
func (p *peers) reach(ctx context.Context, address string) (*Gateway, error) {
	p.w.mu.Lock()
	h := p.w.hosts[address]
	cut := p.w.cut[address] || p.w.cut[p.from]
	var g *Gateway
	if h != nil {
		g = h.gateway
	}
	p.w.mu.Unlock()
	if cut {
		pause(ctx, 300*time.Millisecond)
	}
	if cut || g == nil {
		return nil, problem.New(problem.NotSent, "check the node", "cannot connect to %s", address)
	}
	return g, nil
}

// Dispatch implements Peers.
func (p *peers) Dispatch(ctx context.Context, address string, r routed.Request) (routed.Answer, error) {
	g, err := p.reach(ctx, address)
	if err != nil {
		return routed.Answer{}, err
	}
	p.w.mu.Lock()
	if p.w.onDispatch != nil {
		p.w.onDispatch(address, r)
	}
	p.w.mu.Unlock()
	answer := g.Dispatch(ctx, r, node.DispatchProgress{})
	p.w.mu.Lock()
	defer p.w.mu.Unlock()
	if address == p.w.silentAfterRun {
		p.w.cut[address] = true
		return routed.Answer{}, problem.New(problem.Unavailable, "check the node", "the connection to %s fell silent", address)
	}
	return answer, nil
}

// Probe implements Peers.
func (p *peers) Probe(ctx context.Context, address string, rangesEnd int64) (string, routed.Load, error) {
	g, err := p.reach(ctx, address)
	if err != nil {
		return "", routed.Load{}, err
	}
	instance, load := g.Probe(rangesEnd)
	return instance, load, nil
}

// StoreCall implements Peers.
func (p *peers) StoreCall(ctx context.Context, address string, c registry.Call) (registry.Page, error) {
	g, err := p.reach(ctx, address)
	if err != nil {
		return registry.Page{}, err
	}
	return g.StoreCall(ctx, c)
}

// ask sends a request through an instance.
func (w *world) ask(through, id, path string, key int, timeout time.Duration) routed.Answer {
	w.mu.Lock()
	g := w.hosts[through].gateway
	w.mu.Unlock()
	if g == nil {
		return routed.Refuse(request.OwnerUnreachable, 0)
	}
	return g.Route(context.Background(), routed.Request{ID: id, Host: "h", Path: path, Method: "GET", Keyed: key >= 0, Key: uint16(max(0, key)),
		Deadline: time.Now().Add(timeout)})
}

// served returns the share of keys that are served through an instance.
func (w *world) served(through string) float64 {
	const probes = 32
	var done atomic.Int64
	var callers sync.WaitGroup
	for i := range probes {
		callers.Go(func() {
			key := i * keyrange.Keys / probes
			a := w.ask(through, fmt.Sprintf("probe-%d-%d", time.Now().UnixNano(), i), "/keyed/", key, time.Second)
			if a.Outcome == request.Done {
				done.Add(1)
				return
			}
			table, _ := w.hosts[through].gateway.ranges.get("keyed")
			r, _ := table.Find(uint16(key))
			w.t.Logf("key %d: %v %s by %q; range %+v", key, a.Outcome, a.Reason, a.Instance, r)
		})
	}
	callers.Wait()
	return float64(done.Load()) / probes
}
