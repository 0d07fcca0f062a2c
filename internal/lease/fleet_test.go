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

// slips switch single faults on in the simulated nodes, to show that the simulation would find them in the code.
type slips struct {
	// changeWithoutBothSets appends a change of the witness set without a call of Propose.
	changeWithoutBothSets bool
	// promiseWithoutWait lets witnesses promise at once.
	promiseWithoutWait bool
	// ownUnmarked counts every granted answer as marked.
	ownUnmarked bool
	// countFromReceipt counts an answer from its receipt in place of the send time of the renewal.
	countFromReceipt bool
	// renewAfterPromise lets witnesses renew after they promised.
	renewAfterPromise bool
	// countIndirectEnds counts every ended witness as promised, as the design page first stated it.
	countIndirectEnds bool
}

// clockRateBound keeps simulated clocks within the drift bound of 1%, less what rounding to nanoseconds needs.
const clockRateBound = 0.0099

// sliceGroup is the only group of the simulated fleet.
var sliceGroup = keyspace.Group{Service: "simulated"}

// event is a step at a real moment.
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
	// direct is the field that the end record needs besides those of ledger.End.
	direct bool
}

// machine is an instance with its own clock. At most one process runs on it.
type machine struct {
	index       int
	name        string
	clockRate   float64
	clockStart  time.Time
	pausedUntil time.Duration
	logCutUntil time.Duration
	// readCutUntil delays reading alone, as a slow log does.
	readCutUntil time.Duration
	process      *process
}

// fleet is a simulated set of machines, a network and a log. All of its behaviour follows from its random source and
// from the faults that the driver applies.
type fleet struct {
	random     *rand.Rand
	slips      slips
	parameters lease.Parameters
	now        time.Duration
	queue      eventQueue
	order      uint64
	machines   []*machine
	log        []entry
	// truth is the replay of the whole log, which no node sees at once.
	truth *ledger.State
	// direct tells for each ended incarnation whether its end was direct.
	direct map[ledger.Incarnation]bool
	// crashed holds the sets that may be in force for processes that were lost before their end was in the log.
	crashed      map[ledger.Incarnation][][]ledger.Incarnation
	home         map[ledger.Incarnation]*machine
	linkCutUntil [][]time.Duration
	logDownUntil time.Duration
	lossUntil    time.Duration
	healed       bool
	nextID       int
	violation    error
	stats        fleetStats
}

// fleetStats count what a run exercised, so that a test can notice a schedule generator that does nothing.
type fleetStats struct {
	ends, indirectEnds, setChanges, logRenewals, joins, promises int
}

// newFleet returns machines that have read a log in which all joined and every slice is assigned.
func newFleet(random *rand.Rand, s slips) *fleet {
	f := emptyFleet(random, s)
	f.addMachines(f.fleetSize())
	f.foundLog(f.random.IntN(topologies))
	f.startAll()
	return f
}

func emptyFleet(random *rand.Rand, s slips) *fleet {
	parameters, err := lease.NewParameters(lease.DefaultTiming())
	if err != nil {
		panic(err)
	}
	return &fleet{
		random: random, slips: s, parameters: parameters, truth: ledger.NewState(),
		direct:  map[ledger.Incarnation]bool{},
		crashed: map[ledger.Incarnation][][]ledger.Incarnation{},
		home:    map[ledger.Incarnation]*machine{},
	}
}

// newRingFleet returns a fleet of n machines in which each node's witnesses are its next neighbours.
func newRingFleet(random *rand.Rand, s slips, n int) *fleet {
	f := emptyFleet(random, s)
	f.addMachines(n)
	f.foundLog(ringTopology)
	f.startAll()
	return f
}

// startAll starts a process on each machine that has read the whole log.
func (f *fleet) startAll() {
	for _, m := range f.machines {
		p := newProcess(f, m)
		p.joinID, p.joinSent = m.name+"-first", p.clock()
		p.read(len(f.log))
		p.start()
	}
}

// fleetSize is mostly 5 to 7. Small fleets exercise empty witness sets and sets of one and two. In fleets of 8 and 9 a
// part that is cut off can hold a chain of three witnesses, while the rest is large enough to own slices.
func (f *fleet) fleetSize() int {
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
	// joinedTopology keeps the sets of the join records: the first node has none, the others name those before them.
	joinedTopology = iota
	randomTopology
	// ringTopology gives each node its next neighbours. A part of a ring that is cut off contains chains of witnesses,
	// which random sets seldom have.
	ringTopology
	topologies
)

