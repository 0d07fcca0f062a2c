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

// Timing and purposes of slice transfers.
const (
	// grantTimeout is the time that the backend server has to confirm the grants.
	grantTimeout = time.Second
	// grantRetryDelay is the delay after a grant that the backend server did not confirm.
	grantRetryDelay = 100 * time.Millisecond
	// releaseTimeout bounds one request. Its client ends it earlier if the source is silent. The retained outcomes of a
	// source have up to 16 MB, which take 4 s over an idle link between regions.
	releaseTimeout = 15 * time.Second
	// releaseRetryDelay is the delay before a source that has not released all slices is asked again.
	releaseRetryDelay = 50 * time.Millisecond
	// maxReleaseWait is how long a source waits for running requests before it answers with the slices that it can release
	// already. It is above the usual duration of a request, and well below node.ControlSilenceTimeout, after which the answer
	// is lost.
	maxReleaseWait = 250 * time.Millisecond
	// logReleaseDelay is how long a source waits for the new owner to ask before it records the release in the log. A
	// release through the log loses the retained outcomes, so it is the last resort if the nodes cannot reach each
	// other.
	logReleaseDelay = 3 * time.Second

	purposeSettled  = purpose("settled")
	purposeReleased = purpose("released")
)

// stepOwnership updates the served slices from the ledger: it grants them to the backend server, requests releases from
// sources, and records in the ledger which slices are settled.
func (e *Engine) stepOwnership() {
	step := e.serving.step(e.ownedSlices(), time.Now())
	if step.gained > 0 {
		e.deps.Metrics.CountMovedSlices(telemetry.In, step.gained)
	}
	if step.lost > 0 {
		e.deps.Metrics.CountMovedSlices(telemetry.Out, step.lost)
		e.releaseTrigger.Fire()
		e.controlPool.After(logReleaseDelay, e.proposeReleased)
	}
	if step.mustGrant || step.lost > 0 {
		e.grantTrigger.Fire()
	}
	for _, p := range step.pending {
		e.startReleaseRequest(p)
	}
	if len(step.settled) > 0 {
		e.proposeSettled(step.settled)
	}
	e.ownershipTrigger.FireAt(step.next)
}

// ownedSlices returns the slices that the ledger assigns to this node.
func (e *Engine) ownedSlices() []serving.OwnedSlice {
	self := e.incarnation()
	if self == 0 {
		return nil
	}
	var owned []serving.OwnedSlice
	var lost []lostSlice
	e.ledger.read(func(s *ledger.State, c *config.Configuration) {
		bound := e.inFlightBound(c)
		for _, f := range s.Owned(self) {
			slice := &s.Groups[f.Slice.Group].Slices[f.Slice.Index]
			if slice.Lost != 0 {
				lost = append(lost, lostSlice{slice: f, at: time.UnixMilli(slice.LostUnixMS)})
			}
			o := serving.OwnedSlice{SliceFence: f, Sources: slices.Clone(slice.Sources)}
			if read, ok := e.ledger.lossReadTimes[slice.Lost]; ok && bound > 0 {
				o.NotBefore = read.Add(bound)
			}
			owned = append(owned, o)
		}
	})
	// The outcomes must be marked before any of these slices is served.
	e.markOutcomesUnknown(lost)
	return owned
}

// inFlightBound returns how long requests of a lost owner may still run on its backend server; zero if backend servers
// of the service refuse lower fences.
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

// grantSlices sends the grants of all slices to the backend server and serves those that it confirms. A backend server
// that does not check grants needs none.
func (e *Engine) grantSlices() {
	address, ok := e.backend.address()
	if !ok {
		return
	}
	var grants []ledger.SliceFence
	e.serving.withLock(func(t *serving.Table) { grants = t.Grants() })
	if b, ok := e.backendSettings(e.backend.service()); !ok || b.ChecksGrants {
		until, owns := e.leases.owns(time.Now())
		if !owns {
			return
		}
		if !e.sendGrants(address, grants, until) {
			e.grantTrigger.FireAfter(grantRetryDelay)
			return
		}
	}
	served := false
	e.serving.withLock(func(t *serving.Table) { served = t.ConfirmGrants(grants) })
	if served {
		e.waitingJobs.resumeAll()
	}
}

// sendGrants sends the grants with the end of the lease and reports whether the backend server confirmed them.
func (e *Engine) sendGrants(address string, grants []ledger.SliceFence, until time.Time) bool {
	ctx, cancel := context.WithTimeout(e.ctx, grantTimeout)
	defer cancel()
	g := backendserver.Grants{Slices: grants, ValidUntilUnixMS: until.UnixMilli()}
	return e.deps.Backend.Grant(ctx, address, g) == nil
}

