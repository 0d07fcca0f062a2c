package admission

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"heatherreel/internal/request"
)

// lognormalLoad is a stream of requests whose service times have a lognormal distribution with the mean and the
// standard deviation sigma of the logarithm.
type lognormalLoad struct {
	mean                time.Duration
	sigma               float64
	objective, deadline time.Duration
}

// simulate offers the load at a multiple of the capacity of nine slots. It returns the fraction of the requests that
// are answered within their objective, and the average wait of the refused ones.
func (l lognormalLoad) simulate(load float64) (onTime float64, refusal time.Duration) {
	const slots, length = 9, 120 * time.Second
	random := rand.New(rand.NewPCG(1, 2))
	q := NewQueue(Options{Limit: slots, QueueLimit: 6 * slots})
	arrived, ends := map[Ticket]time.Time{}, map[Ticket]time.Time{}
	timely, offered, refused := 0, 0, 0
	record := func(now time.Time, c Change) {
		for _, ticket := range c.Start {
			ends[ticket] = now.Add(time.Duration(float64(l.mean) * math.Exp(l.sigma*random.NormFloat64()-l.sigma*l.sigma/2)))
		}
		for _, r := range c.Refuse {
			refusal += now.Sub(arrived[r.Ticket])
			refused++
		}
	}
	first := time.Unix(0, 0)
	next := first
	for now := first; now.Before(first.Add(length)); now = now.Add(time.Millisecond) {
		for ticket, end := range ends {
			if end.After(now) {
				continue
			}
			delete(ends, ticket)
			if end.Sub(arrived[ticket]) <= l.objective {
				timely++
			}
			record(now, q.Release(now, ticket, true))
		}
		for ; !next.After(now); next = next.Add(time.Duration(random.ExpFloat64() * float64(l.mean) / slots / load)) {
			d := q.Offer(now, Job{Class: request.Interactive, Deadline: now.Add(l.deadline), Objective: now.Add(l.objective)})
			offered++
			arrived[d.Ticket] = now
			if d.Verdict == Started {
				record(now, Change{Start: []Ticket{d.Ticket}})
			}
			record(now, d.Change)
		}
	}
	return float64(timely) / float64(offered), refusal / time.Duration(max(1, refused))
}

// Guards against an order that starts each job at the last moment, so that the variance of service times makes most of
// them late, and against keeping jobs in the queue that can no longer be on time.
func TestOverloadWithVaryingServiceTimesIsAnsweredOnTime(t *testing.T) {
	for name, l := range map[string]lognormalLoad{
		"narrow": {mean: 220 * ms, sigma: 0.3, objective: 600 * ms, deadline: 1200 * ms},
		"wide":   {mean: 290 * ms, sigma: 0.8, objective: 800 * ms, deadline: 1500 * ms},
	} {
		for _, load := range []float64{1.6, 2.5} {
			onTime, refusal := l.simulate(load)
			t.Logf("%s, load %.1f: on time %.2f of the capacity, refused after %v", name, load, onTime*load, refusal)
			if onTime*load < 0.85 {
				t.Errorf("%s, load %.1f: only %.2f of the capacity answers on time", name, load, onTime*load)
			}
			if refusal > l.objective {
				t.Errorf("%s, load %.1f: refused after %v", name, load, refusal)
			}
		}
	}
}

// Guards against estimating short jobs by the service time of long ones in the same queue, so that the short ones never
// count as on time.
func TestServiceTimeIsEstimatedByKind(t *testing.T) {
	q := NewQueue(Options{Limit: 1, QueueLimit: 9})
	for range 20 {
		for kind, d := range map[string]time.Duration{"short": 50 * ms, "long": 400 * ms} {
			j := q.Offer(start, Job{Kind: kind, Deadline: after(9000)})
			q.Release(start.Add(d), j.Ticket, true)
		}
	}
	if q.ExpectedServiceTime("short") != 50*ms || q.ExpectedServiceTime("long") != 400*ms {
		t.Fatalf("estimates %v and %v", q.ExpectedServiceTime("short"), q.ExpectedServiceTime("long"))
	}
	running := q.Offer(start, Job{Kind: "long", Deadline: after(9000)})
	long := q.Offer(start, Job{Kind: "long", Deadline: after(9000), Objective: after(300)})
	short := q.Offer(start, Job{Kind: "short", Deadline: after(9000), Objective: after(200)})
	if c := q.Release(after(50), running.Ticket, false); len(c.Start) != 1 || c.Start[0] != short.Ticket {
		t.Errorf("started %v, want the short job %d and not %d", c.Start, short.Ticket, long.Ticket)
	}
}
