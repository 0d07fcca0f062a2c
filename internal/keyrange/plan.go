package keyrange

import "slices"

// Candidate is a backend server that may own ranges.
type Candidate struct {
	Owner Owner
	// Weight is its share relative to the other candidates; positive.
	Weight int
	// Cold candidates get keys only if all are cold.
	Cold bool
}

// plan counts the keys of each candidate while ranges are given away.
type plan struct {
	candidates []Candidate
	keys       []int
	weight     int
	// allCold is set if no candidate is warm.
	allCold bool
}

func newPlan(t *Table, candidates []Candidate) *plan {
	p := &plan{candidates: candidates, keys: make([]int, len(candidates))}
	p.allCold = !slices.ContainsFunc(candidates, func(c Candidate) bool { return !c.Cold })
	for i, c := range candidates {
		p.weight += c.Weight
		for _, r := range t.Ranges {
			if r.Next == c.Owner.Instance || r.Next == "" && r.Owner.Instance == c.Owner.Instance {
				p.keys[i] += r.size()
			}
		}
	}
	return p
}

// fair returns the number of keys that a candidate should have.
func (p *plan) fair(i int) int { return Keys * p.candidates[i].Weight / p.weight }

// lightest returns the candidate with the fewest keys for its weight, of the warm ones if there are any.
func (p *plan) lightest() int {
	best := -1
	for i, c := range p.candidates {
		if c.Cold && !p.allCold {
			continue
		}
		if best < 0 || p.keys[i]*p.candidates[best].Weight < p.keys[best]*c.Weight {
			best = i
		}
	}
	return best
}

// heaviest returns the candidate with the most keys above its fair share.
func (p *plan) heaviest() int {
	best := 0
	for i := range p.candidates {
		if p.keys[i]-p.fair(i) > p.keys[best]-p.fair(best) {
			best = i
		}
	}
	return best
}

// Found gives all keys of a table without ranges to the candidates, in neighbouring ranges by weight.
func (t *Table) Found(candidates []Candidate) bool {
	if t.Founded() || len(candidates) == 0 {
		return false
	}
	p := newPlan(t, candidates)
	from, given := 0, 0
	for i, c := range candidates {
		given += c.Weight
		to := Keys*given/p.weight - 1
		t.Ranges = append(t.Ranges, Range{From: uint16(from), To: uint16(to)})
		t.give(i, c.Owner, "")
		from = to + 1
	}
	return true
}

// Fill gives the ranges without an owner to the candidates. It returns the number of ranges given.
func (t *Table) Fill(candidates []Candidate) int {
	if len(candidates) == 0 {
		return 0
	}
	p := newPlan(t, candidates)
	t.cutPieces(len(candidates), func(r Range) bool { return r.Owner == Owner{} })
	n := 0
	for i, r := range t.Ranges {
		if (r.Owner == Owner{}) {
			to := p.lightest()
			t.give(i, candidates[to].Owner, "")
			p.keys[to] += r.size()
			n++
		}
	}
	return n
}

// cutPieces cuts the chosen ranges into pieces of which each of count owners can take an equal share.
func (t *Table) cutPieces(count int, chosen func(Range) bool) {
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
			t.cut(uint16(key))
		}
	}
}

// Leave moves all ranges of an instance to the candidates, of which it is none. It returns the number of ranges.
func (t *Table) Leave(instance string, candidates []Candidate) int {
	candidates = slices.DeleteFunc(slices.Clone(candidates), func(c Candidate) bool { return c.Owner.Instance == instance })
	if len(candidates) == 0 {
		return 0
	}
	p := newPlan(t, candidates)
	stays := func(r Range) bool { return r.Owner.Instance == instance && r.Next == "" }
	t.cutPieces(len(candidates), stays)
	n := 0
	for i, r := range t.Ranges {
		if stays(r) {
			to := p.lightest()
			t.Ranges[i].Next = candidates[to].Owner.Instance
			p.keys[to] += r.size()
			n++
		}
	}
	return n
}

// Welcome moves keys to warm candidates that have none. It returns the number of ranges. How many keys a candidate has
// says little of its load, so that those with keys are left to moves by load.
func (t *Table) Welcome(candidates []Candidate) int {
	if len(candidates) < 2 {
		return 0
	}
	p := newPlan(t, candidates)
	n := 0
	for i, c := range candidates {
		if p.keys[i] > 0 || c.Cold {
			continue
		}
		for tries := 0; p.keys[i] < p.fair(i) && tries < len(candidates); tries++ {
			from := p.heaviest()
			excess := min(p.keys[from]-p.fair(from), p.fair(i)-p.keys[i])
			moved := t.moveKeys(candidates[from].Owner.Instance, c.Owner.Instance, excess)
			if moved == 0 {
				break
			}
			p.keys[from] -= moved
			p.keys[i] += moved
			n++
		}
	}
	return n
}

// moveKeys moves up to count keys from the largest range of an instance. It returns the number of keys moved.
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

// Move sets the next owner of the keys between first and last that stay at an instance. It returns their number.
func (t *Table) Move(from, to string, first, last uint16) int {
	t.isolate(first, last)
	n := 0
	for i, r := range t.Ranges {
		if r.Owner.Instance == from && r.Next == "" && r.From >= first && r.To <= last {
			t.Ranges[i].Next = to
			n += r.size()
		}
	}
	return n
}
