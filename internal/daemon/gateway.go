package daemon

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	stdlog "log"
	"math"
	"net"
	"net/http"
	"os"
	"runtime"
	"runtime/debug"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"github.com/rs/zerolog/diode"

	"heatherreel/internal/bootclock"
	"heatherreel/internal/eventlog"
	"heatherreel/internal/gateway"
	"heatherreel/internal/httpwire"
	"heatherreel/internal/intake"
	"heatherreel/internal/keyrange"
	"heatherreel/internal/node"
	"heatherreel/internal/operator"
	"heatherreel/internal/pipeline"
	"heatherreel/internal/problem"
	"heatherreel/internal/settings"
	"heatherreel/internal/telemetry"
	"heatherreel/platform/backend"
	"heatherreel/platform/caller"
	"heatherreel/platform/header"
	"heatherreel/platform/store"
)

// Sizes and times of a gateway.
const (
	// gatewayIngressWorkers limits the requests of callers in progress; each occupies a worker until it is answered.
	gatewayIngressWorkers = 192
	// gatewayIngressQueue limits the requests of callers that wait for such a worker.
	gatewayIngressQueue = 256
	// gatewayBackendWorkers limits the concurrent exchanges with the backend server. It is above the number of slots of
	// any backend server in use.
	gatewayBackendWorkers = 64
	// logBufferLines is the number of log lines that are buffered for a slow reader. Further lines are dropped.
	logBufferLines = 512
	// logPollInterval is the interval at which the log writer looks for buffered lines.
	logPollInterval = 100 * time.Millisecond
	// drainMargin is the part of the drain time that is reserved for requests already on their way.
	drainMargin = 500 * time.Millisecond
	// shutdownMargin is the part of the shutdown time that is left when the process ends although requests run.
	shutdownMargin = 500 * time.Millisecond
	// gcPercent is the growth of the heap in percent between two garbage collections. A low value saves memory, which
	// costs money on each instance; as the heap is only a few megabytes, a collection takes little time.
	gcPercent = 40
	// heapShare is the share of the memory limit of the process that is set as the memory limit of the Go runtime.
	heapShare = 0.6
)

// gatewayDaemon is a running gateway: a node that serves routes.
type gatewayDaemon struct {
	settings settings.Gateway
	events   *eventlog.Logger
	metrics  *telemetry.Metrics
	tracing  *telemetry.Tracing
	gateway  *gateway.Gateway
	store    *store.Client
	peers    *node.Client
	backend  *backend.Client
	// keyCalls is nil if keys are granted in the replies to heartbeats.
	keyCalls *backend.KeyCalls

	// governor limits what clients take of the process, according to sizes.
	governor *pipeline.Governor
	sizes    intake.Sizes

	requestServers requestServers[*pipeline.Server]
	servers        []*pipeline.Server
	serveLoops     sync.WaitGroup
}

// settingsPollInterval is the interval at which the settings file is read again, as it may change without a signal.
const settingsPollInterval = 2 * time.Second

// SettingsSource is where a running gateway rereads its settings from.
type SettingsSource struct {
	// Load returns the current settings.
	Load func() (settings.Gateway, error)
	// Changed receives a value when the settings may have changed, for example on a SIGHUP.
	Changed <-chan os.Signal
}

// RunGateway runs a gateway until ctx ends and then shuts it down gracefully: it reports not ready, and running
// requests finish. It writes events to out through a buffer, so that a slow reader of out does not block it.
func RunGateway(ctx context.Context, s settings.Gateway, source SettingsSource, out io.Writer) error {
	applyProcessLimits(s)
	debug.SetGCPercent(gcPercent)
	stdlog.SetOutput(httpwire.LogFilter{Out: os.Stderr})
	reportDropped := func(n int) { fmt.Fprintf(out, "{\"name\":\"log_lines_dropped\",\"count\":%d}\n", n) }
	log := diode.NewWriter(out, logBufferLines, logPollInterval, reportDropped)
	defer log.Close()
	d, err := newGatewayDaemon(s, log)
	if err != nil {
		return err
	}
	serveCtx, stopServing := context.WithCancel(context.Background())
	defer stopServing()
	if err := d.listen(serveCtx); err != nil {
		return err
	}
	d.gateway.Start()
	d.watchSettings(ctx, source)
	if !d.drain() {
		// The backend server may still work on requests, which are answered. Waiting for it would exceed the shutdown
		// time.
		return problem.New(problem.Unavailable, "raise shutdown_s", "the node was stopped while it ran requests")
	}
	d.close(stopServing)
	return nil
}

// applyProcessLimits limits the processor and memory use of the process.
func applyProcessLimits(s settings.Gateway) {
	runtime.GOMAXPROCS(max(1, int(math.Ceil(s.CPUShare))))
	debug.SetMemoryLimit(int64(float64(s.MemoryMB) * heapShare * (1 << 20)))
}

