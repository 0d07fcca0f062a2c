package engine

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"heatherreel/internal/backendserver"
	"heatherreel/internal/config"
	"heatherreel/internal/eventlog"
	"heatherreel/internal/keyspace"
	"heatherreel/internal/ledger"
	"heatherreel/internal/node"
	"heatherreel/internal/problem"
	"heatherreel/internal/serving"
	"heatherreel/internal/telemetry"
)

// Timing of the transfer of slices.
const (
	grantTimeout = time.Second
	// grantRetry is the pause after a grant that the backend server did not confirm.
	grantRetry = 100 * time.Millisecond
	// releaseTimeout is how long a source may take to answer before it is asked again.
	releaseTimeout = 2 * time.Second
	releaseRetry   = 50 * time.Millisecond
	// releasedThroughLogAfter is how long a source leaves the new owner to ask before it states the release in the log.
	// A release through the log loses the retained outcomes, so it comes only when the nodes cannot reach each other.
	releasedThroughLogAfter = 3 * time.Second
	purposeSettled          = purpose("settled")
	purposeReleased         = purpose("released")
)

// stepOwnership brings the served slices in line with the ledger: it grants them to the backend server, asks sources
// for releases, and tells the ledger what is settled.
func (e *Engine) stepOwnership() {
	step := e.serving.step(e.ownedSlices(), time.Now())
	if step.gained > 0 {
		e.deps.Metrics.Moved(telemetry.In, step.gained)
	}
	if step.lost > 0 {
		e.deps.Metrics.Moved(telemetry.Out, step.lost)
		e.releases.Fire()
		e.controlPool.After(releasedThroughLogAfter, e.proposeReleased)
	}
	if step.mustGrant || step.lost > 0 {
		e.granting.Fire()
	}
	for _, p := range step.pending {
		e.askRelease(p)
	}
	if len(step.settled) > 0 {
		e.proposeSettled(step.settled)
	}
	e.ownership.FireAt(step.next)
}

// ownedSlices returns the slices that the ledger gives to this node.
func (e *Engine) ownedSlices() []serving.Owned {
	self := e.incarnation()
	if self == 0 {
		return nil
	}
	var owned []serving.Owned
	var lost []lostSlice
	e.ledger.read(func(s *ledger.State, c *config.Configuration) {
		bound := e.inFlightBound(c)
		for _, f := range s.Owned(self) {
			slice := &s.Groups[f.Slice.Group].Slices[f.Slice.Index]
			if slice.Lost != 0 {
				lost = append(lost, lostSlice{slice: f, at: time.UnixMilli(slice.LostUnixMS)})
			}
			o := serving.Owned{SliceFence: f, Sources: slices.Clone(slice.Sources)}
			if read, ok := e.ledger.lossTimes[slice.Lost]; ok && bound > 0 {
				o.NotBefore = read.Add(bound)
			}
			owned = append(owned, o)
		}
	})
	// The bounds are set before any of these slices is served.
	e.boundOutcomes(lost)
	return owned
}

// inFlightBound returns how long requests of a lost owner may still run on its backend server; zero if backend servers
// of the service refuse a lower fence.
func (e *Engine) inFlightBound(c *config.Configuration) time.Duration {
	if c == nil {
		return 0
	}
	b := c.ResolveBackend(e.backend.service(), e.options.Self.DataCentre)
	if b.ChecksGrants {
		return 0
	}
	return b.InFlightBound
}

// grant states all slices to the backend server and serves those that it confirms. A backend server that does not check
// grants needs none.
func (e *Engine) grant() {
	address, ok := e.backend.address()
	if !ok {
		return
	}
	var grants []ledger.SliceFence
	e.serving.with(func(t *serving.Table) { grants = t.Grants() })
	if b, ok := e.backendSettings(e.backend.service()); !ok || b.ChecksGrants {
		until, owns := e.leases.owns(time.Now())
		if !owns {
			return
		}
		if !e.sendGrants(address, grants, until) {
			e.granting.FireAfter(grantRetry)
			return
		}
	}
	served := false
	e.serving.with(func(t *serving.Table) { served = t.Granted(grants) })
	if served {
		e.waiting.resumeAll()
	}
}

