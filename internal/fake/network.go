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

// LogLocation is the name of the log as an argument of Cut and Heal.
const LogLocation = "log"

// Latencies are the one-way delays between hosts, and between a host and the log.
type Latencies struct {
	SameDataCentre, BetweenDataCentres, BetweenRegions time.Duration
}

// FirstDeploymentLatencies are the delays of the first deployment.
var FirstDeploymentLatencies = Latencies{
	SameDataCentre:     200 * time.Microsecond,
	BetweenDataCentres: time.Millisecond,
	BetweenRegions:     8 * time.Millisecond,
}

// Handler is the part of a node that receives messages from the network.
type Handler interface {
	node.Service
	LeaseMessage(node.LeaseMessage)
}

// Network is an in-memory network that carries the messages between nodes and between nodes and the log. It simulates
// latency, network partitions (cuts between two locations), and paused and killed hosts.
//
// mu guards cuts and hosts, and the fields paused and resumed of each Host.
type Network struct {
	latencies Latencies
	logRegion string

	// observe, if not nil, is called with each message when it is sent.
	observe func(Message)

	mu sync.Mutex
	// cuts holds the pairs of locations whose traffic is dropped, each in the order of the arguments of Cut.
	cuts map[[2]string]bool
	// hosts holds the hosts by address.
	hosts map[string]*Host
}

// Message is a message from one host to another or to the log.
type Message struct {
	From *Host
	// To is nil for a message to the log, and for a lease message to an address without a host.
	To *Host
	// Payload is the request, response, lease message or log record.
	Payload any
}

// Observe registers f to be called with each message that a host sends, including messages that are dropped later. It
// must be called before the first AddHost. f may be called concurrently.
func (n *Network) Observe(f func(Message)) { n.observe = f }

// notifyObserver passes a message to the observer, if there is one.
func (n *Network) notifyObserver(from, to *Host, payload any) {
	if n.observe != nil {
		n.observe(Message{From: from, To: to, Payload: payload})
	}
}

// NewNetwork returns a network without hosts. logRegion is the region of the log.
func NewNetwork(l Latencies, logRegion string) *Network {
	return &Network{latencies: l, logRegion: logRegion, cuts: map[[2]string]bool{}, hosts: map[string]*Host{}}
}

// Host is the connection of one node to the network. Its name is also its address for calls and lease messages.
type Host struct {
	network    *Network
	Name       string
	DataCentre string
	Region     string

	handler Handler
	// killed is closed by Kill.
	killed chan struct{}
	// resumed is closed while the host is not paused; Pause replaces it and Resume closes it.
	resumed chan struct{}
	paused  bool
}

// AddHost adds a host. It replaces an earlier host of the same name. SetHandler must be called before the host receives
// messages.
func (n *Network) AddHost(name, dataCentre, region string) *Host {
	h := &Host{
		network: n, Name: name, DataCentre: dataCentre, Region: region,
		killed: make(chan struct{}), resumed: make(chan struct{}),
	}
	close(h.resumed)
	n.mu.Lock()
	defer n.mu.Unlock()
	n.hosts[name] = h
	return h
}

// SetHandler sets the handler of the messages that the host receives.
func (h *Host) SetHandler(handler Handler) { h.handler = handler }

// Kill disconnects the host permanently, as the end of its process does. It must be called only once.
func (h *Host) Kill() { close(h.killed) }

// Killed reports whether Kill was called.
func (h *Host) Killed() bool {
	select {
	case <-h.killed:
		return true
	default:
		return false
	}
}

// KilledSignal returns a channel that is closed when the host is killed.
func (h *Host) KilledSignal() <-chan struct{} { return h.killed }

// Pause stops the host until Resume. Meanwhile, what it sends and what it receives is held back.
func (h *Host) Pause() {
	h.network.mu.Lock()
	defer h.network.mu.Unlock()
	if !h.paused {
		h.paused = true
		h.resumed = make(chan struct{})
	}
}

// Resume continues a paused host.
func (h *Host) Resume() {
	h.network.mu.Lock()
	defer h.network.mu.Unlock()
	if h.paused {
		h.paused = false
		close(h.resumed)
	}
}

