// Package keyrange decides which backend server of a service owns which range of keys.
//
// A Table is the agreed state of one service. It is stored whole in one keyed record and replaced only by a write that
// is conditional on the end of its partition, so that all changes form one sequence. Invariants of each table:
//
//   - ranges are sorted and disjoint; together they cover all keys once the table is founded;
//   - a range that changes its owner gets a fence above all fences given before;
//   - a range with Next set is no longer granted to its owner, and has the same owner until the owner's node has seen
//     the backend server release it.
//
// The package does no I/O and reads no clock.
package keyrange

import (
	"slices"
	"sort"
)

// Keys is the number of keys of a service.
const Keys = 1 << 16

// Owner is one life of the backend server beside an instance. The zero value is no owner.
type Owner struct {
	// Instance is the instance whose node grants the range.
	Instance string
	Server   string
	// Born is the start of the backend server in Unix milliseconds.
	Born int64
}

// Range is a span of neighbouring keys with one owner.
type Range struct {
	From, To uint16
	Fence    uint64
	Owner    Owner
	// Handover is the token by which the previous owner passed on its state; empty if there is none.
	Handover string
	// Next is the instance that the range moves to; empty while it stays.
	Next string
}

// size returns the number of keys of the range.
func (r Range) size() int { return int(r.To) - int(r.From) + 1 }

// Overlaps reports whether the range holds a key between from and to.
func (r Range) Overlaps(from, to uint16) bool { return r.From <= to && from <= r.To }

// Suspicion states that a node asks to end the ownership of another one.
type Suspicion struct {
	// Number is unique in its table.
	Number uint64
	By     string
}

// Table is the ownership of all keys of one service.
type Table struct {
	Service string
	// LastFence is the highest fence that was ever given.
	LastFence uint64
	Ranges    []Range
	// Suspicions are the open suspicions by the suspected instance.
	Suspicions    map[string]Suspicion
	LastSuspicion uint64
	// Lost are the instances that a claim has ended and that have not returned since.
	Lost map[string]bool
}

// Clone returns a copy that shares nothing with t.
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

// Founded reports whether keys were given to owners.
func (t *Table) Founded() bool { return t != nil && len(t.Ranges) > 0 }

// Find returns the range of a key.
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

// Grants returns the ranges that the node of an owner may grant to it.
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

// Keeps reports whether a range of another version of the table stays granted to its owner as it is.
func (t *Table) Keeps(r Range) bool {
	now, ok := t.Find(r.From)
	return ok && now.Owner == r.Owner && now.Fence == r.Fence && now.Next == "" && now.To >= r.To
}

// Leaving returns the ranges that the node of an instance must take back from its backend server and hand over.
func (t *Table) Leaving(instance string) []Range {
	var leaving []Range
	if t == nil {
		return leaving
	}
	for _, r := range t.Ranges {
		if r.Owner.Instance == instance && r.Next != "" {
			leaving = append(leaving, r)
		}
	}
	return leaving
}

// Expects reports whether ranges are about to become an owner's: they move to its instance, or belong to an earlier life.
func (t *Table) Expects(o Owner) bool {
	return t != nil && slices.ContainsFunc(t.Ranges, func(r Range) bool {
		return r.Next == o.Instance || r.Owner.Instance == o.Instance && r.Owner != o && r.Next == ""
	})
}

// Concerned returns the instances that own keys, or will, which they did not in the table before, in the order of the keys.
func (t *Table) Concerned(before *Table) []string {
	var concerned []string
	for _, r := range t.Ranges {
		old, _ := before.Find(r.From)
		for _, c := range []struct{ now, then string }{{r.Owner.Instance, old.Owner.Instance}, {r.Next, old.Next}} {
			if c.now != "" && c.now != c.then && !slices.Contains(concerned, c.now) {
				concerned = append(concerned, c.now)
			}
		}
	}
	return concerned
}

// Without returns the ranges less the keys between from and to.
func Without(ranges []Range, from, to uint16) []Range {
	var left []Range
	for _, r := range ranges {
		if !r.Overlaps(from, to) {
			left = append(left, r)
			continue
		}
		if r.From < from {
			before := r
			before.To = from - 1
			left = append(left, before)
		}
		if r.To > to {
			after := r
			after.From = to + 1
			left = append(left, after)
		}
	}
	return left
}

