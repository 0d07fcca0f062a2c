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

// withLock calls f with mu held.
func (t *handoverTable) withLock(f func(*handover.Gate)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	f(t.gate)
}

// beginRequest starts a request and returns when the gate opened, which is zero while it is closed; ok is false if the
// request must not run now. minRevision is the revision that must at least be in force.
func (t *handoverTable) beginRequest(requestTarget target, minRevision ledger.Offset) (openedAt time.Time, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if minRevision > t.gate.Revision() {
		return time.Time{}, false
	}
	return t.gate.OpenedAt(), t.gate.Begin(requestTarget.epoch, requestTarget.homesMayHaveChanged)
}

func (t *handoverTable) finishRequest(epoch ledger.Offset) (lastEarlier bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.gate.Finish(epoch)
}

// confirmableRevision returns the revision that this node may confirm to other nodes; zero if there is none.
func (t *handoverTable) confirmableRevision() ledger.Offset {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.gate.ConfirmableRevision()
}

// handoverStep is the result of one step of the gate.
type handoverStep struct {
	unconfirmed []ledger.Incarnation
	opened      bool
	next        time.Time
}

// step advances the gate to now. live are the other members of the service; requests of lost members may run until
// lossUntil.
func (t *handoverTable) step(live []ledger.Incarnation, lossUntil, now time.Time) handoverStep {
	t.mu.Lock()
	defer t.mu.Unlock()
	var s handoverStep
	t.gate.RetainNodes(live)
	t.gate.NodeLost(lossUntil)
	s.opened, s.next = t.gate.TryOpen(now)
	s.unconfirmed = t.gate.Unconfirmed()
	return s
}
