package quota

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"heatherreel/internal/keyrange"
)

// sentPart is the part of a tenant's limit that its callers send: nine tenths of what is lent.
const sentPart = 0.9 * (1 - evenPart)

// maxLoanWait is for how long a request waits for a loan in these tests.
const maxLoanWait = 300 * time.Millisecond

// Guards against loans that do not follow callers who move, so that requests below the limit are refused: 73 tenants, four of
// them large, each with callers at three nodes, others each 10 s, that send half of its rate. The figures are in
// docs/design/quotas.md.
func TestLoansFollowCallers(t *testing.T) {
	for _, size := range []int{61, 195} {
		for _, lender := range []bool{false, true} {
			random := rand.New(rand.NewPCG(5, uint64(size)))
			limits := map[string]Limit{}
			for i := range 73 {
				limits[fmt.Sprintf("t%d", i)] = Limit{Rate: 2 + 18*random.Float64(), Burst: 5 + 20*random.Float64()}
			}
			for i := range 4 {
				limits[fmt.Sprintf("t%d", i)] = Limit{Rate: 262, Burst: 80}
			}
			f := newFleet(9, size, limits, 0.02)
			for _, s := range f.nodes {
				s.node.SetLimits(limits, lender, s.clock())
				s.cut = !lender
			}
			// One bucket for all nodes, of the whole limit and of the part that is lent.
			whole, lent := map[string]*bucket{}, map[string]*bucket{}
			for name, l := range limits {
				whole[name] = &bucket{rate: l.Rate, capacity: l.Burst}
				lent[name] = &bucket{rate: l.Rate * (1 - evenPart), capacity: l.Burst * (1 - evenPart)}
			}
			sent, servedByWhole, servedByLent := 0, 0, 0
			var callers map[string][3]*simulatedNode
			for f.now < 40*time.Second {
				if f.now%(10*time.Second) == 0 {
					callers = map[string][3]*simulatedNode{}
					for name := range limits {
						callers[name] = [3]*simulatedNode{f.nodes[random.IntN(size)], f.nodes[random.IntN(size)], f.nodes[random.IntN(size)]}
					}
				}
				f.advance()
				if f.now < 10*time.Second {
					// Buckets fill at first.
					continue
				}
				for name, l := range limits {
					for n := sentPart * l.Rate * step.Seconds(); n > 0 && random.Float64() < n; n-- {
						sent++
						if whole[name].take(keyrange.Instant(f.now)) {
							servedByWhole++
						}
						if lent[name].take(keyrange.Instant(f.now)) {
							servedByLent++
						}
						f.send(callers[name][random.IntN(3)], name, maxLoanWait, false)
					}
				}
			}
			for f.now < 41*time.Second {
				f.advance()
			}
			served := 0
			for _, runs := range f.runs {
				served += len(runs)
			}
			part := func(n int) float64 { return float64(n) / float64(sent) }
			t.Logf("%d nodes, loans %v: %d requests, served %.3f; by one bucket of the limit %.3f, of the lent part %.3f; %.0f calls a second of all nodes",
				size, lender, sent, part(served), part(servedByWhole), part(servedByLent), float64(f.messages)/30)
			f.checkWindows(t, 0)
			if lender && part(served) < 0.9*part(servedByLent) {
				t.Errorf("%d nodes: %.3f of the requests are served, less than nine tenths of the %.3f of one bucket of the lent part", size, part(served), part(servedByLent))
			}
		}
	}
}