// sendGrants sends the grants with the end of the lease and reports whether the backend server confirmed them.
func (e *Engine) sendGrants(address string, grants []ledger.SliceFence, until time.Time) bool {
	ctx, cancel := context.WithTimeout(e.ctx, grantTimeout)
	defer cancel()
	g := backendserver.Grants{Slices: grants, ValidUntilUnixMS: until.UnixMilli()}
	return e.deps.Backend.Grant(ctx, address, g) == nil
}

// askRelease asks a source for slices, unless a question to it is open.
func (e *Engine) askRelease(p serving.Pending) {
	if !e.asking.begin(p.Source) {
		return
	}
	job := func() {
		retry := e.releaseFrom(p)
		e.asking.end(p.Source)
		e.ownership.FireAfter(retry)
	}
	if e.controlPool.Submit(job) != nil {
		e.asking.end(p.Source)
		e.ownership.FireAfter(releaseRetry)
	}
}

// releaseFrom asks a source once and returns when to look again.
func (e *Engine) releaseFrom(p serving.Pending) time.Duration {
	source := e.ledger.member(p.Source)
	if source == nil {
		return 0
	}
	ctx, cancel := context.WithTimeout(e.ctx, releaseTimeout)
	defer cancel()
	result, err := e.deps.Peers.Release(ctx, source.Addresses.Nodes, node.ReleaseRequest{
		Owner: e.incarnation(), Source: p.Source, Slices: p.Slices,
	})
	if err != nil {
		e.deps.Events.Emit(eventlog.ReleaseUnanswered, eventlog.Peer(p.Source), eventlog.Cause(err))
		return releaseRetry
	}
	e.ledger.heardOffset(result.Offset)
	e.importOutcomes(result)
	e.serving.with(func(t *serving.Table) { t.SourceReleased(p.Source, result.Released) })
	if len(result.Released) < len(p.Slices) {
		return releaseRetry
	}
	return 0
}

// proposeSettled tells the ledger that slices have no sources any more.
func (e *Engine) proposeSettled(list []ledger.SliceFence) {
	self := e.incarnation()
	record := &ledger.Record{Kind: ledger.KindSettled, ID: newRecordID(), Settled: &ledger.Settled{
		Incarnation: self, Slices: list,
	}}
	e.propose(&proposal{
		purpose:  purposeSettled,
		record:   record,
		outdated: func(s *ledger.State) bool { return s.Members[self] == nil },
		done: func(offset ledger.Offset, rejection ledger.Rejection) {
			e.countOutcome(record.Kind, offset, rejection)
			if rejection == ledger.Accepted {
				e.reportSettled(list)
			}
			// Slices that changed owner meanwhile stay unsettled under a fence that no longer matters.
			e.serving.settledRead(list)
			e.ownership.Fire()
		},
	})
}

// reportSettled emits the slices that this node serves alone from now on.
func (e *Engine) reportSettled(list []ledger.SliceFence) {
	for _, f := range list {
		e.deps.Events.Emit(eventlog.SliceSettled, eventlog.Slice(f.Slice), eventlog.Fence(f.Fence))
	}
}