// Paused reports whether the host is paused.
func (h *Host) Paused() bool {
	h.network.mu.Lock()
	defer h.network.mu.Unlock()
	return h.paused
}

// AwaitRunning blocks while the host is paused. It returns false if the host has been killed.
func (h *Host) AwaitRunning() bool {
	for {
		h.network.mu.Lock()
		resumed := h.resumed
		h.network.mu.Unlock()
		select {
		case <-resumed:
		case <-h.killed:
			return false
		}
		if !h.Paused() {
			return !h.Killed()
		}
	}
}

// Cut drops all traffic in both directions between two locations, each the name of a region, a data centre or a host,
// or LogLocation.
func (n *Network) Cut(a, b string) { n.setCut(a, b, true) }

// Heal undoes Cut of the same two locations, in either order.
func (n *Network) Heal(a, b string) { n.setCut(a, b, false) }

// setCut adds or removes a cut.
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

// reachable reports whether no cut separates any of the locations in from from any in to.
func (n *Network) reachable(from, to []string) bool {
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

// locations returns the names by which a cut can separate the host.
func (h *Host) locations() []string { return []string{h.Name, h.DataCentre, h.Region} }

// hostAt returns the host with the address, or nil.
func (n *Network) hostAt(address string) *Host {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.hosts[address]
}

// latency returns the one-way delay between two hosts.
func (n *Network) latency(a, b *Host) time.Duration {
	switch {
	case a.Region != b.Region:
		return n.latencies.BetweenRegions
	case a.DataCentre != b.DataCentre:
		return n.latencies.BetweenDataCentres
	default:
		return n.latencies.SameDataCentre
	}
}

// errNoResponse returns the error of a call whose request or response was dropped, or whose host was killed meanwhile.
func errNoResponse() error {
	return problem.New(problem.Unavailable, "heal the network", "no response arrived")
}

// errConnectionRefused returns the error of a call to an address at which no host runs.
func errConnectionRefused() error {
	return problem.New(problem.NotSent, "start the node", "the connection was refused")
}

// roundTrip calls handle with the handler of the host at address. It delays the request and the response by the
// latency, holds them back while a host is paused, and drops them if a cut separates the hosts or a host is killed.
func roundTrip[T any](
	ctx context.Context, from *Host, address string, payload any, handle func(Handler) (T, error),
) (T, error) {
	var zero T
	n := from.network
	if !from.AwaitRunning() {
		return zero, errNoResponse()
	}
	to := n.hostAt(address)
	if to == nil || to.Killed() {
		return zero, errConnectionRefused()
	}
	n.notifyObserver(from, to, payload)
	if !n.transmit(ctx, from, to) {
		<-ctx.Done()
		return zero, errNoResponse()
	}
	type result struct {
		value T
		err   error
	}
	done := make(chan result, 1)
	go func() {
		if !to.AwaitRunning() {
			return
		}
		value, err := handle(to.handler)
		done <- result{value, err}
	}()
	select {
	case r := <-done:
		n.notifyObserver(to, from, r.value)
		if !to.AwaitRunning() || !n.transmit(ctx, to, from) {
			<-ctx.Done()
			return zero, errNoResponse()
		}
		if !from.AwaitRunning() {
			return zero, errNoResponse()
		}
		return r.value, r.err
	case <-to.killed:
	case <-ctx.Done():
	}
	return zero, errNoResponse()
}

// transmit waits for the latency between two hosts. It returns false if a cut separates them at the beginning or the
// end of the wait, or if ctx ends.
func (n *Network) transmit(ctx context.Context, from, to *Host) bool {
	if !n.reachable(from.locations(), to.locations()) {
		return false
	}
	if sleepContext(ctx, n.latency(from, to)) != nil {
		return false
	}
	return n.reachable(from.locations(), to.locations())
}

var (
	_ node.Peers       = (*Host)(nil)
	_ node.LeaseSender = (*Host)(nil)
)

// Forward implements node.Peers.
func (h *Host) Forward(ctx context.Context, address string, f node.ForwardedRequest) (request.Answer, error) {
	ctx, cancel := context.WithDeadline(ctx, f.Request.Deadline)
	defer cancel()
	return roundTrip(ctx, h, address, f, func(to Handler) (request.Answer, error) { return to.Forward(ctx, f), nil })
}

// Release implements node.Peers.
func (h *Host) Release(ctx context.Context, address string, r node.ReleaseRequest) (node.ReleaseResult, error) {
	ctx, cancel := context.WithTimeout(ctx, node.ControlSilenceTimeout)
	defer cancel()
	return roundTrip(ctx, h, address, r, func(to Handler) (node.ReleaseResult, error) { return to.Release(ctx, r) })
}

// Snapshot implements node.Peers.
func (h *Host) Snapshot(ctx context.Context, address string) (node.Snapshot, error) {
	ctx, cancel := context.WithTimeout(ctx, node.ControlSilenceTimeout)
	defer cancel()
	return roundTrip(ctx, h, address, nil, func(to Handler) (node.Snapshot, error) { return to.Snapshot(ctx) })
}

// SendLeaseMessage implements node.LeaseSender. A message is lost without an error if a cut separates the hosts when it
// is sent or when it arrives; a paused receiver gets it after it resumes.
func (h *Host) SendLeaseMessage(address string, m node.LeaseMessage) error {
	if !h.AwaitRunning() {
		return errNoResponse()
	}
	to := h.network.hostAt(address)
	h.network.notifyObserver(h, to, m)
	if to == nil || !h.network.reachable(h.locations(), to.locations()) {
		return nil
	}
	time.AfterFunc(h.network.latency(h, to), func() {
		if to.AwaitRunning() && h.network.reachable(h.locations(), to.locations()) {
			to.handler.LeaseMessage(m)
		}
	})
	return nil
}

// hostLog is a Log that one host reaches through the network.
type hostLog struct {
	host *Host
	log  *Log
}

// Log returns l as the host reaches it, with the latency and the cuts of the network.
func (h *Host) Log(l *Log) platformlog.Log { return &hostLog{host: h, log: l} }

// latency returns the one-way delay to the log, which is in another data centre than all hosts.
func (l *hostLog) latency() time.Duration {
	n := l.host.network
	if l.host.Region != n.logRegion {
		return n.latencies.BetweenRegions
	}
	return n.latencies.BetweenDataCentres
}

// transmit waits while the host is paused, and then for the latency to or from the log. It returns false if the message
// is lost: the host was killed, a cut separates it from the log, or ctx ended.
func (l *hostLog) transmit(ctx context.Context) bool {
	reachable := func() bool { return l.host.network.reachable(l.host.locations(), []string{LogLocation}) }
	return l.host.AwaitRunning() && reachable() && sleepContext(ctx, l.latency()) == nil && reachable()
}

// Append implements platformlog.Log. If a cut separates the host from the log, it fails when the log has been silent for
// too long.
func (l *hostLog) Append(ctx context.Context, r *ledger.Record) (ledger.Offset, error) {
	l.host.network.notifyObserver(l.host, nil, r)
	ctx, cancel := context.WithTimeout(ctx, platformlog.SilenceTimeout)
	defer cancel()
	if !l.transmit(ctx) {
		<-ctx.Done()
		return 0, errNoResponse()
	}
	offset, err := l.log.Append(ctx, r)
	if !l.transmit(ctx) {
		<-ctx.Done()
		return 0, errNoResponse()
	}
	return offset, err
}

// Read implements platformlog.Log. If a cut separates the host from the log, it fails when wait and one more second
// have passed.
func (l *hostLog) Read(
	ctx context.Context, from ledger.Offset, max int, wait time.Duration,
) (platformlog.Page, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+time.Second)
	defer cancel()
	if !l.transmit(ctx) {
		<-ctx.Done()
		return platformlog.Page{}, errNoResponse()
	}
	page, err := l.log.Read(ctx, from, max, wait)
	if !l.transmit(ctx) {
		<-ctx.Done()
		return platformlog.Page{}, errNoResponse()
	}
	return page, err
}
