// Package keyrange decides which backend server of a service owns which range of keys.
//
// A Table is the ownership state of one service on which all nodes agree. It is stored as a whole in one keyed record.
// A write replaces it only if the partition still ends at the expected offset, so that all changes form one sequence.
// Invariants of each table:
//
//   - ranges are sorted and disjoint; once the table is initialized, they cover all keys;
//   - a range that gets another owner gets a fence above all fences assigned before;
//   - a range with Next set is no longer granted to its owner, and keeps that owner until the owner's node has seen the
//     backend server release it.
//
// The package does no I/O and reads no clock.
package keyrange

import (
	"slices"
	"sort"
)

// KeyCount is the number of keys of a service.
const KeyCount = 1 << 16

// Owner identifies one incarnation of the backend server on an instance; after a restart it is another owner. The zero
// value stands for no owner.
type Owner struct {
	// Instance is the instance whose node grants the range.
	Instance string `json:"Instance"`
	// Server is the ID of the backend server.
	Server string `json:"Server"`
	// StartedUnixMS is the start time of the backend server in Unix milliseconds.
	StartedUnixMS int64 `json:"Born"`
}

// Range is a contiguous range of keys with one owner; From and To are its first and last key.
type Range struct {
	From, To uint16
	Fence    uint64
	Owner    Owner
	// HandoverToken is the token with which the previous owner handed over its state; empty if there is none.
	HandoverToken string
	// Next is the instance that the range is moving to; empty if it is not moving.
	Next string
}

// size returns the number of keys of the range.
func (r Range) size() int { return int(r.To) - int(r.From) + 1 }

// Overlaps reports whether the range contains a key in [from, to].
func (r Range) Overlaps(from, to uint16) bool { return r.From <= to && from <= r.To }

// Suspicion records that a node considers another one failed and asks to end its ownership.
type Suspicion struct {
	// Number is unique within the table.
	Number uint64 `json:"Number"`
	// By is the instance that suspects.
	By string `json:"By"`
}

// Table is the ownership of all keys of one service.
type Table struct {
	Service string
	// LastFence is the highest fence that was ever assigned.
	LastFence uint64
	Ranges    []Range
	// Suspicions are the open suspicions, keyed by the suspected instance.
	Suspicions    map[string]Suspicion
	LastSuspicion uint64
	// Lost holds the instances whose ownership a claim has ended and that have not returned since.
	Lost map[string]bool
}

// Clone returns a deep copy of t.
func (t *Table) Clone() *Table {
	c := *t
	c.Ranges = slices.Clone(t.Ranges)
	c.Suspicions = make(map[string]Suspicion, len(t.Suspicions))
	for k, v := range t.Suspicions {
		c.Suspicions[k] = v
	}
	c.Lost = make(map[string]bool, len(t.Lost))
	for k, v := range t.Lost {
		c.Lost[k] = v
	}
	return &c
}

// Initialized reports whether the table has ranges, that is, whether the keys were assigned initially.
func (t *Table) Initialized() bool { return t != nil && len(t.Ranges) > 0 }

// Find returns the range that contains a key.
func (t *Table) Find(key uint16) (Range, bool) {
	if t == nil {
		return Range{}, false
	}
	i := sort.Search(len(t.Ranges), func(i int) bool { return t.Ranges[i].To >= key })
	if i == len(t.Ranges) || t.Ranges[i].From > key {
		return Range{}, false
	}
	return t.Ranges[i], true
}

// Grants returns the ranges that the node of an owner may grant to it: those that it owns and that are not moving.
func (t *Table) Grants(o Owner) []Range {
	var granted []Range
	if t == nil {
		return granted
	}
	for _, r := range t.Ranges {
		if r.Owner == o && r.Next == "" {
			granted = append(granted, r)
		}
	}
	return granted
}

