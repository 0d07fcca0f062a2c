package outcome

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"heatherreel/internal/keyspace"
	"heatherreel/internal/request"
)

// fleetModel is a model of nodes with different clocks, one of which owns the slice.
type fleetModel struct {
	now time.Time
	// clockOffsets are the differences of the nodes' clocks from now.
	clockOffsets []time.Duration
	tables       []*Table
	owner        int
	issued       []Ref
	running      map[Ref]bool
	// mayHaveRun counts the runs of each request, including those with an unknown outcome.
	mayHaveRun map[Ref]int
	answers    map[Ref]string
}

func (f *fleetModel) clock() time.Time { return f.now.Add(f.clockOffsets[f.owner]) }

// send sends a request to the owner and checks the decision against what has run.
func (f *fleetModel) send(t *rapid.T, ref Ref) {
	// Outcomes are dropped as early as the rules allow, which is the worst case.
	f.tables[f.owner].Expire(f.clock(), 100)
	d := f.tables[f.owner].Admit(f.clock(), ref, fingerprint1)
	switch {
	case d.Verdict == Run:
		if f.mayHaveRun[ref] > 0 || f.running[ref] {
			t.Fatalf("%s runs again", ref.ID)
		}
		f.running[ref] = true
	case d.Verdict == Wait:
		if !f.running[ref] {
			t.Fatalf("%s waits for nothing", ref.ID)
		}
	case d.Answer.Outcome == request.NotRun && (f.mayHaveRun[ref] > 0 || f.running[ref]):
		t.Fatalf("%s is called not run after a run: %+v", ref.ID, d.Answer)
	case d.Answer.Outcome == request.Done && string(d.Answer.Body) != f.answers[ref]:
		t.Fatalf("%s is answered %q, first %q", ref.ID, d.Answer.Body, f.answers[ref])
	}
	if u := f.tables[f.owner].Usage(); u.Bytes > f.tables[f.owner].options.MaxBytes {
		t.Fatalf("usage %+v over the limit", u)
	}
}

// finish completes a running request with a drawn outcome.
func (f *fleetModel) finish(t *rapid.T, ref Ref) {
	delete(f.running, ref)
	answer := request.Refuse(request.QueueFull, "r")
	switch rapid.IntRange(0, 2).Draw(t, "outcome") {
	case 0:
		f.mayHaveRun[ref]++
		f.answers[ref] = ref.ID.String()
		answer = request.Answer{Outcome: request.Done, Status: 200, Body: []byte(ref.ID.String())}
	case 1:
		f.mayHaveRun[ref]++
		answer = request.Uncertain(request.ConnectionLost, "r")
	}
	if !f.tables[f.owner].Complete(f.clock(), ref, answer) {
		t.Fatalf("%s was not running", ref.ID)
	}
}

// Guards against a second run and a false "not run" across moves, failovers, full tables, changes of the retention and
// clock skew: within NodeSkew between nodes, and of any amount for callers.
func TestAtMostOneRun(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		o := testOptions()
		o.Retention = 2 * time.Second
		f := &fleetModel{now: start, running: map[Ref]bool{}, mayHaveRun: map[Ref]int{}, answers: map[Ref]string{}}
		for range 3 {
			o.MaxBytes = int64(rapid.SampledFrom([]int{2, 100}).Draw(t, "room")) * (EntryBytes + o.AnswerReserve)
			f.tables = append(f.tables, NewTable(o))
			f.clockOffsets = append(f.clockOffsets, time.Duration(rapid.IntRange(0, int(o.NodeSkew/time.Millisecond)).Draw(t, "offset"))*time.Millisecond)
		}
		other := func(t *rapid.T) int { return (f.owner + rapid.IntRange(1, 2).Draw(t, "to")) % 3 }
		t.Repeat(map[string]func(*rapid.T){
			"send": func(t *rapid.T) {
				lead := rapid.SampledFrom([]int{0, 0, 0, -1990, -100, 50, 90, 100, 100, 120, 160, 400}).Draw(t, "lead")
				ref := newRef(f.now.Add(time.Duration(lead)*time.Millisecond), len(f.issued))
				f.issued = append(f.issued, ref)
				f.send(t, ref)
			},
			"repeat": func(t *rapid.T) {
				if len(f.issued) == 0 {
					t.Skip()
				}
				f.send(t, rapid.SampledFrom(f.issued).Draw(t, "request"))
			},
			"finish": func(t *rapid.T) {
				for _, ref := range f.issued {
					if f.running[ref] && rapid.Bool().Draw(t, "now") {
						f.finish(t, ref)
					}
				}
			},
			"wait": func(t *rapid.T) {
				f.now = f.now.Add(time.Duration(rapid.SampledFrom([]int{1, 20, 50, 400, 1000, 1950, 2000, 2050}).Draw(t, "ms")) * time.Millisecond)
			},
			"retention": func(t *rapid.T) {
				n := rapid.IntRange(0, 2).Draw(t, "node")
				retention := time.Duration(rapid.SampledFrom([]int{2, 4}).Draw(t, "seconds")) * time.Second
				f.tables[n].SetRetention(f.now.Add(f.clockOffsets[n]), retention)
			},
			"move": func(t *rapid.T) {
				for _, ref := range f.issued {
					if f.running[ref] {
						f.finish(t, ref)
					}
				}
				old, slices := f.tables[f.owner], []keyspace.SliceID{testSlice}
				exports := old.Export(f.clock(), slices)
				if rapid.Bool().Draw(t, "forget") {
					old.Forget(testSlice)
				}
				f.now = f.now.Add(time.Duration(rapid.IntRange(0, 100).Draw(t, "transit")) * time.Millisecond)
				f.owner = other(t)
				f.tables[f.owner].Import(f.clock(), exports)
			},
			"failover": func(t *rapid.T) {
				for ref := range f.running {
					f.mayHaveRun[ref]++
				}
				clear(f.running)
				lost := f.owner
				f.owner = other(t)
				f.tables[f.owner].MarkUnknown(f.clock(), testSlice)
				f.tables[lost] = NewTable(o)
			},
		})
	})
}
