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

// nodeRun is what one engine cost in a fleet of some size.
type nodeRun struct {
	records int
	replay  time.Duration
	heap    float64
	// idle is the processor time in idleTime without records.
	idle time.Duration
	// alone and burst are the processor time of one record, read one by one or at once.
	alone, burst time.Duration
}

// Lengths of the measured phases.
const (
	idleTime      = 3 * time.Second
	recordsAlone  = 100
	aloneInterval = 20 * time.Millisecond
	recordsBurst  = 2000
)

// measureNode measures a whole engine at several fleet sizes.
func measureNode(ctx context.Context, o options) error {
	t := &table{
		title: "One engine in a large fleet, without sockets: replay at the start, no records, records one by one and at once",
		header: []string{"members × slices each", "records at the start", "their replay", "heap of the engine",
			"processor without records", "one record alone", "one of 2000 records at once"},
	}
	for _, s := range shapes {
		r, err := runNode(ctx, s, o.seed)
		if err != nil {
			return fmt.Errorf("%v: %w", s, err)
		}
		t.add(s.String(), fmt.Sprint(r.records), short(r.replay), fmt.Sprintf("%.2f MB", r.heap/1e6),
			percent(float64(r.idle)/float64(idleTime)), short(r.alone), short(r.burst))
	}
	t.print()
	return nil
}

// runNode measures one size.
func runNode(ctx context.Context, s shape, seed uint64) (r nodeRun, err error) {
	p, err := newPopulation(s.members, s.slices, seed)
	if err != nil {
		return r, err
	}
	if err := p.publish(largeDocument()); err != nil {
		return r, err
	}
	log := fake.NewLog()
	for _, data := range p.history {
		if _, err := log.AppendBytes(ctx, data); err != nil {
			return r, err
		}
	}
	r.records = log.Len()
	before := heap()
	f, err := newLargeFleet(log)
	if err != nil {
		return r, err
	}
	defer f.engine.Close()
	began := ownProcessorTime()
	f.engine.Start()
	if err := f.waitOffset(ctx); err != nil {
		return r, err
	}
	r.replay = ownProcessorTime() - began
	defer f.announce(ctx)()
	if err := f.join(ctx, p); err != nil {
		return r, err
	}
	r.heap = float64(heap()) - float64(before)
	return r, f.load(ctx, p, &r)
}

// load measures the engine as a member.
func (f *largeFleet) load(ctx context.Context, p *population, r *nodeRun) error {
	defer f.renew(p)()
	began := ownProcessorTime()
	<-time.After(idleTime)
	r.idle = ownProcessorTime() - began
	share := float64(r.idle) / float64(idleTime)
	var err error
	if r.alone, err = f.feed(ctx, p, recordsAlone, aloneInterval, share); err != nil {
		return err
	}
	r.burst, err = f.feed(ctx, p, recordsBurst, 0, share)
	return err
}

// announce announces the backend server as it does each second, until the returned function is called.
func (f *largeFleet) announce(ctx context.Context) (stop func()) {
	return repeat(fake.AnnounceInterval, func() {
		// A refused announcement shows as an engine that does not join.
		_ = f.engine.Announce(ctx, backendserver.Announcement{
			Address: "127.0.0.1:1", Service: groupOf(0).Service, Incarnation: sampleID, Slots: 10, Connections: 130, Weight: 100,
		})
	})
}

