package engine

import (
	"context"
	"math/rand/v2"
	"time"

	"heatherreel/internal/config"
	"heatherreel/internal/eventlog"
	"heatherreel/internal/ledger"
)

// Bounds of the questions for snapshots.
const (
	// snapshotTimeout bounds one question. 0.7 MB take 0.2 s over the shared link between regions.
	snapshotTimeout = 3 * time.Second
	// snapshotInterval is the least time between two rounds of questions.
	snapshotInterval = time.Second
	// maxSnapshotPeers bounds the nodes that are asked in one round.
	maxSnapshotPeers = 3
)

// snapshotAsks limits how often the log reader asks for snapshots.
type snapshotAsks struct{ next time.Time }

// allow reports whether a round may begin now.
func (a *snapshotAsks) allow(now time.Time) bool {
	if now.Before(a.next) {
		return false
	}
	a.next = now.Add(snapshotInterval)
	return true
}

// needsPeers reports whether this node, while the log does not answer, should take the state of another node: it is no
// member and has no state, or has heard of a later one. A member keeps to what it has read from the log.
func (e *Engine) needsPeers() bool {
	if e.incarnation() != 0 {
		return false
	}
	c := e.ledger.currency(time.Now())
	return c.offset == 0 || c.highest > c.offset
}

// fetchSnapshot asks other nodes for their state, adopts the first that fits, and returns the offset to read next.
func (e *Engine) fetchSnapshot(ctx context.Context, asks *snapshotAsks, next ledger.Offset) ledger.Offset {
	if !asks.allow(time.Now()) {
		return next
	}
	for _, address := range e.snapshotPeers() {
		state, err := e.askSnapshot(ctx, address)
		if err != nil {
			e.deps.Events.Emit(eventlog.PeerConnectionFailed, eventlog.Cause(err))
			continue
		}
		adopted := false
		e.runOnLedgerPool(ctx, func() { adopted = e.adoptSnapshot(state) })
		if adopted {
			return e.ledger.offset() + 1
		}
	}
	return next
}

// snapshotPeers returns addresses to ask, in random order: those of the settings and of the members that this node
// knows.
func (e *Engine) snapshotPeers() []string {
	own := e.options.Self.Addresses.Nodes
	known := map[string]bool{own: true}
	var addresses []string
	add := func(address string) {
		if !known[address] {
			known[address] = true
			addresses = append(addresses, address)
		}
	}
	for _, address := range e.options.PeerAddresses {
		add(address)
	}
	e.ledger.read(func(s *ledger.State, _ *config.Configuration) {
		for _, m := range s.Members {
			add(m.Addresses.Nodes)
		}
	})
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	return addresses[:min(len(addresses), maxSnapshotPeers)]
}

// askSnapshot asks one node.
func (e *Engine) askSnapshot(ctx context.Context, address string) (*ledger.State, error) {
	ctx, cancel := context.WithTimeout(ctx, snapshotTimeout)
	defer cancel()
	snapshot, err := e.deps.Peers.Snapshot(ctx, address)
	if err != nil {
		return nil, err
	}
	return ledger.DecodeState(snapshot.State)
}

// adoptSnapshot takes over a state of another node if no record after it is missing, and reports whether it did.
func (e *Engine) adoptSnapshot(s *ledger.State) bool {
	now := time.Now()
	if !e.ledger.adopt(s, now) {
		return false
	}
	e.stateReplaced(now)
	e.pageReplayed()
	return true
}