// gatewayLimits returns the limits of a gateway according to its settings.
func gatewayLimits(s settings.Gateway) gateway.Limits {
	return gateway.Limits{
		// The nodes share the retry budget of the fleet without counting each other's retries: each uses half of the
		// ratio for its own requests, and its share of half the floor.
		Retry: gateway.RetryLimits{Ratio: s.RetryRatio / 2, Floor: s.RetryFloor,
			Window: time.Duration(s.RetryWindowS * float64(time.Second))},
		DrainTime: s.DrainTime() - min(drainMargin, s.DrainTime()/2),
	}
}

// watchSettings applies changes of the settings until ctx ends.
func (d *gatewayDaemon) watchSettings(ctx context.Context, source SettingsSource) {
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	reportedError := ""
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-source.Changed:
		}
		next, err := source.Load()
		if err != nil {
			// The same error is reported once, not at each poll.
			if err.Error() != reportedError {
				reportedError = err.Error()
				d.events.Emit(eventlog.SettingsRefused, eventlog.Cause(err))
			}
			continue
		}
		reportedError = ""
		if next != d.settings {
			d.applySettings(next)
		}
	}
}

// applySettings applies the changed settings that do not need a restart.
func (d *gatewayDaemon) applySettings(next settings.Gateway) {
	if d.settings.NeedsRestart(next) {
		d.events.Emit(eventlog.SettingsNeedRestart)
	}
	d.settings = next
	applyProcessLimits(next)
	d.gateway.SetLimits(gatewayLimits(next))
	d.sizes.MemoryMB = next.MemoryMB
	d.governor.SetLimits(d.sizes.Limits())
	d.events.Emit(eventlog.SettingsReloaded)
}

// newGatewayDaemon creates the parts of a gateway without opening listeners.
func newGatewayDaemon(s settings.Gateway, out io.Writer) (*gatewayDaemon, error) {
	d := &gatewayDaemon{settings: s, store: store.New(s.StoreAddress), peers: node.NewPackingClient(header.PackedTable), backend: backend.New(gatewayBackendWorkers)}
	d.events = eventlog.New(out, zerolog.InfoLevel, eventlog.Node{Instance: s.Instance, DataCentre: s.DataCentre, Region: s.Region})
	var err error
	if d.metrics, err = telemetry.NewMetrics(); err != nil {
		return nil, err
	}
	output := s.TraceOutput
	if output == "" {
		output = telemetry.OutputNone
	}
	identity := telemetry.Identity{Instance: s.Instance, DataCentre: s.DataCentre, Region: s.Region}
	if d.tracing, err = telemetry.NewTracing(output, s.TraceRatio, identity); err != nil {
		return nil, err
	}
	d.sizes = intake.Sizes{MemoryMB: s.MemoryMB, MaxFDs: s.MaxFDs, RequestMemoryMB: s.RequestMemoryMB,
		Connections: s.MaxConnections, ConnectionsPerClient: s.MaxConnectionsPerClient.Replacement()}
	d.governor = pipeline.NewGovernor(d.sizes.Limits(), func(kind intake.Kind) {
		d.metrics.CountShed(kind)
		d.events.Emit(eventlog.ClientShed, eventlog.Name("kind", kind.String()))
	})
	dependencies := gateway.Dependencies{
		Store: d.store, OperatorTopic: store.OperatorTopic, DecodeOperator: store.DecodeOperatorRecord,
		Peers: d.peers, Backend: d.backend, Events: d.events, Metrics: d.metrics, Tracing: d.tracing, Now: bootClock,
		Memory: d.governor,
	}
	if s.GrantDelivery == settings.GrantsDirect {
		d.keyCalls = backend.NewKeyCalls()
		dependencies.KeyCalls = d.keyCalls
	}
	d.gateway = gateway.New(gateway.Options{
		Self: gateway.Self{Instance: s.Instance, Incarnation: time.Now().UnixMilli(), Address: s.NodesAddress,
			DataCentre: s.DataCentre, Region: s.Region, Service: s.Service, BackendAddress: s.BackendAddress},
		IngressWorkers: gatewayIngressWorkers, IngressQueue: gatewayIngressQueue, BackendWorkers: gatewayBackendWorkers,
		LinkMbps: s.LinkMbps, LearnCapacity: s.LearnCapacity, IgnoreCalls: !s.NestedCalls, LargeBodies: s.LargeBodies, Limits: gatewayLimits(s),
		Revocation: s.Revocation(),
	}, dependencies)
	return d, nil
}

// bootClock reads the clock of package bootclock.
func bootClock() keyrange.Instant { return keyrange.Instant(bootclock.Now()) }

