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

// loss is a series of lost nodes under one state of the log.
type loss struct {
	delay time.Duration
	kills int
}

var losses = []loss{{0, 4}, {50 * time.Millisecond, 2}, {200 * time.Millisecond, 2}}

// median returns the upper median.
func median(times []time.Duration) time.Duration {
	sorted := slices.Sorted(slices.Values(times))
	return sorted[len(sorted)/2]
}

func worst(times []time.Duration) time.Duration { return slices.Max(times) }

// churn counts slices that changed their owner, against the least possible.
type churn struct{ changed, least int }

// measureLosses kills nodes in turn and brings them back, then a data centre, then the whole fleet.
func (f *measuredFleet) measureLosses(ctx context.Context) error {
	t := &table{
		title:  "Lost nodes: time from the kill until a read of each key of the node is done, for the slowest of its slices; target 1 s",
		header: []string{"delay of each call of the log", "kills", "median", "worst", "slices that changed owner at the loss", "at the return", "least possible for both"},
	}
	victim := 0
	for _, l := range losses {
		var times []time.Duration
		var away, back churn
		for range l.kills {
			if err := f.setDelay(ctx, l.delay); err != nil {
				return err
			}
			victim = victim%(len(f.instances)-1) + 1
			took, err := f.loseOne(ctx, f.instances[victim:victim+1], &away)
			if err != nil {
				return err
			}
			times = append(times, took)
			// The return is not part of the measurement of the delay.
			if err := f.setDelay(ctx, 0); err != nil {
				return err
			}
			if err := f.bringBack(ctx, f.instances[victim:victim+1], &back); err != nil {
				return err
			}
		}
		t.add(l.delay.String(), fmt.Sprint(l.kills), short(median(times)), short(worst(times)), fmt.Sprint(away.changed),
			fmt.Sprint(back.changed), fmt.Sprint(away.least, " + ", back.least))
	}
	t.print()
	return f.measureBursts(ctx)
}

// setDelay sets the delay of each call of the log.
func (f *measuredFleet) setDelay(ctx context.Context, delay time.Duration) error {
	body, err := json.Marshal(fake.LogFaults{Delay: delay})
	if err != nil {
		return err
	}
	q, err := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+f.logAddr+"/faults", bytes.NewReader(body))
	if err != nil {
		return err
	}
	reply, err := http.DefaultClient.Do(q)
	if err != nil {
		return err
	}
	return reply.Body.Close()
}

// owners returns the owner of each slice as an instance.
func (f *measuredFleet) owners() []string {
	g := f.state.Groups[keyspace.Group{Service: fleetService}]
	names := make([]string, len(g.Slices))
	for i := range g.Slices {
		if m := f.state.Members[g.Slices[i].Owner]; m != nil {
			names[i] = m.Instance
		}
	}
	return names
}

// changed counts the differences between two assignments.
func changed(before, after []string) int {
	n := 0
	for i := range before {
		if before[i] != after[i] {
			n++
		}
	}
	return n
}

// keysOfSlices returns a key of each slice that the instances own.
func (f *measuredFleet) keysOfSlices(victims []*instance) []string {
	names := map[string]bool{}
	for _, v := range victims {
		names[v.name] = true
	}
	owners := f.owners()
	found := map[uint32]string{}
	for n := range 100 * fleetSlices {
		key := fmt.Sprintf("position-%d", n)
		index := keyspace.Index(keyspace.Hash(key), fleetSlices)
		if names[owners[index]] && found[index] == "" {
			found[index] = key
		}
	}
	var keys []string
	for _, key := range found {
		keys = append(keys, key)
	}
	return keys
}

// loseOne kills instances and returns the time until every slice of theirs is served again.
func (f *measuredFleet) loseOne(ctx context.Context, victims []*instance, c *churn) (time.Duration, error) {
	if err := f.follow(ctx); err != nil {
		return 0, err
	}
	before := f.owners()
	keys := f.keysOfSlices(victims)
	callers := caller.NewClient(maxConnections)
	defer callers.Close()
	began := time.Now()
	var group sync.WaitGroup
	for _, v := range victims {
		group.Add(1)
		go func() {
			defer group.Done()
			v.killInstance()
		}()
	}
	group.Wait()
	served, err := f.untilServed(ctx, callers, keys)
	if err != nil {
		return 0, err
	}
	if err := f.follow(ctx); err != nil {
		return 0, err
	}
	c.changed += changed(before, f.owners())
	c.least += len(keys)
	return served.Sub(began), nil
}

