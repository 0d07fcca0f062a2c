// Package daemon assembles a node or a gateway from its settings, runs it, and shuts its parts down in order.
package daemon

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"heatherreel/internal/backendserver"
	"heatherreel/internal/caller"
	"heatherreel/internal/engine"
	"heatherreel/internal/eventlog"
	"heatherreel/internal/httpwire"
	"heatherreel/internal/lease"
	"heatherreel/internal/node"
	"heatherreel/internal/operator"
	"heatherreel/internal/platformlog"
	"heatherreel/internal/problem"
	"heatherreel/internal/settings"
	"heatherreel/internal/telemetry"
)

// Limits of the connections to the backend server.
const (
	// maxBackendConnections is below 110, the lowest number of connections that any backend server accepts today.
	maxBackendConnections = 64
	// maxAnswerBytes bounds the body of an answer of the backend server, in bytes.
	maxAnswerBytes = 16 << 20
)

const (
	// lingerTime is the time without a request of another node after which a process that refuses requests may end.
	// Nodes that have not read yet that it stopped may send requests until then.
	lingerTime = 500 * time.Millisecond
	// finalAnswersTime is the part of the shutdown time in which the requests that are still in progress are answered.
	finalAnswersTime = 200 * time.Millisecond
	// flushInterval is the interval at which the counts of suppressed events are written.
	flushInterval = 10 * time.Second
)

// daemon is a running node.
type daemon struct {
	settings settings.Settings
	events   *eventlog.Logger
	metrics  *telemetry.Metrics
	tracing  *telemetry.Tracing
	log      *platformlog.Client
	peers    *node.Client
	backend  *backendserver.Client
	leases   *node.LeaseSocket
	engine   *engine.Engine

	requestServers requestServers[*http.Server]
	// otherServers receive announcements and operators' requests.
	otherServers []*http.Server
	// serveLoops waits for the accept loops and the datagram reader.
	serveLoops sync.WaitGroup
}

// Run runs a node until ctx ends and then shuts it down gracefully: its slices move to other nodes, running requests
// finish, and the node leaves the fleet. It writes events to out. An error means that the node could not start, or was
// stopped while it owned slices or ran requests.
func Run(ctx context.Context, s settings.Settings, out io.Writer) error {
	d, err := build(s, out)
	if err != nil {
		return err
	}
	serveCtx, stopServing := context.WithCancel(context.Background())
	defer stopServing()
	if err := d.listen(serveCtx); err != nil {
		d.close(stopServing)
		return err
	}
	d.engine.Start()
	d.flushEvents(ctx)
	drained := d.drain()
	d.close(stopServing)
	if !drained {
		return problem.New(problem.Unavailable, "raise --shutdown-timeout, or check that other nodes have capacity",
			"the node was stopped while it owned slices or ran requests")
	}
	return nil
}

// build creates the parts of a node. It opens the lease socket, but no TCP listener.
func build(s settings.Settings, out io.Writer) (*daemon, error) {
	d := &daemon{settings: s}
	d.events = eventlog.New(out, s.LogLevel, eventlog.Node{Instance: s.Instance, DataCentre: s.DataCentre, Region: s.Region})
	timing, err := lease.NewParameters(lease.DefaultTiming())
	if err != nil {
		return nil, err
	}
	if d.metrics, err = telemetry.NewMetrics(); err != nil {
		return nil, err
	}
	identity := telemetry.Identity{Instance: s.Instance, DataCentre: s.DataCentre, Region: s.Region}
	if d.tracing, err = telemetry.NewTracing(s.TraceOutput, s.TraceRatio, identity); err != nil {
		return nil, err
	}
	if d.leases, err = node.ListenLeaseMessages(s.LeasesAddress.String()); err != nil {
		d.events.Emit(eventlog.ListenFailed, eventlog.ConstantText("listener", "leases"), eventlog.Address("address", s.LeasesAddress))
		return nil, err
	}
	d.log = platformlog.NewClient(s.LogURL.String(), s.LogStream)
	d.peers = node.NewClient()
	d.backend = backendserver.NewClient(maxBackendConnections, maxAnswerBytes)
	d.engine = engine.New(engine.Options{
		Self: engine.Self{
			Instance: s.Instance, DataCentre: s.DataCentre, Region: s.Region, Addresses: s.Advertised(),
		},
		Ingress: s.Ingress, Owner: s.Owner, Lease: s.Lease, Ledger: s.Ledger,
		RequestIDSkew: s.RequestIDSkew, LogRetention: s.LogRetention, PeerAddresses: s.PeerAddresses,
		Timing: timing,
	}, engine.Dependencies{
		Log: d.log, Peers: d.peers, Leases: d.leases, Backend: d.backend,
		Events: d.events, Metrics: d.metrics, Tracing: d.tracing,
	})
	return d, d.metrics.RegisterGauges(d.snapshot)
}