// startReleaseRequest asks a source to release slices, unless a request to it is in flight.
func (e *Engine) startReleaseRequest(p serving.PendingRelease) {
	if !e.releaseRequests.begin(p.Source) {
		return
	}
	job := func() {
		delay := e.requestRelease(p)
		e.releaseRequests.end(p.Source)
		e.ownershipTrigger.FireAfter(delay)
	}
	if e.controlPool.Submit(job) != nil {
		e.releaseRequests.end(p.Source)
		e.ownershipTrigger.FireAfter(releaseRetryDelay)
	}
}

// requestRelease asks a source once and returns the delay before the next check; zero to check at once.
func (e *Engine) requestRelease(p serving.PendingRelease) time.Duration {
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
		return releaseRetryDelay
	}
	e.ledger.observePeerOffset(result.Offset)
	e.importOutcomes(result)
	e.serving.withLock(func(t *serving.Table) { t.SourceReleased(p.Source, result.Released) })
	if len(result.Released) < len(p.Slices) {
		return releaseRetryDelay
	}
	return 0
}

// proposeSettled records in the ledger that slices have no more sources.
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
			e.countRecordOutcome(record.Kind, offset, rejection)
			if rejection == ledger.Accepted {
				e.reportSettled(list)
			}
			// The record does not settle slices that have changed owner since. Marking them here is harmless, because
			// their fence is obsolete.
			e.serving.markSettled(list)
			e.ownershipTrigger.Fire()
		},
	})
}

// reportSettled emits events for the slices that this node alone serves from now on.
func (e *Engine) reportSettled(list []ledger.SliceFence) {
	for _, f := range list {
		e.deps.Events.Emit(eventlog.SliceSettled, eventlog.Slice(f.Slice), eventlog.Fence(f.Fence))
	}
}

// proposeReleased records in the log the release of slices by this node whose new owner has not settled them.
func (e *Engine) proposeReleased() {
	self := e.incarnation()
	if self == 0 {
		return
	}
	var sourced []ledger.SliceFence
	e.ledger.read(func(s *ledger.State, _ *config.Configuration) { sourced = slicesWithSource(s, self) })
	free := e.serving.releasable(sourced, e.ledger.offset())
	if len(free) == 0 {
		if len(sourced) > 0 {
			e.controlPool.After(logReleaseDelay, e.proposeReleased)
		}
		return
	}
	record := &ledger.Record{Kind: ledger.KindReleased, ID: newRecordID(), Released: &ledger.Released{
		Incarnation: self, AtUnixMS: time.Now().UnixMilli(), Slices: free,
	}}
	e.propose(&proposal{
		purpose:  purposeReleased,
		record:   record,
		outdated: func(s *ledger.State) bool { return len(slicesWithSource(s, self)) == 0 },
		done: func(offset ledger.Offset, rejection ledger.Rejection) {
			e.countRecordOutcome(record.Kind, offset, rejection)
		},
	})
}

// slicesWithSource returns the slices that list the incarnation as a source.
func slicesWithSource(s *ledger.State, source ledger.Incarnation) []ledger.SliceFence {
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

// errWrongSource is returned for a release that was requested from an earlier incarnation at this address.
func errWrongSource(asked, self ledger.Incarnation) error {
	return problem.New(problem.NotFound, "wait for the end record of the earlier incarnation",
		"release is asked of incarnation %d, this node is %d", asked, self)
}

// Release implements node.Service. It waits until this node serves none of the slices, but not longer than
// maxReleaseWait: the new owner asks again for those for which requests still run. For a request
// without slices it returns, as offset, the configuration revision that this node confirms: it runs no requests under
// an earlier one. The offset is zero if there is no such revision.
func (e *Engine) Release(ctx context.Context, r node.ReleaseRequest) (node.ReleaseResult, error) {
	if self := e.incarnation(); self != r.Source {
		return node.ReleaseResult{}, errWrongSource(r.Source, self)
	}
	if len(r.Slices) == 0 {
		return node.ReleaseResult{Offset: e.handover.confirmableRevision()}, nil
	}
	w := e.releaseWaiters.add(r.Slices)
	defer e.releaseWaiters.remove(w)
	e.releaseTrigger.Fire()
	wait := time.NewTimer(maxReleaseWait)
	defer wait.Stop()
	select {
	case <-w.ready:
	case <-wait.C:
	case <-ctx.Done():
	case <-e.ctx.Done():
	}
	if self := e.incarnation(); self != r.Source {
		return node.ReleaseResult{}, errWrongSource(r.Source, self)
	}
	return e.releaseResult(r.Owner, r.Slices), nil
}

// releaseResult returns the slices that can be released now, with their retained outcomes.
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

// wakeReleaseWaiters wakes the new owners all of whose requested slices can be released.
func (e *Engine) wakeReleaseWaiters() {
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
