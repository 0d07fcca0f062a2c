package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"heatherreel/internal/launch"
	"heatherreel/internal/ledger"
	"heatherreel/internal/operator"
	"heatherreel/internal/platformlog"
)

// fleetConfiguration is the configuration document of the measured fleet, with 16 slices for each of the eight nodes.
const fleetConfiguration = `regions:
  emea-west: {data_centres: [west-a, west-b]}
  emea-central: {data_centres: [central-a, central-b]}
services: [orders]
tenants: [beta]
defaults:
  home_regions: any
  deadline: 2s
  slices: 128
  checks_grants: true
  concurrency_limit: 64
`

// fleetSlices is the number of slices in fleetConfiguration.
const fleetSlices = 128

// measuredFleet is a running fleet with a client of its log and the state that is replayed from the log.
type measuredFleet struct {
	*fleet
	client *platformlog.Client
	state  *ledger.State
}

// measureFleet starts eight nodes as processes. It measures them idle, under requests, during publications and when
// nodes are killed.
func measureFleet(ctx context.Context, o options) error {
	if o.logs == "" {
		directory, err := os.MkdirTemp("", "heatherreel-measure-")
		if err != nil {
			return err
		}
		o.logs = directory
	}
	f := &measuredFleet{fleet: newFleet(o), state: ledger.NewState()}
	defer f.stop()
	if err := f.startAll(); err != nil {
		return err
	}
	f.client = platformlog.NewClient("http://"+f.logAddress, "heatherreel")
	defer f.client.Close()
	if err := f.publish(ctx, ""); err != nil {
		return err
	}
	if err := f.waitSettled(ctx); err != nil {
		return err
	}
	for _, step := range []func(context.Context) error{
		f.measureIdle, f.measureRequests, f.measurePropagation, f.measureLosses,
	} {
		if err := step(ctx); err != nil {
			return fmt.Errorf("%w; output of the processes: %s", err, o.logs)
		}
	}
	return nil
}

// replayLog replays all new records of the log into the state.
func (f *measuredFleet) replayLog(ctx context.Context) error {
	for {
		page, err := f.client.Read(ctx, f.state.Offset+1, 1000, 0)
		if err != nil || len(page.Entries) == 0 {
			return err
		}
		for _, entry := range page.Entries {
			f.state.Apply(entry.Offset, entry.Record)
		}
	}
}

// publish publishes the configuration with a comment appended, so that each document is different.
func (f *measuredFleet) publish(ctx context.Context, comment string) error {
	if err := f.replayLog(ctx); err != nil {
		return err
	}
	_, err := f.client.Append(ctx, &ledger.Record{
		Kind: ledger.KindConfiguration, ID: fmt.Sprint("publication-", f.state.Offset),
		Configuration: &ledger.Configuration{Base: f.state.Revision(), Document: fleetConfiguration + comment, Author: "measure"},
	})
	return err
}

// waitSettled waits until all running nodes are members, all slices are owned and settled, and the shares of the nodes
// differ by at most maxShareSpread.
func (f *measuredFleet) waitSettled(ctx context.Context) error {
	return poll(ctx, settleTimeout, func() error {
		if err := f.replayLog(ctx); err != nil {
			return err
		}
		return f.checkSettled()
	})
}

// maxShareSpread is the largest difference, in slices, between the shares of two nodes after rebalancing.
const maxShareSpread = 2

// checkSettled returns an error unless the replayed state satisfies the conditions of waitSettled.
func (f *measuredFleet) checkSettled() error {
	running := 0
	for _, inst := range f.instances {
		if inst.nodeProcess != nil {
			running++
		}
	}
	if len(f.state.Members) != running {
		return fmt.Errorf("%d members, but %d nodes run", len(f.state.Members), running)
	}
	shares := map[ledger.Incarnation]int{}
	for _, g := range f.state.Groups {
		for i := range g.Slices {
			if g.Slices[i].Owner == 0 || len(g.Slices[i].Sources) > 0 {
				return fmt.Errorf("slice %d is unowned or unsettled", i)
			}
			shares[g.Slices[i].Owner]++
		}
	}
	low, high := fleetSlices, 0
	for incarnation := range f.state.Members {
		low, high = min(low, shares[incarnation]), max(high, shares[incarnation])
	}
	if high-low > maxShareSpread {
		return fmt.Errorf("shares are uneven: from %d to %d slices", low, high)
	}
	return nil
}

// nodeProcesses returns the processes of the running nodes.
func (f *measuredFleet) nodeProcesses() []*launch.Process {
	var list []*launch.Process
	for _, inst := range f.instances {
		if inst.nodeProcess != nil {
			list = append(list, inst.nodeProcess)
		}
	}
	return list
}

