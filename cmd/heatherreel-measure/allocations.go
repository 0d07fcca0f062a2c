package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"runtime"
	"time"

	"heatherreel/internal/backendserver"
	"heatherreel/internal/caller"
	"heatherreel/internal/daemon"
	"heatherreel/internal/fake"
	"heatherreel/internal/launch"
	"heatherreel/internal/ledger"
	"heatherreel/internal/platformlog"
	"heatherreel/internal/settings"
)

// measureAllocations runs two nodes, their backend servers and the log in this process, and counts the allocations of a
// request. What the load generator and the backend server allocate is in the baseline.
func measureAllocations(ctx context.Context, o options) error {
	f, stop, err := startInProcess(o)
	if err != nil {
		return err
	}
	defer stop()
	if err := f.publish(ctx, ""); err != nil {
		return err
	}
	if err := f.settle(ctx); err != nil {
		return err
	}
	ingress, owner := f.instances[0], f.instances[1]
	keys, err := f.keysOf(ctx, owner, measuredKeys)
	if err != nil {
		return err
	}
	callers, backends := caller.NewClient(maxConnections), backendserver.NewClient(maxConnections, 1<<20)
	defer callers.Close()
	defer backends.Close()
	t := &table{
		title:  "Allocations of a read, all parts in one process; the nodes' own are the difference to the baseline",
		header: []string{"way", "allocations", "bytes", "added allocations", "added bytes"},
	}
	var baseline cost
	for i, way := range paths(ingress, owner, callers, backends) {
		c, err := allocationsOf(ctx, way, keys)
		if err != nil {
			return err
		}
		if i == 0 {
			baseline = c
		}
		t.add(way.name, number(c.allocs), number(c.bytes), number(c.allocs-baseline.allocs), number(c.bytes-baseline.bytes))
	}
	t.print()
	return nil
}

// countedRequests are enough to make the work of timers and control small.
const countedRequests = 3000

// allocationsOf sends requests one after another.
func allocationsOf(ctx context.Context, way path, keys []ownedKey) (cost, error) {
	send := func(n int) error {
		for i := range n {
			if _, err := timed(ctx, way, keys[i%len(keys)]); err != nil {
				return err
			}
		}
		return nil
	}
	// The first requests open connections.
	const warmUp = 200
	if err := send(warmUp); err != nil {
		return cost{}, err
	}
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	if err := send(countedRequests); err != nil {
		return cost{}, err
	}
	runtime.ReadMemStats(&after)
	return cost{
		allocs: float64(after.Mallocs-before.Mallocs) / countedRequests,
		bytes:  float64(after.TotalAlloc-before.TotalAlloc) / countedRequests,
	}, nil
}

// startInProcess starts two nodes, in two data centres of one region, on the ports of the first instances of a fleet.
func startInProcess(o options) (f *measuredFleet, stop func(), err error) {
	all := newFleet(o)
	all.instances = []*instance{all.instances[0], all.instances[2]}
	f = &measuredFleet{fleet: all, state: ledger.NewState()}
	var stops []func()
	stop = func() {
		for i := len(stops) - 1; i >= 0; i-- {
			stops[i]()
		}
	}
	listener, err := net.Listen("tcp", f.logAddr)
	if err != nil {
		return nil, nil, err
	}
	server := &http.Server{Handler: fake.NewLogHandler(fake.NewLog()), ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(listener) }()
	stops = append(stops, func() { _ = server.Close() })
	f.client = platformlog.NewClient("http://"+f.logAddr, settings.DefaultLogStream)
	stops = append(stops, f.client.Close)
	for _, i := range f.instances {
		// Only tells settled that the node runs.
		i.node = &launch.Process{}
		stops = append(stops, runNodeInProcess(i, f.logAddr))
		backend := fake.NewBackendServer(fake.BackendOptions{
			Service: fleetService, Incarnation: i.name, Slots: 64, Connections: 128, Weight: 100, ChecksGrants: true,
		})
		if err := backend.Listen(i.backend); err != nil {
			stop()
			return nil, nil, fmt.Errorf("backend server of %s: %w", i.name, err)
		}
		announcer := fake.NewAnnouncer(backend, i.announcements, fake.AnnounceInterval, nil)
		stops = append(stops, backend.Close, announcer.Stop)
	}
	return f, stop, nil
}

// runNodeInProcess runs a node until the returned function is called.
func runNodeInProcess(i *instance, logAddr string) (stop func()) {
	size := func(workers, queue int) settings.PoolSize { return settings.PoolSize{Workers: workers, Queue: queue} }
	s := settings.Settings{
		Instance: i.name, DataCentre: i.dataCentre, Region: i.region, Address: netip.MustParseAddr("127.0.0.1"),
		CallersAddress: netip.MustParseAddrPort(i.callers), NodesAddress: netip.MustParseAddrPort(i.nodes),
		LeasesAddress: netip.MustParseAddrPort(i.leases), BackendAddress: netip.MustParseAddrPort(i.announcements),
		OperatorsAddress: netip.MustParseAddrPort(i.operators),
		LogURL:           &url.URL{Scheme: "http", Host: logAddr}, LogStream: settings.DefaultLogStream,
		Ingress:       size(settings.DefaultIngressWorkers, settings.DefaultIngressQueue),
		Owner:         size(settings.DefaultOwnerWorkers, settings.DefaultOwnerQueue),
		Lease:         size(settings.DefaultLeaseWorkers, settings.DefaultLeaseQueue),
		Ledger:        size(settings.DefaultLedgerWorkers, settings.DefaultLedgerQueue),
		RequestIDSkew: settings.DefaultRequestIDSkew,
		// The nodes are dropped with the process; there is nobody to move slices to.
		ShutdownTimeout: 200 * time.Millisecond,
		TraceOutput:     settings.TraceNone,
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		// The error says that the node was stopped with slices left.
		_ = daemon.Run(ctx, s, io.Discard)
	}()
	return func() {
		cancel()
		<-ended
	}
}
