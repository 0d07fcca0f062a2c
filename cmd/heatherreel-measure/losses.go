package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	"heatherreel/internal/caller"
	"heatherreel/internal/fake"
	"heatherreel/internal/keyspace"
	"heatherreel/internal/ledger"
	"heatherreel/internal/request"
)

// lossCase is a number of nodes that are killed in turn while each call of the log takes logDelay longer.
type lossCase struct {
	logDelay time.Duration
	kills    int
}

var lossCases = []lossCase{{0, 4}, {50 * time.Millisecond, 2}, {200 * time.Millisecond, 2}}

// median returns the middle duration, or the longer of the two in the middle.
func median(times []time.Duration) time.Duration {
	sorted := slices.Sorted(slices.Values(times))
	return sorted[len(sorted)/2]
}

func longest(times []time.Duration) time.Duration { return slices.Max(times) }

// ownerChanges counts slices whose owner changed. minimum is the least number of changes that was possible.
type ownerChanges struct{ count, minimum int }

// measureLosses kills and restarts single nodes in turn, then the nodes of a data centre, then the whole fleet.
func (f *measuredFleet) measureLosses(ctx context.Context) error {
	t := &table{
		title:  "Lost nodes: time from the kill until a read of each key of the node is done, for the slowest of its slices; target 1 s",
		header: []string{"delay of each call of the log", "kills", "median", "worst", "slices that changed owner at the loss", "at the return", "least possible for both"},
	}
	targetIndex := 0
	for _, c := range lossCases {
		var times []time.Duration
		var atLoss, atReturn ownerChanges
		for range c.kills {
			if err := f.setLogDelay(ctx, c.logDelay); err != nil {
				return err
			}
			// Instance 0 is never killed, because waitServed reads through it.
			targetIndex = targetIndex%(len(f.instances)-1) + 1
			took, err := f.measureLoss(ctx, f.instances[targetIndex:targetIndex+1], &atLoss)
			if err != nil {
				return err
			}
			times = append(times, took)
			// The delay applies to the loss only, not to the return of the node.
			if err := f.setLogDelay(ctx, 0); err != nil {
				return err
			}
			if err := f.restartInstances(ctx, f.instances[targetIndex:targetIndex+1], &atReturn); err != nil {
				return err
			}
		}
		t.add(c.logDelay.String(), fmt.Sprint(c.kills), formatDuration(median(times)), formatDuration(longest(times)),
			fmt.Sprint(atLoss.count), fmt.Sprint(atReturn.count), fmt.Sprint(atLoss.minimum, " + ", atReturn.minimum))
	}
	t.print()
	return f.measureMassFailures(ctx)
}

// setLogDelay sets the delay that the stand-in for the log adds to each call.
func (f *measuredFleet) setLogDelay(ctx context.Context, delay time.Duration) error {
	body, err := json.Marshal(fake.LogFaults{Delay: delay})
	if err != nil {
		return err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+f.logAddress+"/faults", bytes.NewReader(body))
	if err != nil {
		return err
	}
	response, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	return response.Body.Close()
}

// sliceOwners returns the instance name of the owner of each slice, or "" for a slice without owner.
func (f *measuredFleet) sliceOwners() []string {
	g := f.state.Groups[keyspace.Group{Service: fleetService}]
	names := make([]string, len(g.Slices))
	for i := range g.Slices {
		if m := f.state.Members[g.Slices[i].Owner]; m != nil {
			names[i] = m.Instance
		}
	}
	return names
}

// countChanges counts the slices whose owner differs between two results of sliceOwners.
func countChanges(before, after []string) int {
	n := 0
	for i := range before {
		if before[i] != after[i] {
			n++
		}
	}
	return n
}

// keysPerOwnedSlice returns one key for each slice that the instances own.
func (f *measuredFleet) keysPerOwnedSlice(targets []*instance) []string {
	isTarget := map[string]bool{}
	for _, target := range targets {
		isTarget[target.name] = true
	}
	owners := f.sliceOwners()
	keyOfSlice := map[uint32]string{}
	for n := range 100 * fleetSlices {
		key := fmt.Sprintf("position-%d", n)
		index := keyspace.Index(keyspace.Hash(key), fleetSlices)
		if isTarget[owners[index]] && keyOfSlice[index] == "" {
			keyOfSlice[index] = key
		}
	}
	var keys []string
	for _, key := range keyOfSlice {
		keys = append(keys, key)
	}
	return keys
}

// measureLoss kills instances at the same time and returns the time until all their slices are served again. It adds
// the owner changes to changes.
func (f *measuredFleet) measureLoss(ctx context.Context, targets []*instance, changes *ownerChanges) (time.Duration, error) {
	if err := f.replayLog(ctx); err != nil {
		return 0, err
	}
	before := f.sliceOwners()
	keys := f.keysPerOwnedSlice(targets)
	client := caller.NewClient(maxConnections)
	defer client.Close()
	began := time.Now()
	var wait sync.WaitGroup
	for _, target := range targets {
		wait.Add(1)
		go func() {
			defer wait.Done()
			target.kill()
		}()
	}
	wait.Wait()
	served, err := f.waitServed(ctx, client, keys)
	if err != nil {
		return 0, err
	}
	if err := f.replayLog(ctx); err != nil {
		return 0, err
	}
	changes.count += countChanges(before, f.sliceOwners())
	changes.minimum += len(keys)
	return served.Sub(began), nil
}