// probeInterval is the pause between two reads of a key that is not served.
const probeInterval = 5 * time.Millisecond

// probeTime is the deadline of a read of such a key. Shorter ones end while the router still retries.
const probeTime = 2 * time.Second

// lossTimeout ends the wait for keys that are not served again.
const lossTimeout = 15 * time.Second

// untilServed returns when the last of the keys was served.
func (f *measuredFleet) untilServed(ctx context.Context, callers *caller.Client, keys []string) (time.Time, error) {
	ctx, cancel := context.WithTimeout(ctx, lossTimeout)
	defer cancel()
	times := make([]time.Time, len(keys))
	err := workers(len(keys), func(w int) error {
		for ctx.Err() == nil {
			r := readOf(ownedKey{key: keys[w]})
			r.Deadline = time.Now().Add(probeTime)
			answer, _ := callers.Do(ctx, f.instances[0].callers, r)
			if answer.Outcome == request.Done {
				times[w] = time.Now()
				return nil
			}
			<-time.After(probeInterval)
		}
		return errors.New("a key is not served again: " + keys[w])
	})
	return slices.MaxFunc(times, time.Time.Compare), err
}

// bringBack starts instances and waits for even shares.
func (f *measuredFleet) bringBack(ctx context.Context, victims []*instance, c *churn) error {
	before := f.owners()
	for _, v := range victims {
		if err := f.startInstance(v); err != nil {
			return err
		}
	}
	if err := f.settle(ctx); err != nil {
		return err
	}
	c.changed += changed(before, f.owners())
	c.least += len(victims) * fleetSlices / len(f.instances)
	return nil
}

// measureBursts loses a data centre, then all nodes at once.
func (f *measuredFleet) measureBursts(ctx context.Context) error {
	t := &table{
		title:  "Bursts",
		header: []string{"event", "all lost slices served again after", "records", "bytes of records"},
	}
	count := func(name string, event func() (string, error)) error {
		if err := f.follow(ctx); err != nil {
			return err
		}
		from := f.state.Offset
		result, err := event()
		if err != nil {
			return err
		}
		records, size, err := f.recordsSince(ctx, from)
		t.add(name, result, fmt.Sprint(records), fmt.Sprint(size))
		return err
	}
	lost := f.instances[4:6]
	err := count("both nodes of a data centre killed", func() (string, error) {
		took, err := f.loseOne(ctx, lost, &churn{})
		return short(took), err
	})
	if err == nil {
		err = count("the data centre comes back", func() (string, error) {
			began := time.Now()
			err := f.bringBack(ctx, lost, &churn{})
			return "even shares after " + short(time.Since(began)), err
		})
	}
	if err == nil {
		err = count("all nodes killed and started at once", func() (string, error) { return f.restartAll(ctx), nil })
	}
	t.print()
	return err
}

// restartAll kills and starts all instances and says when they serve all slices again.
func (f *measuredFleet) restartAll(ctx context.Context) string {
	for _, i := range f.instances {
		i.killInstance()
	}
	began := time.Now()
	for _, i := range f.instances {
		if err := f.startInstance(i); err != nil {
			return err.Error()
		}
	}
	callers := caller.NewClient(maxConnections)
	defer callers.Close()
	var keys []string
	for n := range measuredKeys {
		keys = append(keys, fmt.Sprintf("position-%d", n))
	}
	served, err := f.untilServed(ctx, callers, keys)
	if err != nil {
		return fmt.Sprintf("not within %v", lossTimeout)
	}
	return short(served.Sub(began))
}

// recordsSince returns the number and the encoded bytes of the records after an offset.
func (f *measuredFleet) recordsSince(ctx context.Context, from ledger.Offset) (records, size int, err error) {
	page, err := f.client.Read(ctx, from+1, 1000, 0)
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
