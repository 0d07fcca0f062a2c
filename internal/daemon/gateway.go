package daemon

import (
	"context"
	"errors"
	"fmt"
	"io"
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
	"golang.org/x/sys/unix"

	"heatherreel/internal/eventlog"
	"heatherreel/internal/gateway"
	"heatherreel/internal/keyrange"
	"heatherreel/internal/node"
	"heatherreel/internal/operator"
	"heatherreel/internal/problem"
	"heatherreel/internal/settings"
	"heatherreel/internal/telemetry"
	"heatherreel/platform/backend"
	"heatherreel/platform/caller"
	"heatherreel/platform/store"
)

// Sizes of a gateway.
const (
	// gatewayIngressWorkers is the number of requests of callers in progress; each waits for its answer on a worker.
	gatewayIngressWorkers = 192
	gatewayIngressQueue   = 256
	// gatewayBackendWorkers bounds the exchanges at once; it is above the slots of any backend server in use.
	gatewayBackendWorkers = 64
	// logLines is how many lines wait for a slow reader of the log before further ones are dropped.
	logLines = 512
	// logPoll is how often the log writer looks for lines.
	logPoll = 100 * time.Millisecond
	// drainMargin is the part of the drain time that is left for requests already on their way.
	drainMargin = 500 * time.Millisecond
	// shutdownMargin is left of the time for a planned stop when running requests are cut off.
	shutdownMargin = 500 * time.Millisecond
	// collectPercent is the growth of the heap between two collections. The heap is a few megabytes, so that a collection costs
	// little, and memory is paid for on each instance.
	collectPercent = 40
	// memoryShare is the part of the memory limit that the collector keeps the heap below.
	memoryShare = 0.6
	// retryNodes is the least number of nodes that share the fleet's floor of second sends.
	retryNodes = 10
)

// gatewayDaemon is a running gateway.
type gatewayDaemon struct {
	settings settings.Gateway
	events   *eventlog.Logger
	metrics  *telemetry.Metrics
	tracing  *telemetry.Tracing
	gateway  *gateway.Gateway
	store    *store.Client
	peers    *node.Client
	backend  *backend.Client
	callers  *http.Server
	servers  []*http.Server
	serving  sync.WaitGroup
}

// settingsPoll is how often the settings file is compared: it may change without a signal.
const settingsPoll = 2 * time.Second

// GatewaySource reads the settings of a gateway again while it runs.
type GatewaySource struct {
	// Load returns the settings as they are now.
	Load func() (settings.Gateway, error)
	// Changed receives a value when the settings are said to have changed.
	Changed <-chan os.Signal
}

// RunGateway runs a gateway until ctx ends, then stops it: it is no longer ready, and running requests finish. It writes
// events to out and never waits for it.
func RunGateway(ctx context.Context, s settings.Gateway, source GatewaySource, out io.Writer) error {
	applyProcessLimits(s)
	debug.SetGCPercent(collectPercent)
	dropped := func(n int) { fmt.Fprintf(out, "{\"name\":\"log_lines_dropped\",\"count\":%d}\n", n) }
	log := diode.NewWriter(out, logLines, logPoll, dropped)
	defer log.Close()
	d, err := newGatewayDaemon(s, log)
	if err != nil {
		return err
	}
	serving, stopServing := context.WithCancel(context.Background())
	defer stopServing()
	if err := d.listen(serving); err != nil {
		return err
	}
	d.gateway.Start()
	d.follow(ctx, source)
	if !d.drain() {
		// The end of the process cuts the requests that still run; to wait for them would take longer than the time for a stop.
		return problem.New(problem.Unavailable, "raise shutdown_s", "the node was stopped while it ran requests")
	}
	d.close(stopServing)
	return nil
}

// applyProcessLimits bounds the processor and the memory of the process.
func applyProcessLimits(s settings.Gateway) {
	runtime.GOMAXPROCS(max(1, int(math.Ceil(s.CPUShare))))
	debug.SetMemoryLimit(int64(float64(s.MemoryMB) * memoryShare * (1 << 20)))
}

// gatewayLimits returns the limits of a gateway that its settings state.
func gatewayLimits(s settings.Gateway) gateway.Limits {
	return gateway.Limits{
		// The budget is shared without a count: each node takes half of what its own requests allow, and its part of half the
		// floor.
		Retry: gateway.RetryLimits{Ratio: s.RetryRatio / 2, Floor: s.RetryFloor / s.RetryWindowS / 2 / retryNodes,
			Window: time.Duration(s.RetryWindowS * float64(time.Second))},
		DrainTime: s.Drain() - min(drainMargin, s.Drain()/2),
	}
}

