package lease_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"heatherreel/internal/ledger"
)

// chooser draws the faults of a schedule. It is either rapid, which can shrink them, or a seeded generator.
type chooser interface {
	// IntN returns a number from 0 to n-1.
	IntN(n int) int
}

// recoveryTimeout is the time within which all slices must be owned again after the faults have stopped. The longest
// waits are the log lease of 6 s and the 5 s after which nodes that are not witnesses may claim. They add up to less
// than the timeout even if they repeat because witnesses were ended one after the other.
const recoveryTimeout = 60 * time.Second

// ringScheduleEvery is the number of seeded schedules of which one runs on a larger ring with partitions as the only
// faults.
const ringScheduleEvery = 4

// Longest times between two faults.
const (
	mixedFaultGap = 1500 * time.Millisecond
	// partitionGap leaves time for three consecutive ends before the next partition interferes with them.
	partitionGap = 12 * time.Second
)

// fault is one kind of fault that a schedule applies.
type fault struct {
	weight int
	apply  func(f *fleet, c chooser)
}

func mixedFaults() []fault {
	return []fault{
		{weight: 4, apply: pauseMachine},
		{weight: 3, apply: resumeBehindLog},
		{weight: 3, apply: cutLink},
		{weight: 4, apply: partitionRandomly},
		{weight: 4, apply: partitionWitnessTree},
		{weight: 1, apply: stopLogForAll},
		{weight: 2, apply: cutMachineFromLog},
		{weight: 2, apply: crashMachine},
		{weight: 3, apply: changeWitnesses},
		{weight: 1, apply: loseDatagrams},
	}
}

// partitionFaults returns the faults of schedules that produce chains of ended witnesses, which are rare with mixed
// faults.
func partitionFaults() []fault {
	return []fault{{weight: 1, apply: partitionRandomly}, {weight: 3, apply: partitionWitnessTree}}
}

// step applies one of the faults and advances the simulation by up to longest.
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

// chooseDuration draws a duration in steps of 10 ms.
func chooseDuration(c chooser, from, to time.Duration) time.Duration {
	const unit = 10 * time.Millisecond
	return from + unit*time.Duration(c.IntN(int((to-from)/unit)))
}

func (f *fleet) chooseMachine(c chooser) *machine { return f.machines[c.IntN(len(f.machines))] }

// pauseMachine pauses a machine; its clock continues to run.
func pauseMachine(f *fleet, c chooser) {
	f.chooseMachine(c).pausedUntil = f.now + chooseDuration(c, 50*time.Millisecond, 3*time.Second)
}

// resumeBehindLog pauses a machine for about a lease time and keeps it from reading the log for longer, so that it
// resumes without knowing of a claim against it that is running or has succeeded.
func resumeBehindLog(f *fleet, c chooser) {
	m := f.chooseMachine(c)
	m.pausedUntil = f.now + chooseDuration(c, 500*time.Millisecond, 1200*time.Millisecond)
	m.logCutUntil = m.pausedUntil + chooseDuration(c, 200*time.Millisecond, 3*time.Second)
}

// cutLink drops all datagrams in one direction between two machines.
func cutLink(f *fleet, c chooser) {
	from, to := f.chooseMachine(c), f.chooseMachine(c)
	f.linkCutUntil[from.index][to.index] = f.now + chooseDuration(c, 200*time.Millisecond, 4*time.Second)
}

// partitionRandomly partitions the fleet in two and cuts one of the two parts off from the log. In half of the cases,
// one part consists of machines with adjacent indexes, like a region or data centre.
func partitionRandomly(f *fleet, c chooser) {
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
	f.partition(inside, c.IntN(4) == 0, until)
}

// partitionWitnessTree partitions a holder together with a majority of its witnesses, and in half of the cases a
// majority of their witnesses, from the other machines and from the log. The first-level leases inside this part stay
// valid while the other nodes end its members. In half of the cases, the holder appends a change of its witnesses just
// before, while this part of the fleet reads the log with a delay.
func partitionWitnessTree(f *fleet, c chooser) {
	m := f.chooseMachine(c)
	inside := make([]bool, len(f.machines))
	f.markWitnessTree(m, 1+c.IntN(2), inside)
	if c.IntN(2) == 0 {
		f.delayReading(inside, f.now+100*time.Millisecond)
		f.requestOutsideWitnesses(m, inside)
		f.advance(chooseDuration(c, 10*time.Millisecond, 80*time.Millisecond))
	}
	f.partition(inside, false, f.now+chooseDuration(c, time.Second, 14*time.Second))
}

// markWitnessTree marks the machine and, recursively down to a depth, those of the first two witnesses of its process.
func (f *fleet) markWitnessTree(m *machine, depth int, inside []bool) {
	inside[m.index] = true
	if m.process == nil || depth == 0 {
		return
	}
	member := f.logState.Members[m.process.incarnation]
	if member == nil {
		return
	}
	for _, w := range member.WitnessSet.Members[:min(2, len(member.WitnessSet.Members))] {
		f.markWitnessTree(f.machineOf[w], depth-1, inside)
	}
}

