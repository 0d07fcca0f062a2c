package handover

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"heatherreel/internal/ledger"
)

// server is a node of the model; it owns the key in one of the two groups.
type server struct {
	gate    *Gate
	group   int
	alive   bool
	read    int
	running []ledger.Offset
}

// world is a service with one key, whose group each epoch changes between two.
type world struct {
	servers []*server
	epochs  []ledger.Offset
	now     time.Time
	// lost are the ends of the times in which requests of ended nodes may run, by group.
	lost [2]time.Time
}

// bound is the in-flight bound of the model.
const bound = 5 * time.Second

func (w *world) group(epoch ledger.Offset) int { return int(epoch/10) % 2 }

func (w *world) others(self int) []ledger.Incarnation {
	var list []ledger.Incarnation
	for i, s := range w.servers {
		if i != self && s.alive {
			list = append(list, ledger.Incarnation(i+1))
		}
	}
	return list
}

// check fails if the key is served in two groups, under two epochs, or while a lost node may run a request for it.
func (w *world) check(t *rapid.T) {
	seen := ledger.Offset(0)
	for i, s := range w.servers {
		for _, epoch := range s.running {
			if seen != 0 && seen != epoch {
				t.Fatalf("the key is served under epochs %d and %d (node %d)", seen, epoch, i)
			}
			seen = epoch
			if other := 1 - w.group(epoch); w.now.Before(w.lost[other]) {
				t.Fatalf("node %d serves under epoch %d while a lost node may run a request", i, epoch)
			}
		}
	}
}

// adopt lets a node read some more revisions at once, as a page of the log does.
func (w *world) adopt(t *rapid.T, i int) {
	s := w.servers[i]
	if s.read == len(w.epochs) {
		return
	}
	s.read += rapid.IntRange(1, len(w.epochs)-s.read).Draw(t, "revisions")
	epoch := w.epochs[s.read-1]
	revision := epoch + ledger.Offset(rapid.IntRange(0, 3).Draw(t, "without change"))
	s.gate.Adopt(revision, epoch, w.others(i))
}

// serve begins a request if the node believes to own the key.
func (w *world) serve(i int) {
	s := w.servers[i]
	epoch := w.epochs[s.read-1]
	if w.group(epoch) == s.group && s.gate.Begin(epoch, true) {
		s.running = append(s.running, epoch)
	}
}

// finish ends the oldest request of a node.
func (w *world) finish(i int) {
	if s := w.servers[i]; len(s.running) > 0 {
		s.gate.Finish(s.running[0])
		s.running = s.running[1:]
	}
}

// end loses a node. Each other one reads that at once.
func (w *world) end(i int) {
	s := w.servers[i]
	if len(w.others(i)) == 0 {
		return
	}
	s.alive = false
	for _, epoch := range s.running {
		w.lost[w.group(epoch)] = w.now.Add(bound)
	}
	s.running = nil
	for j, other := range w.servers {
		other.gate.Lost(w.now.Add(bound))
		other.gate.Keep(w.others(j))
	}
}

// Guards against two owners of a key whose home regions change: no two nodes serve it under different revisions, and
// none serves it while a lost node may. Nodes read revisions late and several at once, and answers arrive in any order.
func TestOneRevisionServesAKey(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &world{epochs: []ledger.Offset{10}, now: time.Unix(0, 0)}
		for i := range 3 {
			w.servers = append(w.servers, &server{gate: NewGate(), group: i % 2, alive: true})
		}
		for i := range w.servers {
			w.adopt(t, i)
		}
		for range rapid.IntRange(100, 600).Draw(t, "steps") {
			i := rapid.IntRange(0, len(w.servers)-1).Draw(t, "node")
			if !w.servers[i].alive {
				continue
			}
			w.step(t, i)
			w.check(t)
		}
	})
}

// steps are the random steps, the frequent ones several times. Losses are rare, so that most runs keep three nodes.
var steps = slices.Concat(
	slices.Repeat([]string{"adopt", "ask", "serve"}, 8), slices.Repeat([]string{"publish", "finish"}, 4),
	[]string{"end", "wait", "wait"},
)

// step makes one random step at a node.
func (w *world) step(t *rapid.T, i int) {
	s := w.servers[i]
	switch rapid.SampledFrom(steps).Draw(t, "step") {
	case "publish":
		w.epochs = append(w.epochs, w.epochs[len(w.epochs)-1]+10)
	case "adopt":
		w.adopt(t, i)
	case "ask":
		for _, other := range s.gate.Unconfirmed() {
			s.gate.Confirmed(other, w.servers[other-1].gate.Statement())
		}
		s.gate.Advance(w.now)
	case "serve":
		w.serve(i)
	case "finish":
		w.finish(i)
	case "end":
		w.end(i)
	case "wait":
		w.now = w.now.Add(time.Second)
	}
}

// Guards against a gate that never opens, and against a wait that a revision without a change of home regions causes.
func TestGateOpens(t *testing.T) {
	now := time.Unix(100, 0)
	g := NewGate()
	g.Adopt(10, 10, nil)
	if opened, _ := g.Advance(now); !opened || !g.Begin(10, true) {
		t.Fatal("a node alone does not serve")
	}
	g.Adopt(15, 10, []ledger.Incarnation{2})
	if !g.Begin(10, true) || len(g.Unconfirmed()) != 0 {
		t.Fatal("a revision without a change of home regions closed the gate")
	}
	g.Adopt(20, 20, []ledger.Incarnation{2, 3})
	if g.Begin(20, true) || !g.Begin(20, false) || g.Statement() != 0 {
		t.Fatal("changed keys are served at once, others are not, or the node confirms too early")
	}
	g.Finish(10)
	if !g.Finish(10) || g.Statement() != 20 {
		t.Fatal("the node does not confirm after its last earlier request")
	}
	for _, statement := range []ledger.Offset{19, 21} {
		if g.Confirmed(2, statement); len(g.Unconfirmed()) != 2 {
			t.Fatalf("statement %d counts", statement)
		}
	}
	g.Confirmed(2, 20)
	g.Keep(nil)
	g.Lost(now.Add(time.Second))
	if opened, next := g.Advance(now); opened || !next.Equal(now.Add(time.Second)) {
		t.Fatal("the gate does not wait for the requests of a lost node")
	}
	if opened, _ := g.Advance(now.Add(time.Second)); !opened || !g.Begin(20, true) {
		t.Fatal("the gate stays closed")
	}
}
