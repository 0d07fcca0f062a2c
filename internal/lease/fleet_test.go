package lease_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"heatherreel/internal/keyspace"
	"heatherreel/internal/lease"
	"heatherreel/internal/ledger"
)

// injectedBugs enables single bugs in the simulated nodes, to show that the simulation would detect them in the code.
type injectedBugs struct {
	// changeSetWithoutProposal appends a change of the witness set without calling Propose.
	changeSetWithoutProposal bool
	// promiseWithoutWait lets witnesses promise immediately.
	promiseWithoutWait bool
	// ownOnUnmarkedAnswers counts every granted answer as marked.
	ownOnUnmarkedAnswers bool
	// countFromReceipt counts an answer from its receipt instead of from the send time of the renewal.
	countFromReceipt bool
	// renewAfterPromise lets witnesses grant renewals after a promise.
	renewAfterPromise bool
	// countIndirectEnds counts every ended witness as promised, as the first version of docs/design.md specified.
	countIndirectEnds bool
}

// clockRateBound keeps simulated clocks within the drift bound of 1%, minus a margin for rounding to nanoseconds.
const clockRateBound = 0.0099

// sliceGroup is the only group of the simulated fleet.
var sliceGroup = keyspace.Group{Service: "simulated"}

// event is a function that runs at a point of simulated true time.
type event struct {
	at    time.Duration
	order uint64
	run   func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	if q[i].at != q[j].at {
		return q[i].at < q[j].at
	}
	return q[i].order < q[j].order
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// entry is one record of the simulated log.
type entry struct {
	record *ledger.Record
	// direct is the value of Direct for an end record; the simulation keeps it outside of ledger.End.
	direct bool
}

// machine is an instance with its own clock. At most one process runs on it.
type machine struct {
	index int
	name  string
	// clockRate is the time that the clock advances per unit of true time; clockStart is its reading at the start.
	clockRate   float64
	clockStart  time.Time
	pausedUntil time.Duration
	logCutUntil time.Duration
	// readCutUntil delays only reads of the log, as a slow log does.
	readCutUntil time.Duration
	process      *process
}

// fleet is a simulated set of machines, a network and a log. Its behaviour is determined by its random source and the
// faults that the test applies.
type fleet struct {
	random       *rand.Rand
	injectedBugs injectedBugs
	parameters   lease.Parameters
	now          time.Duration
	queue        eventQueue
	order        uint64
	machines     []*machine
	log          []entry
	// logState is the state after replaying the whole log, which nodes only read with a delay.
	logState *ledger.State
	// direct records for each ended incarnation whether its end was direct.
	direct map[ledger.Incarnation]bool
	// crashed holds, for each crashed process whose end is not yet in the log, the witness sets that may be in force.
	crashed   map[ledger.Incarnation][][]ledger.Incarnation
	machineOf map[ledger.Incarnation]*machine
	// linkCutUntil is when the link from one machine to another is restored, by the indexes of the two.
	linkCutUntil  [][]time.Duration
	logDownUntil  time.Duration
	lossUntil     time.Duration
	faultsStopped bool
	nextID        int
	// violation is the first violation of the ownership invariant; nil if there was none.
	violation error
	stats     fleetStats
}

// fleetStats counts the protocol events of a run, so that a test can detect schedules that exercise nothing.
type fleetStats struct {
	ends, indirectEnds, setChanges, logRenewals, joins, promises int
}

// newFleet returns a fleet whose processes have read a log in which all have joined and every slice is assigned.
func newFleet(random *rand.Rand, bugs injectedBugs) *fleet {
	f := emptyFleet(random, bugs)
	f.addMachines(f.drawSize())
	f.writeInitialLog(f.random.IntN(topologyCount))
	f.startAll()
	return f
}

func emptyFleet(random *rand.Rand, bugs injectedBugs) *fleet {
	parameters, err := lease.NewParameters(lease.DefaultTiming())
	if err != nil {
		panic(err)
	}
	return &fleet{
		random: random, injectedBugs: bugs, parameters: parameters, logState: ledger.NewState(),
		direct:    map[ledger.Incarnation]bool{},
		crashed:   map[ledger.Incarnation][][]ledger.Incarnation{},
		machineOf: map[ledger.Incarnation]*machine{},
	}
}

// newRingFleet returns a fleet of n machines in which each node's witnesses are the next nodes of the ring.
func newRingFleet(random *rand.Rand, bugs injectedBugs, n int) *fleet {
	f := emptyFleet(random, bugs)
	f.addMachines(n)
	f.writeInitialLog(ringTopology)
	f.startAll()
	return f
}

// startAll starts a process on each machine; the process has read the whole log.
func (f *fleet) startAll() {
	for _, m := range f.machines {
		p := newProcess(f, m)
		p.joinID, p.joinSentAt = m.name+"-first", p.clock()
		p.replayTo(len(f.log))
		p.start()
	}
}

// drawSize returns the number of machines, mostly 5 to 7. Small fleets exercise empty witness sets and sets of one and
// two. In fleets of 8 and 9, a minority partition can contain a chain of three witnesses, while the remaining nodes are
// enough to own slices.
func (f *fleet) drawSize() int {
	switch f.random.IntN(6) {
	case 0:
		return 2 + f.random.IntN(2)
	case 1:
		return 8 + f.random.IntN(2)
	default:
		return 5 + f.random.IntN(3)
	}
}

func (f *fleet) addMachines(n int) {
	for i := range n {
		rate := 1 + clockRateBound*(2*f.random.Float64()-1)
		switch f.random.IntN(4) {
		case 0:
			rate = 1 + clockRateBound
		case 1:
			rate = 1 - clockRateBound
		}
		f.machines = append(f.machines, &machine{
			index: i, name: fmt.Sprintf("m%d", i), clockRate: rate,
			clockStart: time.Unix(int64(1_000_000+f.random.IntN(1_000_000)), 0),
		})
		f.linkCutUntil = append(f.linkCutUntil, make([]time.Duration, n))
	}
}

// Topologies of the witness sets that a fleet starts with.
const (
	// joinedTopology keeps the sets of the join records: the first node has no witnesses, the others name the nodes
	// that joined before them.
	joinedTopology = iota
	randomTopology
	// ringTopology gives each node the next nodes of a ring. A partition of adjacent nodes then contains chains of
	// witnesses, which are rare with random sets.
	ringTopology
	topologyCount
)

// writeInitialLog writes the joins, the witness sets and the assignment that the fleet starts with.
func (f *fleet) writeInitialLog(topology int) {
	var all []ledger.Incarnation
	for _, m := range f.machines {
		named := slices.Clone(all[max(0, len(all)-3):])
		f.commit(entry{record: joinRecord(m.name+"-first", m.name, named)})
		all = append(all, ledger.Incarnation(len(f.log)))
	}
	if topology != joinedTopology {
		f.writeInitialSets(all, topology)
	}
	var placements []ledger.Placement
	for i, owner := range all {
		placements = append(placements, ledger.Placement{Index: uint32(i), Owner: owner})
	}
	f.commit(entry{record: &ledger.Record{Kind: ledger.KindAssign, ID: "first-assign", Assign: &ledger.Assign{
		Group: sliceGroup, Count: uint32(len(all)), Placements: placements,
	}}})
}

// writeInitialSets changes the witness set of each node to that of the topology.
func (f *fleet) writeInitialSets(all []ledger.Incarnation, topology int) {
	for i, holder := range all {
		others := append(slices.Clone(all[i+1:]), all[:i]...)
		if topology == randomTopology {
			f.random.Shuffle(len(others), func(a, b int) { others[a], others[b] = others[b], others[a] })
		}
		set := others[:min(3, len(others))]
		f.commit(entry{record: &ledger.Record{
			Kind: ledger.KindWitnesses, ID: fmt.Sprintf("first-set-%d", i),
			Witnesses: &ledger.Witnesses{
				Incarnation: holder, Base: f.logState.Members[holder].WitnessSet.Version, Witnesses: slices.Clone(set),
			},
		}})
	}
}

func joinRecord(id, instance string, witnesses []ledger.Incarnation) *ledger.Record {
	return &ledger.Record{Kind: ledger.KindJoin, ID: id, Join: &ledger.Join{Instance: instance, Witnesses: witnesses}}
}

// commit appends a record to the log.
func (f *fleet) commit(e entry) {
	f.log = append(f.log, e)
	offset := ledger.Offset(len(f.log))
	if f.logState.Apply(offset, e.record) != ledger.Accepted {
		return
	}
	switch e.record.Kind {
	case ledger.KindJoin:
		f.stats.joins++
		f.machineOf[ledger.Incarnation(offset)] = f.machineNamed(e.record.Join.Instance)
	case ledger.KindEnd:
		f.stats.ends++
		if !e.direct {
			f.stats.indirectEnds++
		}
		f.direct[e.record.End.Incarnation] = e.direct
		delete(f.crashed, e.record.End.Incarnation)
	case ledger.KindWitnesses:
		f.stats.setChanges++
	case ledger.KindRenewed:
		f.stats.logRenewals++
	}
}

func (f *fleet) machineNamed(name string) *machine {
	i := slices.IndexFunc(f.machines, func(m *machine) bool { return m.name == name })
	return f.machines[i]
}

// newID returns a new record id.
func (f *fleet) newID(kind string) string {
	f.nextID++
	return fmt.Sprintf("%s-%d", kind, f.nextID)
}

// schedule runs a function after a delay.
func (f *fleet) schedule(delay time.Duration, run func()) {
	f.order++
	heap.Push(&f.queue, event{at: f.now + delay, order: f.order, run: run})
}

// onProcess runs a function of a process after a delay. The function runs later if the machine is paused then, and
// never if the process has stopped.
func (f *fleet) onProcess(p *process, delay time.Duration, run func()) {
	f.schedule(delay, func() {
		switch {
		case p.machine.process != p:
		case f.now < p.machine.pausedUntil:
			f.onProcess(p, p.machine.pausedUntil-f.now, run)
		default:
			run()
		}
	})
}

// advance runs the simulation for a duration of true time and checks the ownership invariant after each event.
func (f *fleet) advance(d time.Duration) {
	until := f.now + d
	for f.violation == nil && len(f.queue) > 0 && f.queue[0].at <= until {
		e := heap.Pop(&f.queue).(event)
		f.now = e.at
		e.run()
		f.checkOwners()
	}
	f.now = until
}

// checkOwners records a violation if two processes own one slice now. Paused processes count too: they would own the
// slices if they resumed at this moment. Between events ownership can only expire, so that a check after each event is
// sufficient.
func (f *fleet) checkOwners() {
	var owner [16]*process
	for _, m := range f.machines {
		p := m.process
		if p == nil || p.holder == nil || !p.holder.Owns(p.clock()) {
			continue
		}
		for _, index := range p.owned {
			if other := owner[index]; other != nil && f.violation == nil {
				f.violation = fmt.Errorf("at %v slice %d is owned by incarnations %d and %d",
					f.now, index, other.incarnation, p.incarnation)
			}
			owner[index] = p
		}
	}
}

// unowned returns the slices that no process owns now.
func (f *fleet) unowned() []uint32 {
	owned := map[uint32]bool{}
	for _, m := range f.machines {
		if p := m.process; p != nil && p.holder != nil && p.holder.Owns(p.clock()) {
			for _, index := range p.owned {
				owned[index] = true
			}
		}
	}
	var missing []uint32
	for i := range f.logState.Groups[sliceGroup].Slices {
		if !owned[uint32(i)] {
			missing = append(missing, uint32(i))
		}
	}
	return missing
}

// drawDelay draws the latency of a datagram or a log call: mostly short, sometimes longer than a lease time.
func (f *fleet) drawDelay() time.Duration {
	switch n := f.random.IntN(100); {
	case n < 85 || f.faultsStopped:
		return time.Duration(200+f.random.IntN(10_000)) * time.Microsecond
	case n < 96:
		return time.Duration(f.random.IntN(250)) * time.Millisecond
	default:
		return time.Duration(f.random.IntN(1500)) * time.Millisecond
	}
}

// drawLoss draws whether a datagram or an append is lost.
func (f *fleet) drawLoss() bool {
	switch {
	case f.faultsStopped:
		return false
	case f.now < f.lossUntil:
		return f.random.IntN(100) < 40
	default:
		return f.random.IntN(100) < 2
	}
}

// send delivers a datagram to the process that runs on the target's machine when it arrives. Datagrams may be lost,
// duplicated or reordered.
func (f *fleet) send(from *machine, to ledger.Incarnation, deliver func(*process)) {
	target := f.machineOf[to]
	copies := 1
	if !f.faultsStopped && f.random.IntN(50) == 0 {
		copies = 2
	}
	for range copies {
		if target == nil || f.drawLoss() || f.now < f.linkCutUntil[from.index][target.index] {
			continue
		}
		f.schedule(f.drawDelay(), func() { f.arrive(target, deliver) })
	}
}

func (f *fleet) arrive(target *machine, deliver func(*process)) {
	if p := target.process; p != nil {
		f.onProcess(p, 0, func() { deliver(p) })
	}
}

// logReachable reports whether a machine can reach the log now.
func (f *fleet) logReachable(m *machine) bool {
	return f.now >= f.logDownUntil && f.now >= m.logCutUntil
}

// appendRecord sends a record to the log. The caller learns no result; the record may be appended late or never.
func (f *fleet) appendRecord(m *machine, e entry) {
	if !f.logReachable(m) || f.drawLoss() {
		return
	}
	f.schedule(f.drawDelay(), func() {
		if f.now >= f.logDownUntil {
			f.commit(e)
		}
	})
}