// delayReading keeps the marked machines from reading the log; their appends still reach it.
func (f *fleet) delayReading(inside []bool, until time.Duration) {
	for i, m := range f.machines {
		if inside[i] {
			m.readCutUntil = until
		}
	}
}

// requestOutsideWitnesses makes a node change to witnesses outside of the marked part of the fleet.
func (f *fleet) requestOutsideWitnesses(m *machine, inside []bool) {
	if m.process == nil || m.process.holder == nil {
		return
	}
	var requestedSet []ledger.Incarnation
	for _, other := range m.process.peers() {
		if !inside[f.machineOf[other].index] && len(requestedSet) < 3 {
			requestedSet = append(requestedSet, other)
		}
	}
	if len(requestedSet) > 0 {
		m.process.requestedSet = requestedSet
	}
}

// partition separates the marked machines from the others. Only the marked machines reach the log if logInside is true,
// only the others if it is false.
func (f *fleet) partition(inside []bool, logInside bool, until time.Duration) {
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

// stopLogForAll makes the log unreachable for all machines.
func stopLogForAll(f *fleet, c chooser) {
	f.logDownUntil = f.now + chooseDuration(c, 100*time.Millisecond, 3*time.Second)
}

// cutMachineFromLog makes the log unreachable for one machine.
func cutMachineFromLog(f *fleet, c chooser) {
	f.chooseMachine(c).logCutUntil = f.now + chooseDuration(c, 100*time.Millisecond, 4*time.Second)
}

// loseDatagrams raises the loss rate of datagrams and appends.
func loseDatagrams(f *fleet, c chooser) {
	f.lossUntil = f.now + chooseDuration(c, 500*time.Millisecond, 3*time.Second)
}

// changeWitnesses makes a node change to another witness set, which may be empty or disjoint from the current one.
func changeWitnesses(f *fleet, c chooser) {
	p := f.chooseMachine(c).process
	if p == nil || p.holder == nil {
		return
	}
	others := p.peers()
	if len(others) == 0 {
		return
	}
	if c.IntN(4) == 0 {
		p.requestedSet = []ledger.Incarnation{}
		return
	}
	start := c.IntN(len(others))
	rotated := append(slices.Clone(others[start:]), others[:start]...)
	p.requestedSet = rotated[:min(3, len(rotated))]
}

// crashMachine stops a process without notice and starts another on the machine later. It skips a crash after which a
// crashed process could never be claimed because a majority of its witnesses would have crashed too.
func crashMachine(f *fleet, c chooser) {
	m, delay := f.chooseMachine(c), chooseDuration(c, 100*time.Millisecond, 5*time.Second)
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

// possibleSets returns the witness sets that are or may come into force for a process; nil if it is not a member.
func (f *fleet) possibleSets(p *process) [][]ledger.Incarnation {
	member := f.logState.Members[p.incarnation]
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

// allClaimable reports whether the running processes can claim every crashed process.
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
	available := 0
	for _, w := range set {
		p := f.machineOf[w].process
		if f.direct[w] || p != nil && p.incarnation == w {
			available++
		}
	}
	return len(set) == 0 || available > len(set)/2
}

// stopFaults stops all faults. Paused machines resume; crashed ones restart at the time that crashMachine scheduled.
func (f *fleet) stopFaults() {
	f.faultsStopped = true
	f.logDownUntil, f.lossUntil = 0, 0
	for i, m := range f.machines {
		m.pausedUntil, m.logCutUntil, m.readCutUntil = 0, 0, 0
		clear(f.linkCutUntil[i])
	}
}

// recover stops all faults and returns an error unless all slices are owned again within recoveryTimeout.
func (f *fleet) recover() error {
	f.stopFaults()
	deadline := f.now + recoveryTimeout
	for f.now < deadline && f.violation == nil {
		f.advance(250 * time.Millisecond)
		if len(f.unowned()) == 0 {
			return nil
		}
	}
	if f.violation != nil {
		return f.violation
	}
	return fmt.Errorf("at %v, %v after the faults stopped, slices %v have no owner",
		f.now, recoveryTimeout, f.unowned())
}

// runSchedule runs one seeded schedule. It returns the fleet, and an error if two incarnations owned one slice or
// slices stayed unowned after the faults stopped.
func runSchedule(seed uint64, steps int, bugs injectedBugs) (*fleet, error) {
	random, choices := rand.New(rand.NewPCG(seed, 1)), rand.New(rand.NewPCG(seed, 2))
	f, kinds, longest := newFleet(random, bugs), mixedFaults(), mixedFaultGap
	if seed%ringScheduleEvery == 0 {
		f, kinds, longest = newRingFleet(random, bugs, 8+choices.IntN(2)), partitionFaults(), partitionGap
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