// Owns reports whether an instance owns any range, moving or not.
func (t *Table) Owns(instance string) bool {
	return t != nil && slices.ContainsFunc(t.Ranges, func(r Range) bool { return r.Owner.Instance == instance })
}

// Owners returns the instances that own ranges, moving or not, in the order of their first key.
func (t *Table) Owners() []string {
	var owners []string
	for _, r := range t.Ranges {
		if r.Owner.Instance != "" && !slices.Contains(owners, r.Owner.Instance) {
			owners = append(owners, r.Owner.Instance)
		}
	}
	return owners
}

// give makes o the owner of range i under a new fence.
func (t *Table) give(i int, o Owner, handover string) {
	t.LastFence++
	r := &t.Ranges[i]
	r.Owner, r.Fence, r.Handover, r.Next = o, t.LastFence, handover, ""
}

// cut makes key the start of a range. It changes no owner.
func (t *Table) cut(key uint16) {
	i := sort.Search(len(t.Ranges), func(i int) bool { return t.Ranges[i].To >= key })
	if i == len(t.Ranges) || t.Ranges[i].From >= key {
		return
	}
	left, right := t.Ranges[i], t.Ranges[i]
	left.To, right.From = key-1, key
	t.Ranges[i] = left
	t.Ranges = slices.Insert(t.Ranges, i+1, right)
}

// isolate makes from and to the ends of ranges.
func (t *Table) isolate(from, to uint16) {
	t.cut(from)
	if to < Keys-1 {
		t.cut(to + 1)
	}
}

// Adopt gives the ranges of an instance to the present life of its backend server, when the life that owned them has
// ended. Ranges on the move become its own as well. It returns the number of ranges given.
func (t *Table) Adopt(o Owner) int {
	n := 0
	for i, r := range t.Ranges {
		if r.Owner.Instance == o.Instance && r.Owner != o {
			t.give(i, o, "")
			n++
		}
	}
	return n
}

// HandOver gives the parts of the span that leave an instance to their next owners, as found by ownerOf. Without an
// owner for the next instance they go back to the instance. It returns the number of ranges given.
func (t *Table) HandOver(instance string, from, to uint16, token string, ownerOf func(instance string) (Owner, bool)) int {
	t.isolate(from, to)
	n := 0
	for i, r := range t.Ranges {
		if r.Owner.Instance != instance || r.Next == "" || r.From < from || r.To > to {
			continue
		}
		next, ok := ownerOf(r.Next)
		if !ok {
			next = r.Owner
		}
		t.give(i, next, token)
		n++
	}
	return n
}

// DropTokens removes the tokens of the ranges that an owner has taken under the fence of the table; they have done their
// work. taken reports whether it has.
func (t *Table) DropTokens(o Owner, taken func(Range) bool) {
	for i, r := range t.Ranges {
		if r.Owner == o && r.Handover != "" && taken(r) {
			t.Ranges[i].Handover = ""
		}
	}
}

// Vacate takes all ranges from an instance whose backend server has ended or whose ownership has run out.
func (t *Table) Vacate(instance string) int {
	n := 0
	for i := range t.Ranges {
		if r := &t.Ranges[i]; r.Owner.Instance == instance {
			r.Owner, r.Handover, r.Next = Owner{}, "", ""
			n++
		}
	}
	delete(t.Suspicions, instance)
	return n
}

// Suspect opens a suspicion against an instance. It returns false if one is open or the instance is lost.
func (t *Table) Suspect(instance, by string) bool {
	if _, open := t.Suspicions[instance]; open || t.Lost[instance] {
		return false
	}
	t.LastSuspicion++
	t.Suspicions[instance] = Suspicion{Number: t.LastSuspicion, By: by}
	return true
}

// Refute closes the suspicion against an instance, or ends its loss.
func (t *Table) Refute(instance string) bool {
	_, open := t.Suspicions[instance]
	open = open || t.Lost[instance]
	delete(t.Suspicions, instance)
	delete(t.Lost, instance)
	return open
}

// Claim ends the ownership of an instance whose suspicion was open for long enough. It owns nothing until it returns.
func (t *Table) Claim(instance string) {
	t.Vacate(instance)
	t.Lost[instance] = true
}
