package keyrange

import "slices"

// Candidate is a backend server that may own ranges.
type Candidate struct {
	Owner Owner
	// Weight is the share of keys relative to the other candidates; it is positive.
	Weight int
	// Cold marks a backend server shortly after its start. It receives keys only if all candidates are cold.
	Cold bool
}

// planner tracks how many keys each candidate has while ranges are assigned or moved. Moving ranges count for the
// instance that they move to.
type planner struct {
	candidates  []Candidate
	keyCounts   []int
	totalWeight int
	// allCold is set if every candidate is cold.
	allCold bool
}

func newPlanner(t *Table, candidates []Candidate) *planner {
	p := &planner{candidates: candidates, keyCounts: make([]int, len(candidates))}
	p.allCold = !slices.ContainsFunc(candidates, func(c Candidate) bool { return !c.Cold })
	for i, c := range candidates {
		p.totalWeight += c.Weight
		for _, r := range t.Ranges {
			if r.Next == c.Owner.Instance || r.Next == "" && r.Owner.Instance == c.Owner.Instance {
				p.keyCounts[i] += r.size()
			}
		}
	}
	return p
}

// fairShare returns the number of keys that candidate i should have by its weight.
func (p *planner) fairShare(i int) int { return KeyCount * p.candidates[i].Weight / p.totalWeight }

// leastLoaded returns the index of the candidate with the fewest keys per weight, among the warm ones if there are any.
func (p *planner) leastLoaded() int {
	best := -1
	for i, c := range p.candidates {
		if c.Cold && !p.allCold {
			continue
		}
		if best < 0 || p.keyCounts[i]*p.candidates[best].Weight < p.keyCounts[best]*c.Weight {
			best = i
		}
	}
	return best
}

// mostOverShare returns the index of the candidate with the most keys above its fair share.
func (p *planner) mostOverShare() int {
	best := 0
	for i := range p.candidates {
		if p.keyCounts[i]-p.fairShare(i) > p.keyCounts[best]-p.fairShare(best) {
			best = i
		}
	}
	return best
}

// Initialize assigns all keys of a table without ranges to the candidates: one contiguous range each, sized by weight.
// It returns false if the table already has ranges or there is no candidate.
func (t *Table) Initialize(candidates []Candidate) bool {
	if t.Initialized() || len(candidates) == 0 {
		return false
	}
	p := newPlanner(t, candidates)
	from, weightSoFar := 0, 0
	for i, c := range candidates {
		weightSoFar += c.Weight
		to := KeyCount*weightSoFar/p.totalWeight - 1
		t.Ranges = append(t.Ranges, Range{From: uint16(from), To: uint16(to)})
		t.assign(i, c.Owner, "")
		from = to + 1
	}
	return true
}

// AssignUnowned assigns the ranges without an owner to the candidates. It returns the number of ranges assigned.
func (t *Table) AssignUnowned(candidates []Candidate) int {
	if len(candidates) == 0 {
		return 0
	}
	p := newPlanner(t, candidates)
	t.splitEvenly(len(candidates), func(r Range) bool { return r.Owner == Owner{} })
	n := 0
	for i, r := range t.Ranges {
		if (r.Owner == Owner{}) {
			to := p.leastLoaded()
			t.assign(i, candidates[to].Owner, "")
			p.keyCounts[to] += r.size()
			n++
		}
	}
	return n
}

// splitEvenly splits the chosen ranges into pieces small enough for count owners to receive equal shares.
func (t *Table) splitEvenly(count int, chosen func(Range) bool) {
	keys := 0
	for _, r := range t.Ranges {
		if chosen(r) {
			keys += r.size()
		}
	}
	size := max(1, (keys+count-1)/count)
	for _, r := range slices.Clone(t.Ranges) {
		if !chosen(r) {
			continue
		}
		for key := int(r.From) + size; key <= int(r.To); key += size {
			t.splitAt(uint16(key))
		}
	}
}

// Drain starts to move all ranges of an instance to the other candidates. It returns the number of ranges.
func (t *Table) Drain(instance string, candidates []Candidate) int {
	candidates = slices.DeleteFunc(slices.Clone(candidates), func(c Candidate) bool { return c.Owner.Instance == instance })
	if len(candidates) == 0 {
		return 0
	}
	p := newPlanner(t, candidates)
	notMoving := func(r Range) bool { return r.Owner.Instance == instance && r.Next == "" }
	t.splitEvenly(len(candidates), notMoving)
	n := 0
	for i, r := range t.Ranges {
		if notMoving(r) {
			to := p.leastLoaded()
			t.Ranges[i].Next = candidates[to].Owner.Instance
			p.keyCounts[to] += r.size()
			n++
		}
	}
	return n
}

// MoveToNewCandidates starts to move keys to warm candidates that have none. It returns the number of moves. Candidates
// that already have keys are left to the moves by load (package keyload), because the number of keys says little about
// the load.
func (t *Table) MoveToNewCandidates(candidates []Candidate) int {
	if len(candidates) < 2 {
		return 0
	}
	p := newPlanner(t, candidates)
	n := 0
	for i, c := range candidates {
		if p.keyCounts[i] > 0 || c.Cold {
			continue
		}
		for tries := 0; p.keyCounts[i] < p.fairShare(i) && tries < len(candidates); tries++ {
			from := p.mostOverShare()
			excess := min(p.keyCounts[from]-p.fairShare(from), p.fairShare(i)-p.keyCounts[i])
			moved := t.moveKeys(candidates[from].Owner.Instance, c.Owner.Instance, excess)
			if moved == 0 {
				break
			}
			p.keyCounts[from] -= moved
			p.keyCounts[i] += moved
			n++
		}
	}
	return n
}

// moveKeys starts to move up to count keys from the end of the largest range of an instance. It returns the number of
// keys.
func (t *Table) moveKeys(from, to string, count int) int {
	largest := -1
	for i, r := range t.Ranges {
		if r.Owner.Instance == from && r.Next == "" && (largest < 0 || r.size() > t.Ranges[largest].size()) {
			largest = i
		}
	}
	if largest < 0 || count <= 0 {
		return 0
	}
	r := t.Ranges[largest]
	count = min(count, r.size())
	start := r.To - uint16(count-1)
	return t.Move(from, to, start, r.To)
}

// Move starts to move the keys in [first, last] that an instance owns and that are not moving yet. It returns the
// number of keys.
func (t *Table) Move(from, to string, first, last uint16) int {
	t.splitAround(first, last)
	n := 0
	for i, r := range t.Ranges {
		if r.Owner.Instance == from && r.Next == "" && r.From >= first && r.To <= last {
			t.Ranges[i].Next = to
			n += r.size()
		}
	}
	return n
}