// proposeReleased states in the log that this node released slices whose new owner did not settle them.
func (e *Engine) proposeReleased() {
	self := e.incarnation()
	if self == 0 {
		return
	}
	var sourced []ledger.SliceFence
	e.ledger.read(func(s *ledger.State, _ *config.Configuration) { sourced = sourcedFrom(s, self) })
	free := e.serving.releasable(sourced, e.ledger.offset())
	if len(free) == 0 {
		if len(sourced) > 0 {
			e.controlPool.After(releasedThroughLogAfter, e.proposeReleased)
		}
		return
	}
	record := &ledger.Record{Kind: ledger.KindReleased, ID: newRecordID(), Released: &ledger.Released{
		Incarnation: self, AtUnixMS: time.Now().UnixMilli(), Slices: free,
	}}
	e.propose(&proposal{
		purpose:  purposeReleased,
		record:   record,
		outdated: func(s *ledger.State) bool { return len(sourcedFrom(s, self)) == 0 },
		done: func(offset ledger.Offset, rejection ledger.Rejection) {
			e.countOutcome(record.Kind, offset, rejection)
		},
	})
}

// sourcedFrom returns the slices that list the incarnation as a source.
func sourcedFrom(s *ledger.State, source ledger.Incarnation) []ledger.SliceFence {
	var list []ledger.SliceFence
	for id, g := range s.Groups {
		for i := range g.Slices {
			if slices.Contains(g.Slices[i].Sources, source) {
				slice := keyspace.SliceID{Group: id, Index: uint32(i)}
				list = append(list, ledger.SliceFence{Slice: slice, Fence: g.Slices[i].Fence})
			}
		}
	}
	return list
}

// errWrongSource refuses a release that is meant for an earlier incarnation at this address.
func errWrongSource(asked, self ledger.Incarnation) error {
	return problem.New(problem.NotFound, "wait for the end record of the earlier incarnation",
		"release is asked of incarnation %d, this node is %d", asked, self)
}

// Release implements node.Service. It waits until this node serves none of the slices or ctx ends. Asked for no slices
// it states, as offset, the configuration revision under which alone it runs requests; zero if there is none.
func (e *Engine) Release(ctx context.Context, r node.ReleaseRequest) (node.ReleaseResult, error) {
	if self := e.incarnation(); self != r.Source {
		return node.ReleaseResult{}, errWrongSource(r.Source, self)
	}
	if len(r.Slices) == 0 {
		return node.ReleaseResult{Offset: e.handover.statement()}, nil
	}
	w := e.releaseWaiters.add(r.Slices)
	defer e.releaseWaiters.remove(w)
	e.releases.Fire()
	select {
	case <-w.ready:
	case <-ctx.Done():
	case <-e.ctx.Done():
	}
	if self := e.incarnation(); self != r.Source {
		return node.ReleaseResult{}, errWrongSource(r.Source, self)
	}
	return e.releaseResult(r.Owner, r.Slices), nil
}

// releaseResult returns what can be released now, with the retained outcomes of those slices.
func (e *Engine) releaseResult(owner ledger.Incarnation, asked []ledger.SliceFence) node.ReleaseResult {
	offset := e.ledger.offset()
	free := e.serving.releasable(asked, offset)
	result := node.ReleaseResult{Released: free, Offset: offset}
	e.exportOutcomes(owner, &result)
	for _, f := range free {
		e.deps.Events.Emit(eventlog.SliceReleased, eventlog.Slice(f.Slice), eventlog.Fence(f.Fence))
	}
	return result
}

// checkReleases wakes the new owners whose slices are all free.
func (e *Engine) checkReleases() {
	offset := e.ledger.offset()
	for _, w := range e.releaseWaiters.list() {
		if len(e.serving.releasable(w.slices, offset)) == len(w.slices) {
			w.wake()
		}
	}
}

// Snapshot implements node.Service.
func (e *Engine) Snapshot(context.Context) (node.Snapshot, error) {
	var state *ledger.State
	e.ledger.read(func(s *ledger.State, _ *config.Configuration) { state = s.Clone() })
	data, err := state.MarshalJSON()
	if err != nil {
		return node.Snapshot{}, fmt.Errorf("encode the state: %w", errors.Join(problem.Malformed, err))
	}
	return node.Snapshot{Offset: state.Offset, State: data}, nil
}
