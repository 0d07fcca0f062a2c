package lease_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"heatherreel/internal/ledger"
)

// chooser draws the faults of a schedule: rapid, which can shrink them, or a seeded generator.
type chooser interface {
	// IntN returns a number from 0 to n-1.
	IntN(n int) int
}

// recovery is the time in which all slices must be owned again once faults stopped. The log lease of 6 s, the 5 s
// after which others claim, and their repetition for witnesses that were ended one after the other add up to less.
const recovery = 60 * time.Second

// ringEvery is the number of seeded schedules of which one cuts parts out of a larger ring and applies no other fault.
const ringEvery = 4

// Longest times between two faults.
const (
	mixedGap = 1500 * time.Millisecond
	// cutGap leaves time for three ends, one after the other, before the next cut disturbs them.
	cutGap = 12 * time.Second
)

// fault is one kind of fault that a schedule applies.
type fault struct {
	weight int
	apply  func(f *fleet, c chooser)
}

func faults() []fault {
	return []fault{
		{weight: 4, apply: pauseMachine},
		{weight: 3, apply: resumeBehindLog},
		{weight: 3, apply: cutLink},
		{weight: 4, apply: cutIsland},
		{weight: 4, apply: cutTree},
		{weight: 1, apply: stopLog},
		{weight: 2, apply: cutLog},
		{weight: 2, apply: crashMachine},
		{weight: 3, apply: changeWitnesses},
		{weight: 1, apply: loseDatagrams},
	}
}

// cuts are the faults of schedules that look for chains of ended witnesses, which mixed faults seldom build up.
func cuts() []fault {
	return []fault{{weight: 1, apply: cutIsland}, {weight: 3, apply: cutTree}}
}

// step applies one of the faults and lets some time up to longest pass.
func (f *fleet) step(c chooser, all []fault, longest time.Duration) {
	total := 0
	for _, one := range all {
		total += one.weight
	}
	n := c.IntN(total)
	for _, one := range all {
		if n < one.weight {
			one.apply(f, c)
			break
		}
		n -= one.weight
	}
	f.advance(chooseDuration(c, 0, longest))
}

// chooseDuration draws a time in steps of 10 ms.
func chooseDuration(c chooser, from, to time.Duration) time.Duration {
	const grain = 10 * time.Millisecond
	return from + grain*time.Duration(c.IntN(int((to-from)/grain)))
}

func (f *fleet) choose(c chooser) *machine { return f.machines[c.IntN(len(f.machines))] }

// pauseMachine freezes a machine; its clock runs on.
func pauseMachine(f *fleet, c chooser) {
	f.choose(c).pausedUntil = f.now + chooseDuration(c, 50*time.Millisecond, 3*time.Second)
}

// resumeBehindLog freezes a machine for about a lease time, and keeps it from reading for longer, so that it resumes
// while a claim against it runs or has succeeded.
func resumeBehindLog(f *fleet, c chooser) {
	m := f.choose(c)
	m.pausedUntil = f.now + chooseDuration(c, 500*time.Millisecond, 1200*time.Millisecond)
	m.logCutUntil = m.pausedUntil + chooseDuration(c, 200*time.Millisecond, 3*time.Second)
}

// cutLink cuts one direction between two machines.
func cutLink(f *fleet, c chooser) {
	from, to := f.choose(c), f.choose(c)
	f.linkCutUntil[from.index][to.index] = f.now + chooseDuration(c, 200*time.Millisecond, 4*time.Second)
}

// cutIsland cuts a part of the fleet from the rest, and either the part or the rest from the log. Half of the parts
// consist of neighbours, as a region or data centre does.
func cutIsland(f *fleet, c chooser) {
	until := f.now + chooseDuration(c, time.Second, 12*time.Second)
	inside := make([]bool, len(f.machines))
	size := 1 + c.IntN(len(inside)-1)
	start, neighbours := c.IntN(len(inside)), c.IntN(2) == 0
	for i := range size {
		at := (start + i) % len(inside)
		if !neighbours {
			at = c.IntN(len(inside))
		}
		inside[at] = true
	}
	f.cut(inside, c.IntN(4) == 0, until)
}

// cutTree cuts a holder together with a majority of its witnesses, and in half of the cases a majority of theirs, from
// the rest and the log. The holder then keeps first-level leases around it while the rest ends its witnesses. In half
// of the cases the holder appends a change of its witnesses just before, while this part of the fleet reads late.
func cutTree(f *fleet, c chooser) {
	m := f.choose(c)
	inside := make([]bool, len(f.machines))
	f.markTree(m, 1+c.IntN(2), inside)
	if c.IntN(2) == 0 {
		f.delayReading(inside, f.now+100*time.Millisecond)
		f.wishOthers(m, inside)
		f.advance(chooseDuration(c, 10*time.Millisecond, 80*time.Millisecond))
	}
	f.cut(inside, false, f.now+chooseDuration(c, time.Second, 14*time.Second))
}

// markTree marks the machine, and those of the first two witnesses of its process down to a depth.
func (f *fleet) markTree(m *machine, depth int, inside []bool) {
	inside[m.index] = true
	if m.process == nil || depth == 0 {
		return
	}
	member := f.truth.Members[m.process.incarnation]
	if member == nil {
		return
	}
	for _, w := range member.WitnessSet.Members[:min(2, len(member.WitnessSet.Members))] {
		f.markTree(f.home[w], depth-1, inside)
	}
}

// delayReading keeps the marked machines from reading the log; their appends still arrive.
func (f *fleet) delayReading(inside []bool, until time.Duration) {
	for i, m := range f.machines {
		if inside[i] {
			m.readCutUntil = until
		}
	}
}