// StillGrants reports whether r, a range of another version of the table, is still granted to the same owner under the
// same fence.
func (t *Table) StillGrants(r Range) bool {
	current, ok := t.Find(r.From)
	return ok && current.Owner == r.Owner && current.Fence == r.Fence && current.Next == "" && current.To >= r.To
}

// Outgoing returns the ranges that are moving away from an instance: its node must have the backend server release them
// and hand them over.
func (t *Table) Outgoing(instance string) []Range {
	var outgoing []Range
	if t == nil {
		return outgoing
	}
	for _, r := range t.Ranges {
		if r.Owner.Instance == instance && r.Next != "" {
			outgoing = append(outgoing, r)
		}
	}
	return outgoing
}

// HasIncoming reports whether an owner is about to receive ranges: they are moving to its instance, or they still
// belong to an earlier incarnation of its backend server.
func (t *Table) HasIncoming(o Owner) bool {
	return t != nil && slices.ContainsFunc(t.Ranges, func(r Range) bool {
		return r.Next == o.Instance || r.Owner.Instance == o.Instance && r.Owner != o && r.Next == ""
	})
}

// AffectedInstances returns the instances that have become the owner or the next owner of keys since the table before,
// in the order of the keys.
func (t *Table) AffectedInstances(before *Table) []string {
	var affected []string
	for _, r := range t.Ranges {
		old, _ := before.Find(r.From)
		for _, c := range []struct{ current, previous string }{{r.Owner.Instance, old.Owner.Instance}, {r.Next, old.Next}} {
			if c.current != "" && c.current != c.previous && !slices.Contains(affected, c.current) {
				affected = append(affected, c.current)
			}
		}
	}
	return affected
}

// Without returns the ranges without the keys in [from, to].
func Without(ranges []Range, from, to uint16) []Range {
	var remaining []Range
	for _, r := range ranges {
		if !r.Overlaps(from, to) {
			remaining = append(remaining, r)
			continue
		}
		if r.From < from {
			before := r
			before.To = from - 1
			remaining = append(remaining, before)
		}
		if r.To > to {
			after := r
			after.From = to + 1
			remaining = append(remaining, after)
		}
	}
	return remaining
}

// Owns reports whether an instance owns any range, including moving ones.
func (t *Table) Owns(instance string) bool {
	return t != nil && slices.ContainsFunc(t.Ranges, func(r Range) bool { return r.Owner.Instance == instance })
}

// Owners returns the instances that own ranges, including moving ones, in the order of their first key.
func (t *Table) Owners() []string {
	var owners []string
	for _, r := range t.Ranges {
		if r.Owner.Instance != "" && !slices.Contains(owners, r.Owner.Instance) {
			owners = append(owners, r.Owner.Instance)
		}
	}
	return owners
}

// assign makes o the owner of range i under a new fence, and ends a move of the range.
func (t *Table) assign(i int, o Owner, token string) {
	t.LastFence++
	r := &t.Ranges[i]
	r.Owner, r.Fence, r.HandoverToken, r.Next = o, t.LastFence, token, ""
}

// BeginEra gives all ranges with an owner a fence of an era whose fences begin after floor, unless the table is of that era
// already, and ends all moves: the fences, and the handover tokens, of the table may be older than others that were given
// out and are lost. It returns false if nothing changed.
func (t *Table) BeginEra(floor uint64) bool {
	if t.LastFence >= floor {
		return false
	}
	t.LastFence = floor
	for i, r := range t.Ranges {
		if r.Owner != (Owner{}) {
			t.assign(i, r.Owner, "")
		}
	}
	return true
}

// splitAt splits the range that contains key, so that a range starts at key. Both parts keep the owner.
func (t *Table) splitAt(key uint16) {
	i := sort.Search(len(t.Ranges), func(i int) bool { return t.Ranges[i].To >= key })
	if i == len(t.Ranges) || t.Ranges[i].From >= key {
		return
	}
	left, right := t.Ranges[i], t.Ranges[i]
	left.To, right.From = key-1, key
	t.Ranges[i] = left
	t.Ranges = slices.Insert(t.Ranges, i+1, right)
}