// Budgets of one node for control work: a share of a core, bytes of memory, and bytes per second on the network.
const (
	cpuBudget     = 0.017
	memoryBudget  = 64e6
	trafficBudget = 5e3
)

// idleFleetDuration is how long the idle fleet is measured. CPU times have a resolution of 10 ms, so the error is below
// 0.15% of a core.
const idleFleetDuration = 15 * time.Second

// measureIdle measures the fleet without requests.
func (f *measuredFleet) measureIdle(ctx context.Context) error {
	// Work that follows the start, such as the replacement of witnesses, has ended after this delay.
	const startupDelay = 5 * time.Second
	<-time.After(startupDelay)
	before, err := f.controlBytes(ctx)
	if err != nil {
		return err
	}
	used, err := cpuTimeDuring(ctx, f.nodeProcesses(), func(context.Context) error {
		<-time.After(idleFleetDuration)
		return nil
	})
	if err != nil {
		return err
	}
	after, err := f.controlBytes(ctx)
	if err != nil {
		return err
	}
	t := &table{
		title:  fmt.Sprintf("Idle fleet of eight processes, %v, against the budgets 1.7%% of a core, 64 MB and 5 KB/s", idleFleetDuration),
		header: []string{"node", "processor", "of budget", "resident", "without the program file", "lease bytes/s", "log bytes/s", "traffic of budget"},
	}
	for n, inst := range f.instances {
		total, anonymous, err := residentBytes(inst.nodeProcess)
		if err != nil {
			return err
		}
		share := float64(used[n]) / float64(idleFleetDuration)
		leases := (after[n]["lease_udp"] - before[n]["lease_udp"]) / idleFleetDuration.Seconds()
		log := (after[n]["log_http"] - before[n]["log_http"]) / idleFleetDuration.Seconds()
		t.add(inst.name, formatPercent(share), formatPercent(share/cpuBudget), fmt.Sprintf("%.1f MB", total/1e6),
			fmt.Sprintf("%.1f MB (%s)", anonymous/1e6, formatPercent(anonymous/memoryBudget)),
			formatNumber(leases), formatNumber(log), formatPercent((leases+log)/trafficBudget))
	}
	t.print()
	return nil
}

// controlBytes reads heatherreel_control_bytes_total of each node: sent and received bytes by transport.
func (f *measuredFleet) controlBytes(ctx context.Context) ([]map[string]float64, error) {
	var list []map[string]float64
	for _, inst := range f.instances {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+inst.operatorsAddress+"/metrics", nil)
		if err != nil {
			return nil, err
		}
		response, err := http.DefaultClient.Do(req)
		if err != nil {
			return nil, err
		}
		counts := map[string]float64{}
		scanner := bufio.NewScanner(response.Body)
		for scanner.Scan() {
			name, value, _ := strings.Cut(scanner.Text(), "} ")
			_, transport, ok := strings.Cut(name, `transport="`)
			if !ok || !strings.HasPrefix(name, "heatherreel_control_bytes_total") {
				continue
			}
			bytes, err := strconv.ParseFloat(value, 64)
			if err != nil {
				return nil, err
			}
			counts[strings.TrimSuffix(transport, `"`)] += bytes
		}
		if err := errors.Join(scanner.Err(), response.Body.Close()); err != nil {
			return nil, err
		}
		list = append(list, counts)
	}
	return list, nil
}

// publicationCount is the number of measured publications.
const publicationCount = 20

// measurePropagation measures the time from appending a configuration until it is in force on all nodes.
func (f *measuredFleet) measurePropagation(ctx context.Context) error {
	var times []time.Duration
	for n := range publicationCount {
		began := time.Now()
		if err := f.publish(ctx, fmt.Sprintf("# publication %d\n", n)); err != nil {
			return err
		}
		if err := f.replayLog(ctx); err != nil {
			return err
		}
		err := poll(ctx, settleTimeout, func() error { return f.checkRevision(ctx, f.state.Revision()) })
		if err != nil {
			return err
		}
		times = append(times, time.Since(began))
	}
	t := &table{
		title:  fmt.Sprintf("Configuration: from the append until in force on all eight nodes, %d publications, target 10 s", publicationCount),
		header: []string{"median", "worst"},
	}
	t.add(formatDuration(median(times)), formatDuration(longest(times)))
	t.print()
	return nil
}

// checkRevision returns an error unless the revision is in force on every node.
func (f *measuredFleet) checkRevision(ctx context.Context, revision ledger.Offset) error {
	for _, inst := range f.instances {
		status, err := operator.NewClient(inst.operatorsAddress).Status(ctx)
		if err != nil {
			return err
		}
		if status.Revision != revision {
			return fmt.Errorf("%s has revision %d, want %d", inst.name, status.Revision, revision)
		}
	}
	return nil
}