// follow puts changes of the settings in force until ctx ends.
func (d *gatewayDaemon) follow(ctx context.Context, source GatewaySource) {
	ticker := time.NewTicker(settingsPoll)
	defer ticker.Stop()
	refused := ""
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-source.Changed:
		}
		next, err := source.Load()
		if err != nil {
			// A fault is reported once, not at each poll.
			if err.Error() != refused {
				refused = err.Error()
				d.events.Emit(eventlog.SettingsRefused, eventlog.Cause(err))
			}
			continue
		}
		refused = ""
		if next != d.settings {
			d.apply(next)
		}
	}
}

// apply puts changed settings in force, as far as a running process can.
func (d *gatewayDaemon) apply(next settings.Gateway) {
	if d.settings.NeedsRestart(next) {
		d.events.Emit(eventlog.SettingsNeedRestart)
	}
	d.settings = next
	applyProcessLimits(next)
	d.gateway.Apply(gatewayLimits(next))
	d.events.Emit(eventlog.SettingsReloaded)
}

func newGatewayDaemon(s settings.Gateway, out io.Writer) (*gatewayDaemon, error) {
	d := &gatewayDaemon{settings: s, store: store.New(s.StoreAddress), peers: node.NewClient(), backend: backend.New(gatewayBackendWorkers)}
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
	d.gateway = gateway.New(gateway.Options{
		Self: gateway.Self{Instance: s.Instance, Incarnation: time.Now().UnixMilli(), Address: s.NodesAddress,
			DataCentre: s.DataCentre, Region: s.Region, Service: s.Service, BackendAddress: s.BackendAddress},
		IngressWorkers: gatewayIngressWorkers, IngressQueue: gatewayIngressQueue, BackendWorkers: gatewayBackendWorkers,
		Limits: gatewayLimits(s),
	}, gateway.Dependencies{
		Store: d.store, OperatorTopic: store.OperatorTopic, DecodeOperator: store.DecodeOperatorWord,
		Peers: d.peers, Backend: d.backend, Events: d.events, Metrics: d.metrics, Tracing: d.tracing, Now: boottime,
	})
	return d, nil
}

// boottime reads the clock that counts the time during which the machine is suspended.
func boottime() keyrange.Instant {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		// The clock exists on all Linux versions that Go supports.
		panic(problem.New(problem.Invalid, "run the daemon on Linux", "no clock that counts suspended time: %w", err))
	}
	return keyrange.Instant(t.Nano())
}

// listen opens the listeners and serves the peers until serving ends.
func (d *gatewayDaemon) listen(serving context.Context) error {
	server, err := node.NewRouterServer(d.gateway)
	if err != nil {
		return err
	}
	listener, err := d.open("nodes", d.settings.NodesAddress)
	if err != nil {
		return err
	}
	d.goServe(func() { _ = server.Serve(serving, listener) })
	for _, h := range []struct {
		name, address string
		handler       http.Handler
	}{
		{"callers", d.settings.CallersAddress, caller.NewRequestHandler(d.gateway)},
		{"heartbeats", d.settings.HeartbeatsAddress, caller.NewHeartbeatHandler(d.gateway)},
		{"ready", d.settings.ReadyAddress, caller.NewReadyHandler(d.gateway)},
		{"metrics", d.settings.MetricsAddress, operator.NewGatewayHandler(d.gateway.State, d.metrics.Handler())},
	} {
		listener, err := d.open(h.name, h.address)
		if err != nil {
			return err
		}
		server := caller.NewServer(h.handler)
		if d.callers == nil {
			d.callers = server
		}
		d.servers = append(d.servers, server)
		d.goServe(func() { _ = server.Serve(listener) })
	}
	return nil
}

// open opens one TCP listener.
func (d *gatewayDaemon) open(name, address string) (net.Listener, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		d.events.Emit(eventlog.ListenFailed, eventlog.Name("listener", name), eventlog.Cause(err))
		return nil, problem.New(problem.Invalid, "free the address or change the setting "+name+"_address",
			"cannot listen for %s: %w", name, err)
	}
	return listener, nil
}

// goServe runs an accept loop.
func (d *gatewayDaemon) goServe(serve func()) {
	d.serving.Add(1)
	go func() {
		defer d.serving.Done()
		serve()
	}()
}

// drain makes a planned stop within the time for it.
func (d *gatewayDaemon) drain() bool {
	limit := d.settings.Shutdown()
	ctx, cancel := context.WithTimeout(context.Background(), limit-min(shutdownMargin, limit/2))
	defer cancel()
	d.gateway.Leave(ctx)
	// Shutdown ends idle connections at once and lets the requests of callers that are in progress finish. Heartbeats are
	// answered until the end, so that the backend server keeps its keys while the node starts again.
	if err := d.callers.Shutdown(ctx); err != nil || !d.gateway.Finish(ctx) {
		d.events.Emit(eventlog.ShutdownTimedOut)
		d.events.Flush()
		return false
	}
	return true
}

// close ends all parts.
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
	d.backend.DropIdle()
	d.serving.Wait()
	d.events.Flush()
}