// wishOthers makes a node change to witnesses outside of a part of the fleet.
func (f *fleet) wishOthers(m *machine, inside []bool) {
	if m.process == nil || m.process.holder == nil {
		return
	}
	var wish []ledger.Incarnation
	for _, other := range m.process.living() {
		if !inside[f.home[other].index] && len(wish) < 3 {
			wish = append(wish, other)
		}
	}
	if len(wish) > 0 {
		m.process.wish = wish
	}
}

// cut separates the marked machines from the others, and either part from the log.
func (f *fleet) cut(inside []bool, logInside bool, until time.Duration) {
	for i, m := range f.machines {
		if inside[i] != logInside {
			m.logCutUntil = max(m.logCutUntil, until)
		}
		for j := range f.machines {
			if inside[i] != inside[j] {
				f.linkCutUntil[i][j] = max(f.linkCutUntil[i][j], until)
			}
		}
	}
}

// stopLog makes the log unreachable for all.
func stopLog(f *fleet, c chooser) {
	f.logDownUntil = f.now + chooseDuration(c, 100*time.Millisecond, 3*time.Second)
}

// cutLog makes the log unreachable for one machine.
func cutLog(f *fleet, c chooser) {
	f.choose(c).logCutUntil = f.now + chooseDuration(c, 100*time.Millisecond, 4*time.Second)
}

// loseDatagrams raises the loss of datagrams and appends.
func loseDatagrams(f *fleet, c chooser) {
	f.lossUntil = f.now + chooseDuration(c, 500*time.Millisecond, 3*time.Second)
}

// changeWitnesses makes a node change to a random witness set, which may be empty or share no member with the current
// one.
func changeWitnesses(f *fleet, c chooser) {
	p := f.choose(c).process
	if p == nil || p.holder == nil {
		return
	}
	others := p.living()
	if len(others) == 0 {
		return
	}
	if c.IntN(4) == 0 {
		p.wish = []ledger.Incarnation{}
		return
	}
	start := c.IntN(len(others))
	rotated := append(slices.Clone(others[start:]), others[:start]...)
	p.wish = rotated[:min(3, len(rotated))]
}

// crashMachine ends a process without notice and starts another on the machine later. It leaves out a crash after
// which a lost process could never be claimed, since a majority of its witnesses would be lost with it.
func crashMachine(f *fleet, c chooser) {
	m, delay := f.choose(c), chooseDuration(c, 100*time.Millisecond, 5*time.Second)
	p := m.process
	if p == nil {
		return
	}
	m.process = nil
	sets := f.possibleSets(p)
	if sets != nil {
		f.crashed[p.incarnation] = sets
	}
	if !f.allClaimable() {
		m.process = p
		delete(f.crashed, p.incarnation)
		return
	}
	f.schedule(delay, func() { newProcess(f, m).start() })
}

// possibleSets returns the witness sets that are or may come in force for a process; nil if it is not a member.
func (f *fleet) possibleSets(p *process) [][]ledger.Incarnation {
	member := f.truth.Members[p.incarnation]
	if member == nil {
		return nil
	}
	sets := [][]ledger.Incarnation{member.WitnessSet.Members}
	for _, c := range p.changes {
		if w := c.entry.record.Witnesses; w != nil {
			sets = append(sets, w.Witnesses)
		}
	}
	return sets
}

// allClaimable reports whether each lost process can be claimed by the processes that run.
func (f *fleet) allClaimable() bool {
	for _, sets := range f.crashed {
		for _, set := range sets {
			if !f.claimable(set) {
				return false
			}
		}
	}
	return true
}

func (f *fleet) claimable(set []ledger.Incarnation) bool {
	able := 0
	for _, w := range set {
		p := f.home[w].process
		if f.direct[w] || p != nil && p.incarnation == w {
			able++
		}
	}
	return len(set) == 0 || able > len(set)/2
}

// heal stops all faults; machines that are down start again.
func (f *fleet) heal() {
	f.healed = true
	f.logDownUntil, f.lossUntil = 0, 0
	for i, m := range f.machines {
		m.pausedUntil, m.logCutUntil, m.readCutUntil = 0, 0, 0
		clear(f.linkCutUntil[i])
	}
}

// recover stops all faults and returns an error if not all slices are owned within the recovery time.
func (f *fleet) recover() error {
	f.heal()
	deadline := f.now + recovery
	for f.now < deadline && f.violation == nil {
		f.advance(250 * time.Millisecond)
		if len(f.unowned()) == 0 {
			return nil
		}
	}
	if f.violation != nil {
		return f.violation
	}
	return fmt.Errorf("at %v, %v after faults stopped, nobody owns slices %v", f.now, recovery, f.unowned())
}

// runSchedule runs one seeded schedule. It returns the fleet and whether two incarnations owned one slice, or slices
// stayed unowned after faults stopped.
func runSchedule(seed uint64, steps int, s slips) (*fleet, error) {
	random, choices := rand.New(rand.NewPCG(seed, 1)), rand.New(rand.NewPCG(seed, 2))
	f, kinds, longest := newFleet(random, s), faults(), mixedGap
	if seed%ringEvery == 0 {
		f, kinds, longest = newRingFleet(random, s, 8+choices.IntN(2)), cuts(), cutGap
		steps /= 6
	}
	f.advance(time.Second)
	for range steps {
		f.step(choices, kinds, longest)
		if f.violation != nil {
			return f, f.violation
		}
	}
	return f, f.recover()
}
