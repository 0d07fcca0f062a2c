package main

import (
	"context"
	"errors"
	"fmt"
	"time"

	"heatherreel/internal/backendserver"
	"heatherreel/internal/fake"
	"heatherreel/internal/keyspace"
	"heatherreel/internal/lease"
	"heatherreel/internal/ledger"
	"heatherreel/internal/node"
	"heatherreel/internal/operator"
	"heatherreel/internal/placement"
	"heatherreel/internal/platformlog"
)

// engineCost is the resource use of one engine in a fleet of one size.
type engineCost struct {
	// recordsAtStart is the number of records in the log when the engine starts; replayCPU is the CPU time to replay
	// them.
	recordsAtStart int
	replayCPU      time.Duration
	heapBytes      float64
	// idleCPU is the CPU time during idleDuration without new records.
	idleCPU time.Duration
	// singleRecordCPU and burstRecordCPU are the CPU times per record, for records that arrive one by one and in a
	// burst.
	singleRecordCPU, burstRecordCPU time.Duration
}

// Durations and numbers of records of the measured phases.
const (
	idleDuration         = 3 * time.Second
	singleRecords        = 100
	singleRecordInterval = 20 * time.Millisecond
	burstRecords         = 2000
)

// measureNode measures one engine at each fleet size.
func measureNode(ctx context.Context, o options) error {
	t := &table{
		title: "One engine in a large fleet, without sockets: replay at the start, no records, records one by one and at once",
		header: []string{"members × slices each", "records at the start", "their replay", "heap of the engine",
			"processor without records", "one record alone", "one of 2000 records at once"},
	}
	for _, s := range fleetSizes {
		r, err := measureEngine(ctx, s, o.seed)
		if err != nil {
			return fmt.Errorf("%v: %w", s, err)
		}
		t.add(s.String(), fmt.Sprint(r.recordsAtStart), formatDuration(r.replayCPU), fmt.Sprintf("%.2f MB", r.heapBytes/1e6),
			formatPercent(float64(r.idleCPU)/float64(idleDuration)),
			formatDuration(r.singleRecordCPU), formatDuration(r.burstRecordCPU))
	}
	t.print()
	return nil
}

// measureEngine measures one engine in a fleet of one size.
func measureEngine(ctx context.Context, s fleetSize, seed uint64) (r engineCost, err error) {
	sim, err := newSimulatedFleet(s.members, s.slicesPerMember, seed)
	if err != nil {
		return r, err
	}
	if err := sim.publishConfiguration(largeConfiguration()); err != nil {
		return r, err
	}
	log := fake.NewLog()
	for _, data := range sim.history {
		if _, err := log.AppendBytes(ctx, data); err != nil {
			return r, err
		}
	}
	r.recordsAtStart = log.Len()
	before := liveHeap()
	h, err := newEngineHarness(log)
	if err != nil {
		return r, err
	}
	defer h.engine.Close()
	began := ownCPUTime()
	h.engine.Start()
	if err := h.waitReplayed(ctx); err != nil {
		return r, err
	}
	r.replayCPU = ownCPUTime() - began
	defer h.startAnnouncing(ctx)()
	if err := h.setUpMember(ctx, sim); err != nil {
		return r, err
	}
	r.heapBytes = float64(liveHeap()) - float64(before)
	return r, h.measureMember(ctx, sim, &r)
}

// measureMember measures the CPU time of the engine as a member: idle, then with records one by one and in a burst.
func (h *engineHarness) measureMember(ctx context.Context, sim *simulatedFleet, r *engineCost) error {
	defer h.startRenewals(sim)()
	began := ownCPUTime()
	<-time.After(idleDuration)
	r.idleCPU = ownCPUTime() - began
	idleShare := float64(r.idleCPU) / float64(idleDuration)
	var err error
	if r.singleRecordCPU, err = h.measureRecords(ctx, sim, singleRecords, singleRecordInterval, idleShare); err != nil {
		return err
	}
	r.burstRecordCPU, err = h.measureRecords(ctx, sim, burstRecords, 0, idleShare)
	return err
}

// startAnnouncing announces the backend server at the usual interval until the returned function is called.
func (h *engineHarness) startAnnouncing(ctx context.Context) (stop func()) {
	return startRepeating(fake.AnnounceInterval, func() {
		// The error is ignored: if announcements are refused, the engine does not join and setUpMember times out.
		_ = h.engine.Announce(ctx, backendserver.Announcement{
			Address: "127.0.0.1:1", Service: serviceGroup(0).Service, Incarnation: sampleUUID,
			Slots: 10, Connections: 130, Weight: 100,
		})
	})
}

// startRepeating calls f now and at each interval, until the returned function is called.
func startRepeating(interval time.Duration, f func()) (stop func()) {
	done, ended := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(ended)
		ticker := time.NewTicker(interval)
		defer ticker.Stop()
		for {
			f()
			select {
			case <-ticker.C:
			case <-done:
				return
			}
		}
	}()
	return func() {
		close(done)
		<-ended
	}
}

