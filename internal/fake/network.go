package fake

import (
	"context"
	"sync"
	"time"

	"heatherreel/internal/ledger"
	"heatherreel/internal/node"
	"heatherreel/internal/platformlog"
	"heatherreel/internal/problem"
	"heatherreel/internal/request"
)

// LogPlace is the name of the log's place in Cut and Heal.
const LogPlace = "log"

// Latencies are one-way delays between places.
type Latencies struct {
	SameDataCentre, BetweenDataCentres, BetweenRegions time.Duration
}

// KatodaLatencies are those of the first deployment.
var KatodaLatencies = Latencies{
	SameDataCentre:     200 * time.Microsecond,
	BetweenDataCentres: time.Millisecond,
	BetweenRegions:     8 * time.Millisecond,
}

// Handler is a node as the network sees it.
type Handler interface {
	node.Service
	LeaseMessage(node.LeaseMessage)
}

// Network carries the messages between nodes and to the log in memory, with delays and faults.
//
// mu guards cuts, hosts and the state of the hosts.
type Network struct {
	latencies Latencies
	logRegion string

	// observe is called with each message before it travels; nil if nobody looks.
	observe func(Message)

	mu    sync.Mutex
	cuts  map[[2]string]bool
	hosts map[string]*Host
}

// Message is what one host sends to another, or to the log.
type Message struct {
	From *Host
	// To is nil for a message to the log.
	To *Host
	// Payload is the request, answer, lease message or log record.
	Payload any
}

// Observe has f called with each message that is sent, also with those that a fault drops. It must be called before
// the first host is added. f may be called by several goroutines at once.
func (n *Network) Observe(f func(Message)) { n.observe = f }

// sent reports a message to the observer.
func (n *Network) sent(from, to *Host, payload any) {
	if n.observe != nil {
		n.observe(Message{From: from, To: to, Payload: payload})
	}
}

// NewNetwork returns a network without hosts. The log is in the region.
func NewNetwork(l Latencies, logRegion string) *Network {
	return &Network{latencies: l, logRegion: logRegion, cuts: map[[2]string]bool{}, hosts: map[string]*Host{}}
}

// Host is one node's connection to the network. Its address for drpc and leases is its name.
type Host struct {
	network    *Network
	Name       string
	DataCentre string
	Region     string

	handler Handler
	// dead is closed when the process is killed.
	dead chan struct{}
	// running is closed while the process is not paused.
	running chan struct{}
	paused  bool
}

// AddHost adds a host; one that had the name before is replaced. Attach must follow.
func (n *Network) AddHost(name, dataCentre, region string) *Host {
	h := &Host{
		network: n, Name: name, DataCentre: dataCentre, Region: region,
		dead: make(chan struct{}), running: make(chan struct{}),
	}
	close(h.running)
	n.mu.Lock()
	defer n.mu.Unlock()
	n.hosts[name] = h
	return h
}

// Attach sets the node that takes the messages of the host.
func (h *Host) Attach(handler Handler) { h.handler = handler }

// Kill cuts the host off for good, as the end of its process does.
func (h *Host) Kill() { close(h.dead) }

// Killed reports whether Kill was called.
func (h *Host) Killed() bool {
	select {
	case <-h.dead:
		return true
	default:
		return false
	}
}

// Dead is closed when the host is killed.
func (h *Host) Dead() <-chan struct{} { return h.dead }

// Pause stops the host: what it sends waits until Resume, and so does what is sent to it.
func (h *Host) Pause() {
	h.network.mu.Lock()
	defer h.network.mu.Unlock()
	if !h.paused {
		h.paused = true
		h.running = make(chan struct{})
	}
}

// Resume continues a paused host.
func (h *Host) Resume() {
	h.network.mu.Lock()
	defer h.network.mu.Unlock()
	if h.paused {
		h.paused = false
		close(h.running)
	}
}

// Paused reports whether the host is paused.
func (h *Host) Paused() bool {
	h.network.mu.Lock()
	defer h.network.mu.Unlock()
	return h.paused
}

// Pass waits while the host is paused. It returns false if the host was killed.
func (h *Host) Pass() bool {
	for {
		h.network.mu.Lock()
		running := h.running
		h.network.mu.Unlock()
		select {
		case <-running:
		case <-h.dead:
			return false
		}
		if !h.Paused() {
			return !h.Killed()
		}
	}
}

// Cut drops all traffic between two places: regions, data centres, hosts or LogPlace.
func (n *Network) Cut(a, b string) { n.setCut(a, b, true) }

// Heal undoes Cut of the same places.
func (n *Network) Heal(a, b string) { n.setCut(a, b, false) }

func (n *Network) setCut(a, b string, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if cut {
		n.cuts[[2]string{a, b}] = true
		return
	}
	delete(n.cuts, [2]string{a, b})
	delete(n.cuts, [2]string{b, a})
}

// linked reports whether no cut separates the places.
func (n *Network) linked(from, to []string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, a := range from {
		for _, b := range to {
			if n.cuts[[2]string{a, b}] || n.cuts[[2]string{b, a}] {
				return false
			}
		}
	}
	return true
}

// places are the names by which a cut can separate the host.
func (h *Host) places() []string { return []string{h.Name, h.DataCentre, h.Region} }

// host returns the host with the address, or nil.
func (n *Network) host(address string) *Host {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.hosts[address]
}