// probeInterval is the delay before the next read of a key that is not served.
const probeInterval = 5 * time.Millisecond

// probeTimeout is the time until the deadline of each read by waitServed. A shorter deadline would expire while the
// router still retries.
const probeTimeout = 2 * time.Second

// recoveryTimeout is the longest wait for keys to be served again.
const recoveryTimeout = 15 * time.Second

// waitServed reads all keys concurrently through the first node until each is served, and returns the time of the last.
func (f *measuredFleet) waitServed(ctx context.Context, client *caller.Client, keys []string) (time.Time, error) {
	ctx, cancel := context.WithTimeout(ctx, recoveryTimeout)
	defer cancel()
	times := make([]time.Time, len(keys))
	err := runWorkers(len(keys), func(worker int) error {
		for ctx.Err() == nil {
			r := newRead(ownedKey{key: keys[worker]})
			r.Deadline = time.Now().Add(probeTimeout)
			answer, _ := client.Do(ctx, f.instances[0].callersAddress, r)
			if answer.Outcome == request.Done {
				times[worker] = time.Now()
				return nil
			}
			<-time.After(probeInterval)
		}
		return errors.New("key was not served again: " + keys[worker])
	})
	return slices.MaxFunc(times, time.Time.Compare), err
}

// restartInstances starts killed instances and waits until the shares of the nodes are even again. It adds the owner
// changes to changes.
func (f *measuredFleet) restartInstances(ctx context.Context, targets []*instance, changes *ownerChanges) error {
	before := f.sliceOwners()
	for _, target := range targets {
		if err := f.startInstance(target); err != nil {
			return err
		}
	}
	if err := f.waitSettled(ctx); err != nil {
		return err
	}
	changes.count += countChanges(before, f.sliceOwners())
	changes.minimum += len(targets) * fleetSlices / len(f.instances)
	return nil
}

// measureMassFailures kills and restarts the nodes of a data centre, then all nodes.
func (f *measuredFleet) measureMassFailures(ctx context.Context) error {
	t := &table{
		title:  "Bursts",
		header: []string{"event", "all lost slices served again after", "records", "bytes of records"},
	}
	measureEvent := func(name string, event func() (string, error)) error {
		if err := f.replayLog(ctx); err != nil {
			return err
		}
		offset := f.state.Offset
		result, err := event()
		if err != nil {
			return err
		}
		records, size, err := f.recordsSince(ctx, offset)
		t.add(name, result, fmt.Sprint(records), fmt.Sprint(size))
		return err
	}
	targets := f.instances[4:6]
	err := measureEvent("both nodes of a data centre killed", func() (string, error) {
		took, err := f.measureLoss(ctx, targets, &ownerChanges{})
		return formatDuration(took), err
	})
	if err == nil {
		err = measureEvent("the data centre comes back", func() (string, error) {
			began := time.Now()
			err := f.restartInstances(ctx, targets, &ownerChanges{})
			return "even shares after " + formatDuration(time.Since(began)), err
		})
	}
	if err == nil {
		err = measureEvent("all nodes killed and started at once", func() (string, error) {
			return f.measureFullRestart(ctx), nil
		})
	}
	t.print()
	return err
}

// measureFullRestart kills and starts all instances. It returns the time until all measured keys are served again, or
// what failed.
func (f *measuredFleet) measureFullRestart(ctx context.Context) string {
	for _, inst := range f.instances {
		inst.kill()
	}
	began := time.Now()
	for _, inst := range f.instances {
		if err := f.startInstance(inst); err != nil {
			return err.Error()
		}
	}
	client := caller.NewClient(maxConnections)
	defer client.Close()
	var keys []string
	for n := range measuredKeyCount {
		keys = append(keys, fmt.Sprintf("position-%d", n))
	}
	served, err := f.waitServed(ctx, client, keys)
	if err != nil {
		return fmt.Sprintf("not within %v", recoveryTimeout)
	}
	return formatDuration(served.Sub(began))
}

// recordsSince returns the number and the encoded size of the records after an offset. It reads one page, so it counts
// at most 1000 records.
func (f *measuredFleet) recordsSince(ctx context.Context, offset ledger.Offset) (records, size int, err error) {
	page, err := f.client.Read(ctx, offset+1, 1000, 0)
	for _, entry := range page.Entries {
		data, err := json.Marshal(entry.Record)
		if err != nil {
			return records, size, err
		}
		records++
		size += len(data)
	}
	return records, size, err
}
