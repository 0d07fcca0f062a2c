// Package storeera decides what a node does with its memory when the platform's store has been restored from an older
// copy.
//
// Each answer of the store carries an era, a number that such a rollback increases by one. Records that were written
// after the copy are lost, and offsets are assigned again. What a node remembers of an earlier era is judged here: which
// answers count, from which fence on an era issues its own, when keys may be granted again, and how long evacuations and
// members that the store does not show any more are kept. Stores without eras have era 0, in which nothing changes.
package storeera

import (
	"strconv"
	"time"

	"heatherreel/internal/keyrange"
)

// fenceBits is the number of bits of a fence below the era.
const fenceBits = 32

// MaxEra is the highest valid era. Fences up to the end of the era after it are integers that every JSON reader decodes
// exactly (below 2^53).
const MaxEra = 1<<20 - 1

// Times after the beginning of an era.
const (
	// RewriteSpread is the time over which the nodes write their member records again, so that a large fleet stays
	// within the rate of writes that the store accepts.
	RewriteSpread = 500 * time.Millisecond
	// EvacuationsKept is how long evacuations stay in force that the store does not show any more. Operators write them
	// again within a few seconds.
	EvacuationsKept = 10 * time.Second
	// MembersKept is how long instances stay known whose records the store does not show any more. It covers
	// RewriteSpread, the retries of a write, and the batches in which members are read.
	MembersKept = 4 * time.Second
	// successorDelay is how much later than the planner another node begins an era of a table, in case that the planner
	// does not.
	successorDelay = 2 * time.Second
)

// Parse returns the era in a header field of the store. A missing or malformed field stands for era 0.
func Parse(field string) uint64 {
	era, err := strconv.ParseUint(field, 10, 64)
	if err != nil || era > MaxEra {
		return 0
	}
	return era
}

// FirstFence returns the lower bound of the fences that are issued in an era. It is 0 in era 0.
func FirstFence(era uint64) uint64 { return era << fenceBits }

// Seen is the highest era that a node has seen. The zero value has seen none.
type Seen struct {
	era   uint64
	known bool
}

// Era returns the highest era; 0 if none was seen.
func (s Seen) Era() uint64 { return s.era }

// Verdict is what an era of an answer means to a node.
type Verdict uint8

// Verdicts.
const (
	// Current is the highest era seen.
	Current Verdict = iota
	// First is the first era seen; the process remembers nothing of another one.
	First
	// Newer is higher than the eras seen: what the node remembers is of an earlier era.
	Newer
	// Older is lower than the highest era seen. The answer counts as failed.
	Older
)

// Observe returns the verdict on the era of an answer, and what the node has seen with it.
func (s Seen) Observe(era uint64) (Seen, Verdict) {
	switch {
	case !s.known:
		return Seen{era, true}, First
	case era > s.era:
		return Seen{era, true}, Newer
	case era < s.era:
		return s, Older
	default:
		return s, Current
	}
}

// Ownership decides when keys may be granted under the tables of an era. The zero value has seen no era.
type Ownership struct {
	seen Seen
	// leasesEndAt is when all leases that nodes got in earlier eras have expired. inherited is set if this process has
	// seen an earlier era.
	leasesEndAt keyrange.Instant
	inherited   bool
	// noneKnown is set if no node knows a table of the service of this node.
	noneKnown bool
}

// Era returns the highest era seen.
func (o *Ownership) Era() uint64 { return o.seen.era }

// Advance records that the store has an era at the time now, and returns the verdict on that era. A lease of an earlier
// era counts from a read that the store answered before the rollback, and therefore before now.
func (o *Ownership) Advance(era uint64, now keyrange.Instant) Verdict {
	seen, verdict := o.seen.Observe(era)
	o.seen = seen
	if verdict == First || verdict == Newer {
		o.noneKnown = false
		o.leasesEndAt = now.Add(keyrange.ClaimWait)
		o.inherited = o.inherited || verdict == Newer
	}
	return verdict
}

// InForce reports whether a table belongs to the current era, so that a node may grant under it; one with a lower last fence is
// only a base for the first table of the era.
func (o *Ownership) InForce(lastFence uint64) bool { return lastFence >= FirstFence(o.seen.era) }

// Outdated reports whether a table with the fence next, read after one with the fence lastFence in the same era, is of a
// write that was begun in an earlier era and carried out by chance.
func (o *Ownership) Outdated(next, lastFence uint64) bool { return o.seen.era > 0 && next < lastFence }

// ConfirmNone records that no node of the service knows a table of it in the era, or may have keys granted under one. A
// process that has seen an earlier era waits nevertheless.
func (o *Ownership) ConfirmNone(era uint64) {
	o.noneKnown = o.noneKnown || era == o.seen.era && !o.inherited
}

// MayChange reports whether the table of a service may be changed. The first table of an era is written once no lease of
// an earlier era is in force, by the planner or, if it does not, by another node, so that a node that reads that table
// may grant at once. Without a table in the store, a new service begins, which need not wait, or the store has lost the
// table. ConfirmNone tells them apart.
func (o *Ownership) MayChange(found bool, lastFence uint64, planner bool, now keyrange.Instant) bool {
	if o.seen.era == 0 || found && o.InForce(lastFence) || !found && o.noneKnown {
		return true
	}
	at := o.leasesEndAt
	if !planner {
		at = at.Add(successorDelay)
	}
	return now >= at
}

// Evacuations decides how long evacuations of an earlier era stay in force. The zero value keeps none.
type Evacuations struct {
	keptUntil time.Time
	// unshown are the data centres whose evacuation the store has not shown in the current era.
	unshown map[string]bool
}

// BeginEra records the evacuations in force when an era begins.
func (e *Evacuations) BeginEra(inForce []string, now time.Time) {
	e.keptUntil, e.unshown = now.Add(EvacuationsKept), map[string]bool{}
	for _, name := range inForce {
		e.unshown[name] = true
	}
}

// Show records that the store shows an evacuation; from now on it also shows its end.
func (e *Evacuations) Show(dataCentre string) { delete(e.unshown, dataCentre) }

// Kept reports whether an evacuation stays in force although the store does not show it, or shows its end.
func (e *Evacuations) Kept(dataCentre string) bool { return e.unshown[dataCentre] }

// Drop returns the evacuations that are not kept any longer.
func (e *Evacuations) Drop(now time.Time) []string {
	if len(e.unshown) == 0 || now.Before(e.keptUntil) {
		return nil
	}
	var dropped []string
	for name := range e.unshown {
		dropped = append(dropped, name)
	}
	e.unshown = nil
	return dropped
}