// splitAround splits ranges so that one starts at from and one ends at to.
func (t *Table) splitAround(from, to uint16) {
	t.splitAt(from)
	if to < KeyCount-1 {
		t.splitAt(to + 1)
	}
}

// ReassignToRestarted assigns the ranges of an instance to the present incarnation of its backend server, after the one
// that owned them has ended. This includes moving ranges, whose move it ends. It returns the number of ranges assigned.
func (t *Table) ReassignToRestarted(o Owner) int {
	n := 0
	for i, r := range t.Ranges {
		if r.Owner.Instance == o.Instance && r.Owner != o {
			t.assign(i, o, "")
			n++
		}
	}
	return n
}

// HandOver assigns those keys in [from, to] that are moving away from an instance to their next owners, which ownerOf
// looks up. Where ownerOf finds none, the present owner gets them again. It returns the number of ranges assigned.
func (t *Table) HandOver(instance string, from, to uint16, token string, ownerOf func(instance string) (Owner, bool)) int {
	t.splitAround(from, to)
	n := 0
	for i, r := range t.Ranges {
		if r.Owner.Instance != instance || r.Next == "" || r.From < from || r.To > to {
			continue
		}
		newOwner, ok := ownerOf(r.Next)
		if !ok {
			newOwner = r.Owner
		}
		t.assign(i, newOwner, token)
		n++
	}
	return n
}

// DropTokens removes the handover tokens of the ranges that an owner has taken over; they are no longer needed. taken
// reports whether the owner holds a range under the fence of the table.
func (t *Table) DropTokens(o Owner, taken func(Range) bool) {
	for i, r := range t.Ranges {
		if r.Owner == o && r.HandoverToken != "" && taken(r) {
			t.Ranges[i].HandoverToken = ""
		}
	}
}

// RaiseFence gives the keys in [from, to] that an owner has under the fence, and that are not moving, a higher fence. It
// reports whether there are any.
func (t *Table) RaiseFence(o Owner, from, to uint16, fence uint64) bool {
	raised := false
	for i, r := range t.Ranges {
		if r.Owner == o && r.Fence == fence && r.Next == "" && r.Overlaps(from, to) {
			t.assign(i, o, r.HandoverToken)
			raised = true
		}
	}
	return raised
}

// Unassign leaves all ranges of an instance without an owner, after its backend server has ended or its ownership has
// expired. It also closes a suspicion against the instance. It returns the number of ranges.
func (t *Table) Unassign(instance string) int {
	n := 0
	for i := range t.Ranges {
		if r := &t.Ranges[i]; r.Owner.Instance == instance {
			r.Owner, r.HandoverToken, r.Next = Owner{}, "", ""
			n++
		}
	}
	delete(t.Suspicions, instance)
	return n
}

// Suspect opens a suspicion against an instance. It returns false if one is already open or the instance is lost.
func (t *Table) Suspect(instance, by string) bool {
	if _, open := t.Suspicions[instance]; open || t.Lost[instance] {
		return false
	}
	t.LastSuspicion++
	t.Suspicions[instance] = Suspicion{Number: t.LastSuspicion, By: by}
	return true
}

// Refute closes the suspicion against an instance and no longer counts it as lost. It reports whether it changed
// anything.
func (t *Table) Refute(instance string) bool {
	_, open := t.Suspicions[instance]
	open = open || t.Lost[instance]
	delete(t.Suspicions, instance)
	delete(t.Lost, instance)
	return open
}

// Claim ends the ownership of an instance, for example after a suspicion was open for ClaimWait. The instance is lost,
// and owns nothing, until it returns.
func (t *Table) Claim(instance string) {
	t.Unassign(instance)
	t.Lost[instance] = true
}
