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

// measureMemory measures the tables of one node.
func measureMemory(_ context.Context, o options) error {
	if err := stateMemory(o.seed); err != nil {
		return err
	}
	return tableMemory()
}

// stateMemory measures the replayed state by members and slices.
func stateMemory(seed uint64) error {
	t := &table{
		title:  "Memory of the replayed state",
		header: []string{"members", "slices", "state", "per member without slices", "per slice", "checkpoint", "checkpoint per member"},
	}
	for _, n := range memberCounts {
		var base float64
		for _, each := range []int{0, 16, 64, 256} {
			var failed error
			p, bytes := heapOf(func() *ledger.State {
				p, err := newPopulation(n, each, seed)
				if err != nil {
					failed = err
					return nil
				}
				return p.state
			})
			if failed != nil {
				return failed
			}
			if each == 0 {
				base = bytes
				continue
			}
			encoded, err := p.MarshalJSON()
			if err != nil {
				return err
			}
			slices := float64(n * each)
			t.add(fmt.Sprint(n), number(slices), fmt.Sprintf("%.0f KB", bytes/1e3), number(base/float64(n))+" B",
				number((bytes-base)/slices)+" B", fmt.Sprintf("%.0f KB", float64(len(encoded))/1e3),
				number(float64(len(encoded))/float64(n))+" B")
		}
	}
	t.print()
	return nil
}

// tableMemory measures the tables whose size depends on what the node itself does.
func tableMemory() error {
	t := &table{title: "Memory of the other tables of one node", header: []string{"table", "entries", "bytes per entry", "whole"}}
	add := func(name string, n int, bytes float64) {
		t.add(name, fmt.Sprint(n), number(bytes/float64(n)), fmt.Sprintf("%.1f KB", bytes/1e3))
	}
	const holders, ownedSlices, retained, waiting = 300, 1024, 20_000, 10_000
	parameters, err := lease.NewParameters(lease.DefaultTiming())
	if err != nil {
		return err
	}
	now := time.Now()
	_, bytes := heapOf(func() *lease.Witness { return witnessOf(parameters, holders, now) })
	add("witness: holders", holders, bytes)
	_, bytes = heapOf(func() []*lease.Holder {
		list := make([]*lease.Holder, 100)
		for i := range list {
			list[i] = lease.NewHolder(parameters, 1, ledger.WitnessSet{Version: 1, Members: []ledger.Incarnation{2, 3, 4}}, now)
		}
		return list
	})
	add("lease of a holder with three witnesses", 100, bytes)
	_, bytes = heapOf(func() *serving.Table { return servingOf(ownedSlices, now) })
	add("serving: owned slices", ownedSlices, bytes)
	_, bytes = heapOf(func() *outcome.Table { return retainedOf(retained) })
	add("retained outcomes, body of 32 bytes", retained, bytes)
	_, bytes = heapOf(func() *admission.Queue { return waitingOf(waiting, now) })
	add("admission: waiting calls of as many keys", waiting, bytes)
	t.print()
	return nil
}

// witnessOf returns a witness of n holders.
func witnessOf(p lease.Parameters, n int, now time.Time) *lease.Witness {
	w := lease.NewWitness(p, 1)
	for i := range n {
		w.Learn(ledger.Incarnation(i+2), ledger.WitnessSet{Version: ledger.Offset(i + 2), Members: []ledger.Incarnation{1}}, now)
	}
	return w
}

// ownedList returns n owned slices.
func ownedList(n int) []serving.OwnedSlice {
	list := make([]serving.OwnedSlice, n)
	for i := range list {
		list[i].SliceFence = ledger.SliceFence{Slice: keyspace.SliceID{Group: groupOf(0), Index: uint32(i)}, Fence: 7}
	}
	return list
}

// servingOf returns a table that serves n slices.
func servingOf(n int, now time.Time) *serving.Table {
	t := serving.NewTable()
	t.Sync(ownedList(n))
	t.Advance(now)
	t.ConfirmGrants(t.Grants())
	return t
}

// retainedOf returns a table with n completed outcomes. It reads the clock for each, since the table refuses ids that
// are issued later than the time it is given.
func retainedOf(n int) *outcome.Table {
	t := outcome.NewTable(outcome.Options{
		Retention: outcome.DefaultRetention, CallerLead: outcome.DefaultCallerLead, NodeSkew: outcome.DefaultNodeSkew,
		MaxBytes: 1 << 30, AnswerReserve: outcome.DefaultAnswerReserve,
	})
	for i := range n {
		ref := outcome.Ref{
			Slice: keyspace.SliceID{Group: groupOf(0), Index: uint32(i % slicesPerMember)}, Tenant: "tenant",
			ID: uuid.Must(uuid.NewV7()),
		}
		t.Admit(time.Now(), ref, outcome.Fingerprint{byte(i)})
		t.Complete(time.Now(), ref, request.Answer{Outcome: request.Done, Status: 200, ContentType: "text/plain", Body: make([]byte, 32)})
	}
	return t
}

// waitingOf returns a queue in which n calls wait.
func waitingOf(n int, now time.Time) *admission.Queue {
	q := admission.NewQueue(admission.Options{Limit: 1, QueueLimit: n})
	for i := range n + 1 {
		q.Offer(now, admission.Job{Tenant: "tenant", Key: fmt.Sprint("key-", i), Class: request.Interactive, Deadline: now.Add(time.Hour)})
	}
	return q
}
