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
// request. The baseline contains the allocations of the load generator and the backend server.
func measureAllocations(ctx context.Context, o options) error {
	f, stop, err := startInProcessFleet(o)
	if err != nil {
		return err
	}
	defer stop()
	if err := f.publish(ctx, ""); err != nil {
		return err
	}
	if err := f.waitSettled(ctx); err != nil {
		return err
	}
	ingress, owner := f.instances[0], f.instances[1]
	keys, err := f.findOwnedKeys(ctx, owner, measuredKeyCount)
	if err != nil {
		return err
	}
	callerClient, backendClient := caller.NewClient(maxConnections), backendserver.NewClient(maxConnections, 1<<20)
	defer callerClient.Close()
	defer backendClient.Close()
	t := &table{
		title:  "Allocations of a read, all parts in one process; the nodes' own are the difference to the baseline",
		header: []string{"way", "allocations", "bytes", "added allocations", "added bytes"},
	}
	var baseline cost
	for i, path := range requestPaths(ingress, owner, callerClient, backendClient) {
		c, err := countAllocations(ctx, path, keys)
		if err != nil {
			return err
		}
		if i == 0 {
			baseline = c
		}
		t.add(path.name, formatNumber(c.allocs), formatNumber(c.bytes),
			formatNumber(c.allocs-baseline.allocs), formatNumber(c.bytes-baseline.bytes))
	}
	t.print()
	return nil
}

// measuredRequestCount is large enough that the allocations of timers and of control traffic are negligible.
const measuredRequestCount = 3000

// countAllocations returns the mean allocations of a request, with one request in flight at a time.
func countAllocations(ctx context.Context, path requestPath, keys []ownedKey) (cost, error) {
	send := func(n int) error {
		for i := range n {
			if _, err := sendTimed(ctx, path, keys[i%len(keys)]); err != nil {
				return err
			}
		}
		return nil
	}
	// The first requests open connections; their allocations are not counted.
	const warmUp = 200
	if err := send(warmUp); err != nil {
		return cost{}, err
	}
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	if err := send(measuredRequestCount); err != nil {
		return cost{}, err
	}
	runtime.ReadMemStats(&after)
	return cost{
		allocs: float64(after.Mallocs-before.Mallocs) / measuredRequestCount,
		bytes:  float64(after.TotalAlloc-before.TotalAlloc) / measuredRequestCount,
	}, nil
}

// startInProcessFleet starts the log, and two nodes with backend servers in two data centres of one region, within this
// process. They use the addresses that newFleet assigns.
func startInProcessFleet(o options) (f *measuredFleet, stop func(), err error) {
	all := newFleet(o)
	all.instances = []*instance{all.instances[0], all.instances[2]}
	f = &measuredFleet{fleet: all, state: ledger.NewState()}
	var stops []func()
	stop = func() {
		for i := len(stops) - 1; i >= 0; i-- {
			stops[i]()
		}
	}
	listener, err := net.Listen("tcp", f.logAddress)
	if err != nil {
		return nil, nil, err
	}
	server := &http.Server{Handler: fake.NewLogHandler(fake.NewLog()), ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(listener) }()
	stops = append(stops, func() { _ = server.Close() })
	f.client = platformlog.NewClient("http://"+f.logAddress, settings.DefaultLogStream)
	stops = append(stops, f.client.Close)
	for _, inst := range f.instances {
		// checkSettled counts an instance as running if its nodeProcess is set.
		inst.nodeProcess = &launch.Process{}
		stops = append(stops, runNodeInProcess(inst, f.logAddress))
		backend := fake.NewBackendServer(fake.BackendOptions{
			Service: fleetService, Incarnation: inst.name, Slots: 64, Connections: 128, Weight: 100, ChecksGrants: true,
		})
		if err := backend.Listen(inst.backendAddress); err != nil {
			stop()
			return nil, nil, fmt.Errorf("start the backend server of %s: %w", inst.name, err)
		}
		announcer := fake.NewAnnouncer(backend, inst.announcementsAddress, fake.AnnounceInterval, nil)
		stops = append(stops, backend.Close, announcer.Stop)
	}
	return f, stop, nil
}

// runNodeInProcess starts a node with default pool sizes. The returned function stops it and waits for its end.
func runNodeInProcess(inst *instance, logAddress string) (stop func()) {
	poolSize := func(workers, queue int) settings.PoolSize { return settings.PoolSize{Workers: workers, Queue: queue} }
	s := settings.Settings{
		Instance: inst.name, DataCentre: inst.dataCentre, Region: inst.region, Address: netip.MustParseAddr("127.0.0.1"),
		CallersAddress: netip.MustParseAddrPort(inst.callersAddress), NodesAddress: netip.MustParseAddrPort(inst.nodesAddress),
		LeasesAddress:    netip.MustParseAddrPort(inst.leasesAddress),
		BackendAddress:   netip.MustParseAddrPort(inst.announcementsAddress),
		OperatorsAddress: netip.MustParseAddrPort(inst.operatorsAddress),
		LogURL:           &url.URL{Scheme: "http", Host: logAddress}, LogStream: settings.DefaultLogStream,
		Ingress:       poolSize(settings.DefaultIngressWorkers, settings.DefaultIngressQueue),
		Owner:         poolSize(settings.DefaultOwnerWorkers, settings.DefaultOwnerQueue),
		Lease:         poolSize(settings.DefaultLeaseWorkers, settings.DefaultLeaseQueue),
		Ledger:        poolSize(settings.DefaultLedgerWorkers, settings.DefaultLedgerQueue),
		RequestIDSkew: settings.DefaultRequestIDSkew,
		// All nodes stop together, so there is no node to move slices to, and a longer drain would gain nothing.
		ShutdownTimeout: 200 * time.Millisecond,
		TraceOutput:     settings.TraceNone,
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		// Run reports an error since the node still owns slices when it stops.
		_ = daemon.Run(ctx, s, io.Discard)
	}()
	return func() {
		cancel()
		<-ended
	}
}
