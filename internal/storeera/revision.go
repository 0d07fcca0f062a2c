package storeera

import (
	"slices"
	"time"

	"heatherreel/internal/keyrange"
)

// RevisionDoubtPeriod is how long after the beginning of an era a configuration does not count as proved of which another node
// knows a newer revision, or of which too few nodes were asked. Operators write a lost configuration again within a few
// seconds.
const RevisionDoubtPeriod = 10 * time.Second

// Revisions decides since when the configuration in force is proved to be the newest. A read of the store proves that,
// unless the store was restored from a copy that lacks a newer configuration. The zero value has seen no rollback.
type Revisions struct {
	// provedBefore and provedInEra are when the last read was sent that showed the configuration in force as the newest, in
	// earlier eras and in the current one; zero for none.
	provedBefore, provedInEra keyrange.Instant
	// shown is the highest revision that the store has shown in the current era.
	shown uint64
	// reported is the highest revision that other nodes have reported, in any era.
	reported uint64
	// doubtedUntil is when RevisionDoubtPeriod ends, and began when this process has seen the current era. Other nodes were last
	// asked at askedAt; confirmed is set once enough of them have answered.
	era          uint64
	doubtedUntil keyrange.Instant
	began        keyrange.Instant
	askedAt      keyrange.Instant
	confirmed    bool
}

// BeginEra records that an era above 0 begins at the time now, or that the process has started in it. Earlier proofs stay
// valid: they state what the store had acknowledged by then.
func (r *Revisions) BeginEra(era uint64, now keyrange.Instant) {
	*r = Revisions{provedBefore: r.ProvedAt(now), reported: r.reported, era: era, began: now, doubtedUntil: now.Add(RevisionDoubtPeriod)}
}

// RecordShown records that the store has shown a revision.
func (r *Revisions) RecordShown(revision uint64) { r.shown = max(r.shown, revision) }

// RecordReported records that another node has told of a revision.
func (r *Revisions) RecordReported(revision uint64) { r.reported = max(r.reported, revision) }

// askInterval is the least time between two rounds in which other nodes are asked, and confirmedAskInterval that after a
// round that was enough.
const (
	askInterval          = 250 * time.Millisecond
	confirmedAskInterval = time.Second
)

// AskDue reports whether other nodes are to be asked now. It goes on until RevisionDoubtPeriod has passed, since the store may
// have lost the records of members that are not known until they have written them again.
func (r *Revisions) AskDue(now keyrange.Instant) bool {
	interval := askInterval
	if r.confirmed {
		interval = confirmedAskInterval
	}
	if now >= r.doubtedUntil || r.askedAt > 0 && now.Sub(r.askedAt) < interval {
		return false
	}
	r.askedAt = now
	return true
}

// Confirm records what members have answered that were asked in an era. Without any other member, which may be those whose
// records are lost, it confirms nothing for MembersKept.
func (r *Revisions) Confirm(era uint64, asked []Witness, answers map[string]Report, now keyrange.Instant) {
	for _, report := range answers {
		r.RecordReported(report.Revision)
		if report.Settled && report.Era == r.era {
			// This process started long after the rollback.
			r.doubtedUntil = min(r.doubtedUntil, now)
		}
	}
	if era != r.era || len(asked) == 0 && now.Sub(r.began) < MembersKept {
		return
	}
	r.confirmed = r.confirmed || revisionConfirmed(era, asked, answers)
}

// Highest returns the highest revision known of, with inForce in force.
func (r *Revisions) Highest(inForce uint64) uint64 { return max(inForce, r.shown, r.reported) }

// Settled reports whether an era above 0 began more than RevisionDoubtPeriod ago.
func (r *Revisions) Settled(now keyrange.Instant) bool { return r.era > 0 && now >= r.doubtedUntil }

// Extend records that all records of a read that was sent at asOf are applied, with the revision inForce in force. A store
// that shows an older configuration proves nothing about newer ones, until RevisionDoubtPeriod has passed.
func (r *Revisions) Extend(asOf keyrange.Instant, inForce uint64) {
	if r.shown >= inForce || r.era > 0 && asOf >= r.doubtedUntil {
		r.provedInEra = max(r.provedInEra, asOf)
	}
}

// ProvedAt returns when the configuration in force was the newest.
func (r *Revisions) ProvedAt(now keyrange.Instant) keyrange.Instant {
	if now < r.doubtedUntil && (!r.confirmed || r.shown < r.reported) {
		return r.provedBefore
	}
	return max(r.provedBefore, r.provedInEra)
}

// witnessesPerRegion is how many members of each region are asked for the newest revision. One answer of a region is
// enough; the others replace members that do not answer.
const witnessesPerRegion = 3

// RevisionWitnesses returns the members to ask for the newest revision: a few of each region, since all nodes of a region
// may have lost their path to the store. Those first in the list are preferred; a caller shuffles it, so that the fleet
// does not ask the same few.
func RevisionWitnesses(members []Witness) []Witness {
	var chosen []Witness
	count := map[string]int{}
	for _, m := range members {
		if count[m.Region]++; count[m.Region] <= witnessesPerRegion {
			chosen = append(chosen, m)
		}
	}
	return chosen
}

// revisionConfirmed reports whether the answers of the members that were asked in an era, by instance, suffice to know the
// newest revision: one of each region.
func revisionConfirmed(era uint64, asked []Witness, answers map[string]Report) bool {
	return !slices.ContainsFunc(asked, func(w Witness) bool {
		return !slices.ContainsFunc(asked, func(other Witness) bool {
			r := answers[other.Instance]
			return other.Region == w.Region && r.Revision > 0 && r.Era >= era
		})
	})
}