// listen opens the TCP listeners and starts to serve callers, heartbeats, readiness, metrics and other nodes. Other
// nodes are served until ctx ends.
func (d *gatewayDaemon) listen(ctx context.Context) error {
	var err error
	if d.requestServers.nodes, err = node.NewPackingRouterServer(d.gateway, header.PackedTable); err != nil {
		return err
	}
	listener, err := d.listenTCP("nodes", d.settings.NodesAddress)
	if err != nil {
		return err
	}
	guarded := d.governor.Guard(listener, intake.Nodes)
	d.goServe(func() { _ = d.requestServers.nodes.Serve(ctx, guarded) })
	maxFields, minRate := d.settings.MaxHeaderFields.Replacement(), int64(d.settings.MinBytesPerSecond.Replacement())
	limits := func() pipeline.Limits {
		return caller.ConnectionLimits(d.gateway.ClientLimits(), maxFields, minRate)
	}
	for _, h := range []struct {
		name, address string
		group         intake.Group
		handler       http.Handler
	}{
		{"callers", d.settings.CallersAddress, intake.Callers, caller.NewRequestHandler(d.gateway)},
		{"heartbeats", d.settings.HeartbeatsAddress, intake.Heartbeats, caller.NewHeartbeatHandler(d.gateway)},
		{"ready", d.settings.ReadyAddress, intake.Upkeep, caller.NewReadyHandler(d.gateway)},
		{"metrics", d.settings.MetricsAddress, intake.Upkeep, operator.NewGatewayHandler(d.gateway.State, d.metrics.Handler())},
	} {
		listener, err := d.listenTCP(h.name, h.address)
		if err != nil {
			return err
		}
		server := caller.NewServer(h.handler)
		server.Governor, server.Group, server.Limits = d.governor, h.group, limits
		if d.requestServers.callers == nil {
			server.Depth = cmp.Or(d.settings.PipelineDepth, settings.DefaultPipelineDepth)
			d.requestServers.callers, d.requestServers.callerListener = server, httpwire.NewListener(listener)
			listener = d.requestServers.callerListener
		}
		d.servers = append(d.servers, server)
		d.goServe(func() { _ = server.Serve(listener) })
	}
	return nil
}

// listenTCP opens the TCP listener with the name at the address.
func (d *gatewayDaemon) listenTCP(name, address string) (net.Listener, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		d.events.Emit(eventlog.ListenFailed, eventlog.Name("listener", name), eventlog.Cause(err))
		return nil, problem.New(problem.Invalid, "free the address, or change the setting "+name+"_address",
			"cannot listen on the %s address: %w", name, err)
	}
	return listener, nil
}

// goServe runs an accept loop in a goroutine.
func (d *gatewayDaemon) goServe(serve func()) {
	d.serveLoops.Add(1)
	go func() {
		defer d.serveLoops.Done()
		serve()
	}()
}

// drain shuts the gateway down gracefully within the shutdown time and reports whether all requests finished. Those that
// have not finished by then are answered before it returns.
func (d *gatewayDaemon) drain() bool {
	limit := d.settings.ShutdownTimeout()
	limit -= min(shutdownMargin, limit/2)
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	requestsCtx, cancelRequests := context.WithTimeout(ctx, limit-min(finalAnswersTime, limit/2))
	defer cancelRequests()
	d.gateway.PrepareStop(requestsCtx)
	// Heartbeats are still answered until the process exits, so that the backend server keeps its keys while the node
	// restarts.
	if d.requestServers.finish(requestsCtx, time.Now()) {
		return true
	}
	d.events.Emit(eventlog.ShutdownTimedOut)
	d.gateway.EndRequests()
	// A busy machine may need part of the margin for the last answers; otherwise their connections end without one.
	answersCtx, cancelAnswers := context.WithTimeout(context.Background(), min(finalAnswersTime+shutdownMargin*3/5, limit/2))
	defer cancelAnswers()
	d.requestServers.writeAnswers(answersCtx)
	d.events.Flush()
	return false
}

// close closes all parts, the gateway before the clients that it uses.
func (d *gatewayDaemon) close(stopServing func()) {
	for _, s := range d.servers {
		_ = s.Close()
	}
	stopServing()
	d.gateway.Close()
	if err := errors.Join(d.peers.Close(), d.metrics.Shutdown(context.Background()), d.tracing.Shutdown(context.Background())); err != nil {
		d.events.Emit(eventlog.CloseFailed, eventlog.Cause(err))
	}
	d.store.Close()
	d.backend.CloseIdleConnections()
	if d.keyCalls != nil {
		d.keyCalls.Close()
	}
	d.serveLoops.Wait()
	d.events.Flush()
}