// snapshot returns the state that the metrics report.
func (d *daemon) snapshot() telemetry.Snapshot {
	s := d.engine.Gauges()
	leases, log := d.leases.Traffic(), d.log.Traffic()
	s.Control = []telemetry.ControlBytes{
		{Transport: telemetry.LeaseDatagrams, Direction: telemetry.In, Bytes: leases.Received.Load()},
		{Transport: telemetry.LeaseDatagrams, Direction: telemetry.Out, Bytes: leases.Sent.Load()},
		{Transport: telemetry.LogCalls, Direction: telemetry.In, Bytes: log.Received.Load()},
		{Transport: telemetry.LogCalls, Direction: telemetry.Out, Bytes: log.Sent.Load()},
	}
	return s
}

// listen opens the TCP listeners and starts to serve callers, the backend server, operators and other nodes. Other
// nodes are served until ctx ends.
func (d *daemon) listen(ctx context.Context) error {
	var err error
	if d.requestServers.nodes, err = node.NewServer(d.engine); err != nil {
		return err
	}
	nodesListener, err := d.listenTCP("nodes", d.settings.NodesAddress)
	if err != nil {
		return err
	}
	d.goServe(func() { _ = d.requestServers.nodes.Serve(ctx, nodesListener) })
	d.goServe(func() { d.leases.Receive(d.engine.LeaseMessage, d.reportMalformedDatagram) })
	d.requestServers.callers = caller.NewServer(caller.NewHandler(d.engine))
	for _, h := range []struct {
		name    string
		address netip.AddrPort
		server  *http.Server
	}{
		{"callers", d.settings.CallersAddress, d.requestServers.callers},
		{"backend", d.settings.BackendAddress, backendserver.NewServer(backendserver.NewHandler(d.engine))},
		{"operators", d.settings.OperatorsAddress, operator.NewServer(d.engine, d.engine.ControlPool(), d.metrics.Handler())},
	} {
		listener, err := d.listenTCP(h.name, h.address)
		if err != nil {
			return err
		}
		if h.server == d.requestServers.callers {
			d.requestServers.callerListener = httpwire.NewListener(listener)
			listener = d.requestServers.callerListener
		} else {
			d.otherServers = append(d.otherServers, h.server)
		}
		d.goServe(func() { _ = h.server.Serve(listener) })
	}
	return nil
}

// listenTCP opens the TCP listener with the name at the address.
func (d *daemon) listenTCP(name string, address netip.AddrPort) (net.Listener, error) {
	listener, err := net.Listen("tcp", address.String())
	if err != nil {
		d.events.Emit(eventlog.ListenFailed, eventlog.Address("address", address), eventlog.Cause(err))
		return nil, problem.New(problem.Invalid, "free the address, or change the setting --"+name+"-address",
			"cannot listen on the %s address: %w", name, err)
	}
	d.events.Emit(eventlog.Listening, eventlog.Address("address", address))
	return listener, nil
}

// goServe runs an accept loop or the datagram reader in a goroutine.
func (d *daemon) goServe(serve func()) {
	d.serveLoops.Add(1)
	go func() {
		defer d.serveLoops.Done()
		serve()
	}()
}

// reportMalformedDatagram emits an event for a datagram that is not a lease message.
func (d *daemon) reportMalformedDatagram(from string) {
	address, err := netip.ParseAddrPort(from)
	if err != nil {
		return
	}
	d.events.Emit(eventlog.DatagramMalformed, eventlog.Address("address", address))
}

// flushEvents writes the counts of suppressed events at intervals until ctx ends.
func (d *daemon) flushEvents(ctx context.Context) {
	ticker := time.NewTicker(flushInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			d.events.Flush()
		}
	}
}

// drain shuts the node down gracefully within the shutdown timeout and reports whether no work was left. Requests that
// still arrive meanwhile are served or forwarded. Those that have not finished by then are answered before it returns.
func (d *daemon) drain() bool {
	limit := d.settings.ShutdownTimeout
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	requestsCtx, cancelRequests := context.WithTimeout(ctx, limit-min(finalAnswersTime, limit/2))
	defer cancelRequests()
	left := d.engine.Drain(requestsCtx)
	drained := left && d.requestServers.finish(requestsCtx, time.Now())
	if left && !drained {
		d.events.Emit(eventlog.ShutdownTimedOut)
	}
	if !drained {
		d.engine.EndRequests()
		d.requestServers.writeAnswers(ctx)
	}
	for _, s := range d.otherServers {
		// Shutdown waits until the requests in progress have finished.
		if err := s.Shutdown(ctx); err != nil {
			d.events.Emit(eventlog.CloseFailed, eventlog.Cause(err))
		}
	}
	return drained
}

// close closes all parts, the engine before the clients that it uses.
func (d *daemon) close(stopServing func()) {
	// The listeners may not have been opened.
	if d.requestServers.callers != nil {
		_ = d.requestServers.callers.Close()
	}
	for _, s := range d.otherServers {
		_ = s.Close()
	}
	stopServing()
	d.engine.Close()
	err := errors.Join(d.leases.Close(), d.peers.Close(), d.tracing.Shutdown(context.Background()),
		d.metrics.Shutdown(context.Background()))
	if err != nil {
		d.events.Emit(eventlog.CloseFailed, eventlog.Cause(err))
	}
	d.log.Close()
	d.backend.Close()
	d.serveLoops.Wait()
	d.events.Flush()
}