// repeat calls f at once and each interval until the returned function is called.
func repeat(interval time.Duration, f func()) (stop func()) {
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

// join waits until the engine has joined, gives it the share of a member and makes it a witness of three members.
func (f *largeFleet) join(ctx context.Context, p *population) error {
	group := groupOf(0)
	err := poll(ctx, settleTimeout, func() error {
		if state := f.engine.Status().Lease.State; state != operator.LeaseOwning {
			return fmt.Errorf("the lease of the engine is %s", state)
		}
		return nil
	})
	if err != nil {
		return err
	}
	if err := f.follow(ctx, p); err != nil {
		return err
	}
	me := ledger.Incarnation(f.engine.Status().Incarnation)
	for _, m := range p.sorted()[:holdersPerWitness] {
		err := f.append(ctx, p, &ledger.Record{Kind: ledger.KindWitnesses, Witnesses: &ledger.Witnesses{
			Incarnation: m.Incarnation, Base: m.WitnessSet.Version, Witnesses: []ledger.Incarnation{me},
		}})
		if err != nil {
			return err
		}
	}
	for _, m := range placement.PlanRebalance(p.state, group, p.policy(group), placement.DefaultRebalanceLimits) {
		if err := f.append(ctx, p, &ledger.Record{Kind: ledger.KindMove, Move: &m}); err != nil {
			return err
		}
	}
	return f.waitShare(ctx, p, me)
}

// holdersPerWitness is the mean number of holders of a witness.
const holdersPerWitness = 3

// waitShare waits until the engine owns slices and has settled them. The engine may itself plan moves to members that
// exist in the log only; those never settle.
func (f *largeFleet) waitShare(ctx context.Context, p *population, me ledger.Incarnation) error {
	return poll(ctx, settleTimeout, func() error {
		if err := f.follow(ctx, p); err != nil {
			return err
		}
		owned := p.state.Owned(me)
		for _, o := range owned {
			if len(p.state.Groups[o.Slice.Group].Slices[o.Slice.Index].Sources) > 0 {
				return fmt.Errorf("slice %s is not settled", o.Slice)
			}
		}
		if len(owned) == 0 {
			return errors.New("the engine owns nothing")
		}
		return nil
	})
}

// append appends a record through the log, for another member.
func (f *largeFleet) append(ctx context.Context, p *population, r *ledger.Record) error {
	if err := p.identify(r); err != nil {
		return err
	}
	if _, err := f.log.Append(ctx, r); err != nil {
		return err
	}
	return f.follow(ctx, p)
}

// follow replays what the log has into the state of the population.
func (f *largeFleet) follow(ctx context.Context, p *population) error {
	page, err := f.log.Read(ctx, p.state.Offset+1, 1000, 0)
	for _, entry := range page.Entries {
		p.state.Apply(entry.Offset, entry.Record)
	}
	return err
}

// renew sends the renewals of the engine's holders until the returned function is called.
func (f *largeFleet) renew(p *population) (stop func()) {
	me := f.engine.Status().Incarnation
	var holders []*ledger.Member
	for _, m := range p.state.Members {
		if len(m.WitnessSet.Members) == 1 && m.WitnessSet.Members[0] == me {
			holders = append(holders, m)
		}
	}
	sequence := uint64(0)
	return repeat(lease.DefaultTiming().RenewalInterval, func() {
		sequence++
		for _, m := range holders {
			f.engine.LeaseMessage(node.LeaseMessage{Renewal: &lease.Renewal{
				Holder: m.Incarnation, SetVersion: m.WitnessSet.Version, Sequence: sequence, Witness: me,
			}})
		}
	})
}

// feed appends records that change a member of another service, and returns the processor time of one beyond that of
// the engine without records. Encoding them comes before; what remains of the caller's work is a copy of the bytes.
func (f *largeFleet) feed(ctx context.Context, p *population, records int, interval time.Duration, idle float64) (time.Duration, error) {
	other := keyspace.Group{Service: groupOf(1).Service}
	var encoded [][]byte
	for i := range records {
		r := &ledger.Record{Kind: ledger.KindDrain, Drain: &ledger.Drain{
			Incarnation: ownerIn(p.state, other), Draining: i%2 == 0,
		}}
		if err := p.identify(r); err != nil {
			return 0, err
		}
		data, err := platformlog.Encode(r)
		if err != nil {
			return 0, err
		}
		encoded = append(encoded, data)
	}
	began, processor := time.Now(), ownProcessorTime()
	for _, data := range encoded {
		if _, err := f.log.AppendBytes(ctx, data); err != nil {
			return 0, err
		}
		<-time.After(interval)
	}
	if err := f.waitOffset(ctx); err != nil {
		return 0, err
	}
	used := ownProcessorTime() - processor - time.Duration(idle*float64(time.Since(began)))
	return used / time.Duration(records), nil
}

// ownerIn returns the owner of the first slice of a group.
func ownerIn(s *ledger.State, id keyspace.Group) ledger.Incarnation {
	return s.Groups[id].Slices[0].Owner
}
