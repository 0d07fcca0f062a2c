package placement

import (
	"cmp"
	"container/heap"
	"math"
	"slices"

	"heatherreel/internal/ledger"
)

// target is a member that may receive slices of one group.
type target struct {
	member *ledger.Member
	// load is the number of slices of the group that the member owns, including those planned for it.
	load int
	// received is the number of slices that this plan assigns to the member; limit is its maximum.
	received int
	limit    int
	// tieBreak orders members of equal load.
	tieBreak uint64
}

// loadPerWeight returns the load per weight with extra slices added.
func (t *target) loadPerWeight(extra int) float64 {
	return float64(t.load+extra) / float64(t.member.Weight)
}

// targets is a heap whose first element has the least load per weight after one more slice. It implements
// heap.Interface.
type targets struct {
	list []*target
	// isHeap is true once list has been made a heap.
	isHeap bool
}

// Len implements heap.Interface.
func (t *targets) Len() int { return len(t.list) }

// Swap implements heap.Interface.
func (t *targets) Swap(i, j int) { t.list[i], t.list[j] = t.list[j], t.list[i] }

// Less implements heap.Interface.
func (t *targets) Less(i, j int) bool {
	a, b := t.list[i], t.list[j]
	return cmp.Or(cmp.Compare(a.loadPerWeight(1), b.loadPerWeight(1)), cmp.Compare(a.tieBreak, b.tieBreak)) < 0
}

// Push implements heap.Interface.
func (t *targets) Push(x any) { t.list = append(t.list, x.(*target)) }

// Pop implements heap.Interface.
func (t *targets) Pop() any {
	last := t.list[len(t.list)-1]
	t.list = t.list[:len(t.list)-1]
	return last
}

// add adds a target. It must not be called after assignNext.
func (t *targets) add(candidate *target) { t.list = append(t.list, candidate) }

// keepFirst keeps only the first count targets, in the order of tieBreak.
func (t *targets) keepFirst(count int) {
	slices.SortFunc(t.list, func(a, b *target) int { return cmp.Compare(a.tieBreak, b.tieBreak) })
	t.list = t.list[:min(count, len(t.list))]
}

// limitShares limits each target to maxShareFactor times its share by weight of count slices.
func (t *targets) limitShares(count int) {
	weight := 0.0
	for _, candidate := range t.list {
		weight += float64(candidate.member.Weight)
	}
	for _, candidate := range t.list {
		share := float64(count) * float64(candidate.member.Weight) / weight
		candidate.limit = max(1, int(math.Ceil(maxShareFactor*share)))
	}
}

// assignNext returns the target that gets the next slice, and counts that slice; nil if no target is below its limit.
func (t *targets) assignNext() *target {
	if !t.isHeap {
		heap.Init(t)
		t.isHeap = true
	}
	if len(t.list) == 0 {
		return nil
	}
	next := t.list[0]
	next.load++
	next.received++
	if next.received >= next.limit {
		heap.Pop(t)
		return next
	}
	heap.Fix(t, 0)
	return next
}

// meanLoad returns the number of slices of all targets per weight; zero without targets.
func (t *targets) meanLoad() float64 {
	var load, weight float64
	for _, candidate := range t.list {
		load += float64(candidate.load)
		weight += float64(candidate.member.Weight)
	}
	if weight == 0 {
		return 0
	}
	return load / weight
}

// extremes returns the target with the highest load per weight among those with movable slices, and the one with the
// lowest load per weight after one more slice. from is nil if no slice is movable.
func (t *targets) extremes(movable map[ledger.Incarnation][]uint32) (from, to *target) {
	for _, candidate := range t.list {
		if len(movable[candidate.member.Incarnation]) > 0 && (from == nil || moreLoaded(candidate, from)) {
			from = candidate
		}
		if to == nil || lessLoaded(candidate, to) {
			to = candidate
		}
	}
	return from, to
}

func moreLoaded(a, b *target) bool {
	return cmp.Or(cmp.Compare(a.loadPerWeight(0), b.loadPerWeight(0)), cmp.Compare(a.tieBreak, b.tieBreak)) > 0
}

func lessLoaded(a, b *target) bool {
	return cmp.Or(cmp.Compare(a.loadPerWeight(1), b.loadPerWeight(1)), cmp.Compare(a.tieBreak, b.tieBreak)) < 0
}

// moves collects the planned slice moves of one group into one ledger.Move per owner.
type moves struct {
	group     *ledger.Group
	maxSlices int
	// maxPerReceiver limits the slices of a move for one receiver; zero means no limit.
	maxPerReceiver int
	// order lists the owners in the order in which slices were first planned to move from them.
	order   []ledger.Incarnation
	byOwner map[ledger.Incarnation][]ledger.MovedSlice
}

func newMoves(g *ledger.Group, maxSlices int) *moves {
	return &moves{group: g, maxSlices: maxSlices, byOwner: map[ledger.Incarnation][]ledger.MovedSlice{}}
}

// add plans to move a slice. A slice that exceeds the limits of a move is omitted; a later plan moves it.
func (m *moves) add(from, to ledger.Incarnation, index uint32) {
	if m.byOwner[from] == nil {
		m.order = append(m.order, from)
	}
	if len(m.byOwner[from]) < m.maxSlices && !m.receiverFull(from, to) {
		moved := ledger.MovedSlice{Index: index, Fence: m.group.Slices[index].Fence, To: to}
		m.byOwner[from] = append(m.byOwner[from], moved)
	}
}

// receiverFull reports whether the move from an owner already has the maximum number of slices for a receiver.
func (m *moves) receiverFull(from, to ledger.Incarnation) bool {
	count := 0
	for _, moved := range m.byOwner[from] {
		if moved.To == to {
			count++
		}
	}
	return m.maxPerReceiver > 0 && count >= m.maxPerReceiver
}

// list returns the moves, largest first.
func (m *moves) list() []ledger.Move {
	var list []ledger.Move
	for _, from := range m.order {
		list = append(list, ledger.Move{Group: m.group.ID, From: from, Slices: m.byOwner[from]})
	}
	slices.SortStableFunc(list, func(a, b ledger.Move) int { return cmp.Compare(len(b.Slices), len(a.Slices)) })
	return list
}
