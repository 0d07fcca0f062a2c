package handover

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"heatherreel/internal/ledger"
)

// modelNode is a node of the model; it owns the key in one of the two groups.
type modelNode struct {
	gate          *Gate
	group         int
	alive         bool
	revisionsRead int
	running       []ledger.Offset
}

// model is a service with one key. Each epoch moves the key from one of two groups to the other.
type model struct {
	nodes  []*modelNode
	epochs []ledger.Offset
	now    time.Time
	// lostUntil is the time until which requests of lost nodes may run, by group.
	lostUntil [2]time.Time
}

// inFlightBound is how long requests of a lost node may run in the model.
const inFlightBound = 5 * time.Second

func (m *model) group(epoch ledger.Offset) int { return int(epoch/10) % 2 }

func (m *model) others(self int) []ledger.Incarnation {
	var list []ledger.Incarnation
	for i, node := range m.nodes {
		if i != self && node.alive {
			list = append(list, ledger.Incarnation(i+1))
		}
	}
	return list
}

// check fails the test if the key is served in two groups or under two epochs, or while a lost node may run a request
// for it.
func (m *model) check(t *rapid.T) {
	seen := ledger.Offset(0)
	for i, node := range m.nodes {
		for _, epoch := range node.running {
			if seen != 0 && seen != epoch {
				t.Fatalf("the key is served under epochs %d and %d (node %d)", seen, epoch, i)
			}
			seen = epoch
			if other := 1 - m.group(epoch); m.now.Before(m.lostUntil[other]) {
				t.Fatalf("node %d serves under epoch %d while a lost node may run a request", i, epoch)
			}
		}
	}
}

// adopt makes a node read one or more further revisions at once, as with a page of the log.
func (m *model) adopt(t *rapid.T, i int) {
	node := m.nodes[i]
	if node.revisionsRead == len(m.epochs) {
		return
	}
	node.revisionsRead += rapid.IntRange(1, len(m.epochs)-node.revisionsRead).Draw(t, "revisions")
	epoch := m.epochs[node.revisionsRead-1]
	revision := epoch + ledger.Offset(rapid.IntRange(0, 3).Draw(t, "without change"))
	node.gate.Adopt(revision, epoch, m.others(i))
}

// beginRequest begins a request if the node regards itself as the owner of the key.
func (m *model) beginRequest(i int) {
	node := m.nodes[i]
	epoch := m.epochs[node.revisionsRead-1]
	if m.group(epoch) == node.group && node.gate.Begin(epoch, true) {
		node.running = append(node.running, epoch)
	}
}

// finish ends the oldest request of a node.
func (m *model) finish(i int) {
	if node := m.nodes[i]; len(node.running) > 0 {
		node.gate.Finish(node.running[0])
		node.running = node.running[1:]
	}
}

// loseNode ends a node. The other nodes learn of it at once.
func (m *model) loseNode(i int) {
	node := m.nodes[i]
	if len(m.others(i)) == 0 {
		return
	}
	node.alive = false
	for _, epoch := range node.running {
		m.lostUntil[m.group(epoch)] = m.now.Add(inFlightBound)
	}
	node.running = nil
	for j, other := range m.nodes {
		other.gate.NodeLost(m.now.Add(inFlightBound))
		other.gate.RetainNodes(m.others(j))
	}
}

// Guards against two owners of a key whose home regions change: no two nodes may serve it under different epochs, and
// none may serve it while a lost node may still run a request for it. Nodes read revisions late and several at once,
// and ask each other at random times.
func TestOneEpochServesAKey(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &model{epochs: []ledger.Offset{10}, now: time.Unix(0, 0)}
		for i := range 3 {
			m.nodes = append(m.nodes, &modelNode{gate: NewGate(), group: i % 2, alive: true})
		}
		for i := range m.nodes {
			m.adopt(t, i)
		}
		for range rapid.IntRange(100, 600).Draw(t, "steps") {
			i := rapid.IntRange(0, len(m.nodes)-1).Draw(t, "node")
			if !m.nodes[i].alive {
				continue
			}
			m.step(t, i)
			m.check(t)
		}
	})
}

// weightedSteps holds the random steps, frequent ones several times. Losses of nodes are rare, so that most runs keep
// three nodes.
var weightedSteps = slices.Concat(
	slices.Repeat([]string{"adopt", "ask", "serve"}, 8), slices.Repeat([]string{"publish", "finish"}, 4),
	[]string{"end", "wait", "wait"},
)

// step executes one random step on a node.
func (m *model) step(t *rapid.T, i int) {
	node := m.nodes[i]
	switch rapid.SampledFrom(weightedSteps).Draw(t, "step") {
	case "publish":
		m.epochs = append(m.epochs, m.epochs[len(m.epochs)-1]+10)
	case "adopt":
		m.adopt(t, i)
	case "ask":
		for _, other := range node.gate.Unconfirmed() {
			node.gate.Confirm(other, m.nodes[other-1].gate.ConfirmableRevision())
		}
		node.gate.TryOpen(m.now)
	case "serve":
		m.beginRequest(i)
	case "finish":
		m.finish(i)
	case "end":
		m.loseNode(i)
	case "wait":
		m.now = m.now.Add(time.Second)
	}
}

// Guards against a gate that never opens or opens too early, and against a revision that closes the gate without
// changing home regions.
func TestGateOpens(t *testing.T) {
	now := time.Unix(100, 0)
	g := NewGate()
	g.Adopt(10, 10, nil)
	if opened, _ := g.TryOpen(now); !opened || !g.Begin(10, true) {
		t.Fatal("a node alone does not serve")
	}
	g.Adopt(15, 10, []ledger.Incarnation{2})
	if !g.Begin(10, true) || len(g.Unconfirmed()) != 0 {
		t.Fatal("a revision without a change of home regions closed the gate")
	}
	g.Adopt(20, 20, []ledger.Incarnation{2, 3})
	if g.Begin(20, true) || !g.Begin(20, false) || g.ConfirmableRevision() != 0 {
		t.Fatal("changed keys are served at once, others are not, or the node confirms too early")
	}
	g.Finish(10)
	if !g.Finish(10) || g.ConfirmableRevision() != 20 {
		t.Fatal("the node does not confirm after its last earlier request")
	}
	for _, revision := range []ledger.Offset{19, 21} {
		if g.Confirm(2, revision); len(g.Unconfirmed()) != 2 {
			t.Fatalf("the confirmation of revision %d counts", revision)
		}
	}
	g.Confirm(2, 20)
	g.RetainNodes(nil)
	g.NodeLost(now.Add(time.Second))
	if opened, next := g.TryOpen(now); opened || !next.Equal(now.Add(time.Second)) {
		t.Fatal("the gate does not wait for the requests of a lost node")
	}
	if opened, _ := g.TryOpen(now.Add(time.Second)); !opened || !g.Begin(20, true) {
		t.Fatal("the gate stays closed")
	}
}
