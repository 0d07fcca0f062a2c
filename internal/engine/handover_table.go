package engine

import (
	"time"

	"heatherreel/internal/handover"
	"heatherreel/internal/ledger"
	"heatherreel/internal/lockorder"
)

// handoverTable guards a handover.Gate; mu has rank lockorder.Handover.
type handoverTable struct {
	mu   *lockorder.Mutex
	gate *handover.Gate
}

func newHandoverTable() *handoverTable {
	return &handoverTable{mu: lockorder.New(lockorder.Handover), gate: handover.NewGate()}
}

// with calls f under the lock.
func (t *handoverTable) with(f func(*handover.Gate)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	f(t.gate)
}

// begin starts a request and returns when the gate opened; ok is false if it must not run now. needed is a revision
// that must be in force.
func (t *handoverTable) begin(p place, needed ledger.Offset) (opened time.Time, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if needed > t.gate.Revision() {
		return time.Time{}, false
	}
	return t.gate.Opened(), t.gate.Begin(p.epoch, p.changed)
}

func (t *handoverTable) finish(epoch ledger.Offset) (lastEarlier bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.gate.Finish(epoch)
}

// statement returns what this node may confirm to others.
func (t *handoverTable) statement() ledger.Offset {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.gate.Statement()
}

// handoverStep is what a step of the gate asks for.
type handoverStep struct {
	ask    []ledger.Incarnation
	opened bool
	next   time.Time
}

// step advances the gate. living are the other members of the service; requests of lost ones may run until lossUntil.
func (t *handoverTable) step(living []ledger.Incarnation, lossUntil, now time.Time) handoverStep {
	t.mu.Lock()
	defer t.mu.Unlock()
	var s handoverStep
	t.gate.Keep(living)
	t.gate.Lost(lossUntil)
	s.opened, s.next = t.gate.Advance(now)
	s.ask = t.gate.Unconfirmed()
	return s
}