// delay returns the one-way delay between hosts.
func (n *Network) delay(a, b *Host) time.Duration {
	switch {
	case a.Region != b.Region:
		return n.latencies.BetweenRegions
	case a.DataCentre != b.DataCentre:
		return n.latencies.BetweenDataCentres
	default:
		return n.latencies.SameDataCentre
	}
}

// errCut is the outcome of a call whose messages are dropped without notice.
func errCut() error {
	return problem.New(problem.Unavailable, "heal the network", "the connection went silent")
}

// errRefused is the outcome of a call to a host that does not listen.
func errRefused() error {
	return problem.New(problem.NotSent, "start the node", "the connection was refused")
}

// exchange runs a call to another host: a delay each way, and what the faults make of it.
func exchange[T any](
	ctx context.Context, from *Host, address string, asked any, do func(Handler) (T, error),
) (T, error) {
	var none T
	n := from.network
	if !from.Pass() {
		return none, errCut()
	}
	to := n.host(address)
	if to == nil || to.Killed() {
		return none, errRefused()
	}
	n.sent(from, to, asked)
	if !n.travel(ctx, from, to) {
		<-ctx.Done()
		return none, errCut()
	}
	type result struct {
		value T
		err   error
	}
	done := make(chan result, 1)
	go func() {
		if !to.Pass() {
			return
		}
		value, err := do(to.handler)
		done <- result{value, err}
	}()
	select {
	case r := <-done:
		n.sent(to, from, r.value)
		if !to.Pass() || !n.travel(ctx, to, from) {
			<-ctx.Done()
			return none, errCut()
		}
		if !from.Pass() {
			return none, errCut()
		}
		return r.value, r.err
	case <-to.dead:
	case <-ctx.Done():
	}
	return none, errCut()
}

// travel waits for the delay between hosts. It returns false if a cut separates them before or after it.
func (n *Network) travel(ctx context.Context, from, to *Host) bool {
	if !n.linked(from.places(), to.places()) {
		return false
	}
	if pause(ctx, n.delay(from, to)) != nil {
		return false
	}
	return n.linked(from.places(), to.places())
}

var (
	_ node.Peers       = (*Host)(nil)
	_ node.LeaseSender = (*Host)(nil)
)

// Forward implements node.Peers.
func (h *Host) Forward(ctx context.Context, address string, f node.Forwarded) (request.Answer, error) {
	ctx, cancel := context.WithDeadline(ctx, f.Request.Deadline)
	defer cancel()
	return exchange(ctx, h, address, f, func(to Handler) (request.Answer, error) { return to.Forward(ctx, f), nil })
}

// Release implements node.Peers.
func (h *Host) Release(ctx context.Context, address string, r node.ReleaseRequest) (node.ReleaseResult, error) {
	return exchange(ctx, h, address, r, func(to Handler) (node.ReleaseResult, error) { return to.Release(ctx, r) })
}

// Snapshot implements node.Peers.
func (h *Host) Snapshot(ctx context.Context, address string) (node.Snapshot, error) {
	return exchange(ctx, h, address, nil, func(to Handler) (node.Snapshot, error) { return to.Snapshot(ctx) })
}

// SendLease implements node.LeaseSender. What a cut drops is lost; what reaches a paused host waits there.
func (h *Host) SendLease(address string, m node.LeaseMessage) error {
	if !h.Pass() {
		return errCut()
	}
	to := h.network.host(address)
	h.network.sent(h, to, m)
	if to == nil || !h.network.linked(h.places(), to.places()) {
		return nil
	}
	time.AfterFunc(h.network.delay(h, to), func() {
		if to.Pass() && h.network.linked(h.places(), to.places()) {
			to.handler.LeaseMessage(m)
		}
	})
	return nil
}

// hostLog is the log as one host reaches it.
type hostLog struct {
	host *Host
	log  *Log
}

// Log returns the log as the host reaches it, through the delays and cuts of the network.
func (h *Host) Log(l *Log) platformlog.Log { return &hostLog{host: h, log: l} }

// delay returns the one-way delay to the log.
func (l *hostLog) delay() time.Duration {
	n := l.host.network
	if l.host.Region != n.logRegion {
		return n.latencies.BetweenRegions
	}
	return n.latencies.BetweenDataCentres
}

// travel waits for one way. It returns false if the message is lost.
func (l *hostLog) travel(ctx context.Context) bool {
	linked := func() bool { return l.host.network.linked(l.host.places(), []string{LogPlace}) }
	return l.host.Pass() && linked() && pause(ctx, l.delay()) == nil && linked()
}

// Append implements platformlog.Log.
func (l *hostLog) Append(ctx context.Context, r *ledger.Record) (ledger.Offset, error) {
	l.host.network.sent(l.host, nil, r)
	if !l.travel(ctx) {
		<-ctx.Done()
		return 0, errCut()
	}
	offset, err := l.log.Append(ctx, r)
	if !l.travel(ctx) {
		<-ctx.Done()
		return 0, errCut()
	}
	return offset, err
}

// Read implements platformlog.Log. A read that a cut separates ends with its wait.
func (l *hostLog) Read(
	ctx context.Context, from ledger.Offset, max int, wait time.Duration,
) (platformlog.Page, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+time.Second)
	defer cancel()
	if !l.travel(ctx) {
		<-ctx.Done()
		return platformlog.Page{}, errCut()
	}
	page, err := l.log.Read(ctx, from, max, wait)
	if !l.travel(ctx) {
		<-ctx.Done()
		return platformlog.Page{}, errCut()
	}
	return page, err
}