// foundLog writes the joins, the witness sets and the assignment that the fleet starts with.
func (f *fleet) foundLog(topology int) {
	var all []ledger.Incarnation
	for _, m := range f.machines {
		named := slices.Clone(all[max(0, len(all)-3):])
		f.commit(entry{record: joinRecord(m.name+"-first", m.name, named)})
		all = append(all, ledger.Incarnation(len(f.log)))
	}
	if topology != joinedTopology {
		f.foundSets(all, topology)
	}
	var placements []ledger.Placement
	for i, owner := range all {
		placements = append(placements, ledger.Placement{Index: uint32(i), Owner: owner})
	}
	f.commit(entry{record: &ledger.Record{Kind: ledger.KindAssign, ID: "first-assign", Assign: &ledger.Assign{
		Group: sliceGroup, Count: uint32(len(all)), Placements: placements,
	}}})
}

// foundSets changes the witness set of each node.
func (f *fleet) foundSets(all []ledger.Incarnation, topology int) {
	for i, holder := range all {
		others := append(slices.Clone(all[i+1:]), all[:i]...)
		if topology == randomTopology {
			f.random.Shuffle(len(others), func(a, b int) { others[a], others[b] = others[b], others[a] })
		}
		set := others[:min(3, len(others))]
		f.commit(entry{record: &ledger.Record{
			Kind: ledger.KindWitnesses, ID: fmt.Sprintf("first-set-%d", i),
			Witnesses: &ledger.Witnesses{
				Incarnation: holder, Base: f.truth.Members[holder].WitnessSet.Version, Witnesses: slices.Clone(set),
			},
		}})
	}
}

func joinRecord(id, instance string, witnesses []ledger.Incarnation) *ledger.Record {
	return &ledger.Record{Kind: ledger.KindJoin, ID: id, Join: &ledger.Join{Instance: instance, Witnesses: witnesses}}
}

// commit puts a record into the log.
func (f *fleet) commit(e entry) {
	f.log = append(f.log, e)
	offset := ledger.Offset(len(f.log))
	if f.truth.Apply(offset, e.record) != ledger.Accepted {
		return
	}
	switch e.record.Kind {
	case ledger.KindJoin:
		f.stats.joins++
		f.home[ledger.Incarnation(offset)] = f.machineNamed(e.record.Join.Instance)
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

// newID returns a record id.
func (f *fleet) newID(kind string) string {
	f.nextID++
	return fmt.Sprintf("%s-%d", kind, f.nextID)
}

// schedule runs a step after a delay.
func (f *fleet) schedule(delay time.Duration, run func()) {
	f.order++
	heap.Push(&f.queue, event{at: f.now + delay, order: f.order, run: run})
}

// onProcess runs a step of a process after a delay; later if its machine is paused, never if the process is gone.
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

// advance runs the fleet for a real time and checks the invariant after each step.
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

// checkOwners records a violation if two processes own one slice now. A paused process counts: it owns what its check
// would allow if it resumed at this moment. Between steps ownership only expires, so checks after each step suffice.
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

// unowned returns the slices that nobody owns now.
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
	for i := range f.truth.Groups[sliceGroup].Slices {
		if !owned[uint32(i)] {
			missing = append(missing, uint32(i))
		}
	}
	return missing
}

// delay draws how long a datagram or a log call takes: mostly short, sometimes longer than a lease time.
func (f *fleet) delay() time.Duration {
	switch n := f.random.IntN(100); {
	case n < 85 || f.healed:
		return time.Duration(200+f.random.IntN(10_000)) * time.Microsecond
	case n < 96:
		return time.Duration(f.random.IntN(250)) * time.Millisecond
	default:
		return time.Duration(f.random.IntN(1500)) * time.Millisecond
	}
}

// lost draws whether a datagram is lost.
func (f *fleet) lost() bool {
	switch {
	case f.healed:
		return false
	case f.now < f.lossUntil:
		return f.random.IntN(100) < 40
	default:
		return f.random.IntN(100) < 2
	}
}

// send delivers a datagram to the process that runs on the target's machine when it arrives. It may be lost or come
// twice, and the order is open.
func (f *fleet) send(from *machine, to ledger.Incarnation, deliver func(*process)) {
	target := f.home[to]
	copies := 1
	if !f.healed && f.random.IntN(50) == 0 {
		copies = 2
	}
	for range copies {
		if target == nil || f.lost() || f.now < f.linkCutUntil[from.index][target.index] {
			continue
		}
		f.schedule(f.delay(), func() { f.arrive(target, deliver) })
	}
}

func (f *fleet) arrive(target *machine, deliver func(*process)) {
	if p := target.process; p != nil {
		f.onProcess(p, 0, func() { deliver(p) })
	}
}

// logReachable reports whether a machine reaches the log now.
func (f *fleet) logReachable(m *machine) bool {
	return f.now >= f.logDownUntil && f.now >= m.logCutUntil
}

// appendRecord sends a record to the log. The writer learns nothing from the call; it may take effect late or never.
func (f *fleet) appendRecord(m *machine, e entry) {
	if !f.logReachable(m) || f.lost() {
		return
	}
	f.schedule(f.delay(), func() {
		if f.now >= f.logDownUntil {
			f.commit(e)
		}
	})
}