// setUpMember waits until the engine has joined, makes it the only witness of holdersPerWitness members, and moves
// slices to it as a rebalance plan says.
func (h *engineHarness) setUpMember(ctx context.Context, sim *simulatedFleet) error {
	group := serviceGroup(0)
	err := poll(ctx, settleTimeout, func() error {
		if state := h.engine.Status().Lease.State; state != operator.LeaseOwning {
			return fmt.Errorf("the lease state of the engine is %s", state)
		}
		return nil
	})
	if err != nil {
		return err
	}
	if err := h.replayLog(ctx, sim); err != nil {
		return err
	}
	incarnation := ledger.Incarnation(h.engine.Status().Incarnation)
	for _, m := range sim.sortedMembers()[:holdersPerWitness] {
		err := h.appendRecord(ctx, sim, &ledger.Record{Kind: ledger.KindWitnesses, Witnesses: &ledger.Witnesses{
			Incarnation: m.Incarnation, Base: m.WitnessSet.Version, Witnesses: []ledger.Incarnation{incarnation},
		}})
		if err != nil {
			return err
		}
	}
	for _, m := range placement.PlanRebalance(sim.state, group, sim.policy(group), placement.DefaultRebalanceLimits) {
		if err := h.appendRecord(ctx, sim, &ledger.Record{Kind: ledger.KindMove, Move: &m}); err != nil {
			return err
		}
	}
	return h.waitSlicesSettled(ctx, sim, incarnation)
}

// holdersPerWitness is the mean number of holders per witness.
const holdersPerWitness = 3

// waitSlicesSettled waits until the engine owns slices and all of them are settled. It ignores slices of other members:
// the engine may plan moves to members that exist only in the log, and these never settle.
func (h *engineHarness) waitSlicesSettled(ctx context.Context, sim *simulatedFleet, incarnation ledger.Incarnation) error {
	return poll(ctx, settleTimeout, func() error {
		if err := h.replayLog(ctx, sim); err != nil {
			return err
		}
		owned := sim.state.Owned(incarnation)
		for _, o := range owned {
			if len(sim.state.Groups[o.Slice.Group].Slices[o.Slice.Index].Sources) > 0 {
				return fmt.Errorf("slice %s is not settled", o.Slice)
			}
		}
		if len(owned) == 0 {
			return errors.New("the engine owns no slices")
		}
		return nil
	})
}

// appendRecord appends a record to the log on behalf of another member and replays it into the simulated fleet.
func (h *engineHarness) appendRecord(ctx context.Context, sim *simulatedFleet, r *ledger.Record) error {
	if err := sim.setRecordID(r); err != nil {
		return err
	}
	if _, err := h.log.Append(ctx, r); err != nil {
		return err
	}
	return h.replayLog(ctx, sim)
}

// replayLog replays new records of the log into the state of the simulated fleet.
func (h *engineHarness) replayLog(ctx context.Context, sim *simulatedFleet) error {
	page, err := h.log.Read(ctx, sim.state.Offset+1, 1000, 0)
	for _, entry := range page.Entries {
		sim.state.Apply(entry.Offset, entry.Record)
	}
	return err
}

// startRenewals sends the renewals of the members whose witness is the engine, until the returned function is called.
func (h *engineHarness) startRenewals(sim *simulatedFleet) (stop func()) {
	incarnation := h.engine.Status().Incarnation
	var holders []*ledger.Member
	for _, m := range sim.state.Members {
		if len(m.WitnessSet.Members) == 1 && m.WitnessSet.Members[0] == incarnation {
			holders = append(holders, m)
		}
	}
	sequence := uint64(0)
	return startRepeating(lease.DefaultTiming().RenewalInterval, func() {
		sequence++
		for _, m := range holders {
			h.engine.LeaseMessage(node.LeaseMessage{Renewal: &lease.Renewal{
				Holder: m.Incarnation, SetVersion: m.WitnessSet.Version, Sequence: sequence, Witness: incarnation,
			}})
		}
	})
}

// measureRecords appends records that change a member of another service, and returns the CPU time per record after the
// subtraction of idleShare, the share of a core that the engine uses without records. The records are encoded before
// the measurement, so that appending them only adds a copy of the bytes.
func (h *engineHarness) measureRecords(
	ctx context.Context, sim *simulatedFleet, records int, interval time.Duration, idleShare float64,
) (time.Duration, error) {
	other := keyspace.Group{Service: serviceGroup(1).Service}
	var encoded [][]byte
	for i := range records {
		r := &ledger.Record{Kind: ledger.KindDrain, Drain: &ledger.Drain{
			Incarnation: firstOwner(sim.state, other), Draining: i%2 == 0,
		}}
		if err := sim.setRecordID(r); err != nil {
			return 0, err
		}
		data, err := platformlog.Encode(r)
		if err != nil {
			return 0, err
		}
		encoded = append(encoded, data)
	}
	began, cpuTime := time.Now(), ownCPUTime()
	for _, data := range encoded {
		if _, err := h.log.AppendBytes(ctx, data); err != nil {
			return 0, err
		}
		<-time.After(interval)
	}
	if err := h.waitReplayed(ctx); err != nil {
		return 0, err
	}
	used := ownCPUTime() - cpuTime - time.Duration(idleShare*float64(time.Since(began)))
	return used / time.Duration(records), nil
}

// firstOwner returns the owner of the first slice of a group.
func firstOwner(s *ledger.State, id keyspace.Group) ledger.Incarnation {
	return s.Groups[id].Slices[0].Owner
}
