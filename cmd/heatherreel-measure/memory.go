package main

import (
	"context"
	"fmt"
	"time"

	"github.com/google/uuid"

	"heatherreel/internal/admission"
	"heatherreel/internal/keyspace"
	"heatherreel/internal/lease"
	"heatherreel/internal/ledger"
	"heatherreel/internal/outcome"
	"heatherreel/internal/request"
	"heatherreel/internal/serving"
)

// measureMemory measures the memory of the data structures of one node.
func measureMemory(_ context.Context, o options) error {
	if err := measureStateMemory(o.seed); err != nil {
		return err
	}
	return measureTableMemory()
}

// measureStateMemory measures the replayed state for several numbers of members and slices.
func measureStateMemory(seed uint64) error {
	t := &table{
		title:  "Memory of the replayed state",
		header: []string{"members", "slices", "state", "per member without slices", "per slice", "checkpoint", "checkpoint per member"},
	}
	for _, n := range memberCounts {
		var bytesWithoutSlices float64
		for _, slicesEach := range []int{0, 16, 64, 256} {
			var buildErr error
			state, bytes := measureHeap(func() *ledger.State {
				sim, err := newSimulatedFleet(n, slicesEach, seed)
				if err != nil {
					buildErr = err
					return nil
				}
				return sim.state
			})
			if buildErr != nil {
				return buildErr
			}
			if slicesEach == 0 {
				bytesWithoutSlices = bytes
				continue
			}
			encoded, err := state.MarshalJSON()
			if err != nil {
				return err
			}
			slices := float64(n * slicesEach)
			t.add(fmt.Sprint(n), formatNumber(slices), fmt.Sprintf("%.0f KB", bytes/1e3),
				formatNumber(bytesWithoutSlices/float64(n))+" B", formatNumber((bytes-bytesWithoutSlices)/slices)+" B", fmt.Sprintf("%.0f KB", float64(len(encoded))/1e3),
				formatNumber(float64(len(encoded))/float64(n))+" B")
		}
	}
	t.print()
	return nil
}

// measureTableMemory measures the tables whose size depends on the work of the node itself, not on the size of the
// fleet.
func measureTableMemory() error {
	t := &table{title: "Memory of the other tables of one node", header: []string{"table", "entries", "bytes per entry", "whole"}}
	add := func(name string, n int, bytes float64) {
		t.add(name, fmt.Sprint(n), formatNumber(bytes/float64(n)), fmt.Sprintf("%.1f KB", bytes/1e3))
	}
	// The numbers of entries in the tables.
	const holders, ownedSlices, retainedOutcomes, waitingCalls = 300, 1024, 20_000, 10_000
	parameters, err := lease.NewParameters(lease.DefaultTiming())
	if err != nil {
		return err
	}
	now := time.Now()
	_, bytes := measureHeap(func() *lease.Witness { return newWitness(parameters, holders, now) })
	add("witness: holders", holders, bytes)
	_, bytes = measureHeap(func() []*lease.Holder {
		list := make([]*lease.Holder, 100)
		for i := range list {
			list[i] = lease.NewHolder(parameters, 1, ledger.WitnessSet{Version: 1, Members: []ledger.Incarnation{2, 3, 4}}, now)
		}
		return list
	})
	add("lease of a holder with three witnesses", 100, bytes)
	_, bytes = measureHeap(func() *serving.Table { return newServingTable(ownedSlices, now) })
	add("serving: owned slices", ownedSlices, bytes)
	_, bytes = measureHeap(func() *outcome.Table { return newOutcomeTable(retainedOutcomes) })
	add("retained outcomes, body of 32 bytes", retainedOutcomes, bytes)
	_, bytes = measureHeap(func() *admission.Queue { return newWaitingQueue(waitingCalls, now) })
	add("admission: waiting calls of as many keys", waitingCalls, bytes)
	t.print()
	return nil
}

// newWitness returns a witness of n holders.
func newWitness(parameters lease.Parameters, n int, now time.Time) *lease.Witness {
	w := lease.NewWitness(parameters, 1)
	for i := range n {
		w.WitnessSetRead(ledger.Incarnation(i+2), ledger.WitnessSet{Version: ledger.Offset(i + 2), Members: []ledger.Incarnation{1}}, now)
	}
	return w
}

// newOwnedSlices returns n owned slices of one group.
func newOwnedSlices(n int) []serving.OwnedSlice {
	list := make([]serving.OwnedSlice, n)
	for i := range list {
		list[i].SliceFence = ledger.SliceFence{Slice: keyspace.SliceID{Group: serviceGroup(0), Index: uint32(i)}, Fence: 7}
	}
	return list
}

// newServingTable returns a serving table with n slices that are granted.
func newServingTable(n int, now time.Time) *serving.Table {
	t := serving.NewTable()
	t.Sync(newOwnedSlices(n))
	t.Advance(now)
	t.ConfirmGrants(t.Grants())
	return t
}

// newOutcomeTable returns a table with n completed outcomes. It reads the clock for each entry, since the table refuses
// request ids whose timestamp is later than the time it is given.
func newOutcomeTable(n int) *outcome.Table {
	t := outcome.NewTable(outcome.Options{
		Retention: outcome.DefaultRetention, CallerLead: outcome.DefaultCallerLead, NodeSkew: outcome.DefaultNodeSkew,
		MaxBytes: 1 << 30, AnswerReserve: outcome.DefaultAnswerReserve,
	})
	for i := range n {
		ref := outcome.Ref{
			Slice: keyspace.SliceID{Group: serviceGroup(0), Index: uint32(i % slicesPerMember)}, Tenant: "tenant",
			ID: uuid.Must(uuid.NewV7()),
		}
		t.Admit(time.Now(), ref, outcome.Fingerprint{byte(i)})
		t.Complete(time.Now(), ref, request.Answer{
			Outcome: request.Done, Status: 200, ContentType: "text/plain", Body: make([]byte, 32),
		})
	}
	return t
}

// newWaitingQueue returns an admission queue in which n calls of different keys wait.
func newWaitingQueue(n int, now time.Time) *admission.Queue {
	q := admission.NewQueue(admission.Options{Limit: 1, QueueLimit: n})
	for i := range n + 1 {
		q.Offer(now, admission.Job{
			Tenant: "tenant", Key: fmt.Sprint("key-", i), Class: request.Interactive, Deadline: now.Add(time.Hour),
		})
	}
	return q
}
