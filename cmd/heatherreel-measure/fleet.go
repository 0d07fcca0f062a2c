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

// fleetDocument is the configuration of the measured fleet; 16 slices for each of eight nodes.
const fleetDocument = `regions:
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

// fleetSlices is the number of slices in fleetDocument.
const fleetSlices = 128

// measuredFleet is a running fleet with a reader of its log.
type measuredFleet struct {
	*fleet
	client *platformlog.Client
	state  *ledger.State
}

// measureFleet starts eight nodes as processes and measures them idle, under requests and under losses.
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
	f.client = platformlog.NewClient("http://"+f.logAddr, "heatherreel")
	defer f.client.Close()
	if err := f.publish(ctx, ""); err != nil {
		return err
	}
	if err := f.settle(ctx); err != nil {
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

// follow replays what the log has.
func (f *measuredFleet) follow(ctx context.Context) error {
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

// publish publishes the configuration with a comment, which makes each document different.
func (f *measuredFleet) publish(ctx context.Context, comment string) error {
	if err := f.follow(ctx); err != nil {
		return err
	}
	_, err := f.client.Append(ctx, &ledger.Record{
		Kind: ledger.KindConfiguration, ID: fmt.Sprint("publication-", f.state.Offset),
		Configuration: &ledger.Configuration{Base: f.state.Revision(), Document: fleetDocument + comment, Author: "measure"},
	})
	return err
}

// settle waits until all running nodes are members and own even shares of settled slices.
func (f *measuredFleet) settle(ctx context.Context) error {
	return poll(ctx, settleTimeout, func() error {
		if err := f.follow(ctx); err != nil {
			return err
		}
		return f.settled()
	})
}

// maxShareSpread is how far the shares of two nodes may differ after rebalancing.
const maxShareSpread = 2

// settled checks the replayed state.
func (f *measuredFleet) settled() error {
	running := 0
	for _, i := range f.instances {
		if i.node != nil {
			running++
		}
	}
	if len(f.state.Members) != running {
		return fmt.Errorf("%d members of %d nodes", len(f.state.Members), running)
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
		return fmt.Errorf("shares from %d to %d slices", low, high)
	}
	return nil
}

// nodes returns the processes of the running nodes.
func (f *measuredFleet) nodes() []*launch.Process {
	var list []*launch.Process
	for _, i := range f.instances {
		if i.node != nil {
			list = append(list, i.node)
		}
	}
	return list
}

// Budgets of one node for control.
const (
	processorBudget = 0.017
	memoryBudget    = 64e6
	trafficBudget   = 5e3
)

// idleFleetTime is how long the idle fleet is watched. With clock ticks of 10 ms the error is below 0.15% of a core.
const idleFleetTime = 15 * time.Second

// measureIdle measures the fleet without requests.
func (f *measuredFleet) measureIdle(ctx context.Context) error {
	// What follows the start, such as the exchange of witnesses, is over by then.
	const quiet = 5 * time.Second
	<-time.After(quiet)
	before, err := f.controlBytes(ctx)
	if err != nil {
		return err
	}
	used, err := within(ctx, f.nodes(), func(context.Context) error {
		<-time.After(idleFleetTime)
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
		title:  fmt.Sprintf("Idle fleet of eight processes, %v, against the budgets 1.7%% of a core, 64 MB and 5 KB/s", idleFleetTime),
		header: []string{"node", "processor", "of budget", "resident", "without the program file", "lease bytes/s", "log bytes/s", "traffic of budget"},
	}
	for n, i := range f.instances {
		all, anonymous, err := residentBytes(i.node)
		if err != nil {
			return err
		}
		share := float64(used[n]) / float64(idleFleetTime)
		leases := (after[n]["lease_udp"] - before[n]["lease_udp"]) / idleFleetTime.Seconds()
		log := (after[n]["log_http"] - before[n]["log_http"]) / idleFleetTime.Seconds()
		t.add(i.name, percent(share), percent(share/processorBudget), fmt.Sprintf("%.1f MB", all/1e6),
			fmt.Sprintf("%.1f MB (%s)", anonymous/1e6, percent(anonymous/memoryBudget)), number(leases), number(log),
			percent((leases+log)/trafficBudget))
	}
	t.print()
	return nil
}

// controlBytes reads the metric of control bytes of each node, summed over both directions, by transport.
func (f *measuredFleet) controlBytes(ctx context.Context) ([]map[string]float64, error) {
	var list []map[string]float64
	for _, i := range f.instances {
		q, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+i.operators+"/metrics", nil)
		if err != nil {
			return nil, err
		}
		reply, err := http.DefaultClient.Do(q)
		if err != nil {
			return nil, err
		}
		counts := map[string]float64{}
		scanner := bufio.NewScanner(reply.Body)
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
		if err := errors.Join(scanner.Err(), reply.Body.Close()); err != nil {
			return nil, err
		}
		list = append(list, counts)
	}
	return list, nil
}

// publications is the number of configuration changes that are measured.
const publications = 20

// measurePropagation measures the time from the append of a configuration until it is in force on all nodes.
func (f *measuredFleet) measurePropagation(ctx context.Context) error {
	var times []time.Duration
	for n := range publications {
		began := time.Now()
		if err := f.publish(ctx, fmt.Sprintf("# publication %d\n", n)); err != nil {
			return err
		}
		if err := f.follow(ctx); err != nil {
			return err
		}
		err := poll(ctx, settleTimeout, func() error { return f.inForce(ctx, f.state.Revision()) })
		if err != nil {
			return err
		}
		times = append(times, time.Since(began))
	}
	t := &table{
		title:  fmt.Sprintf("Configuration: from the append until in force on all eight nodes, %d publications, target 10 s", publications),
		header: []string{"median", "worst"},
	}
	t.add(short(median(times)), short(worst(times)))
	t.print()
	return nil
}

// inForce checks that every node has the revision in force.
func (f *measuredFleet) inForce(ctx context.Context, revision ledger.Offset) error {
	for _, i := range f.instances {
		status, err := operator.NewClient(i.operators).Status(ctx)
		if err != nil {
			return err
		}
		if status.Revision != revision {
			return fmt.Errorf("%s has revision %d, want %d", i.name, status.Revision, revision)
		}
	}
	return nil
}
