package admission

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"heatherreel/internal/request"
)

// tracker checks that each ticket gets exactly one end.
type tracker struct {
	waiting, running map[Ticket]bool
}

// apply checks a change and records it.
func (k *tracker) apply(t *rapid.T, c Change) {
	for _, ticket := range c.Start {
		if !k.waiting[ticket] {
			t.Fatalf("started %d, which does not wait", ticket)
		}
		delete(k.waiting, ticket)
		k.running[ticket] = true
	}
	for _, r := range c.Refuse {
		if !k.waiting[r.Ticket] || r.Reason == "" {
			t.Fatalf("refused %+v, which does not wait", r)
		}
		delete(k.waiting, r.Ticket)
	}
}

// Guards against a job that is started twice, lost, refused after its start or kept beside a free slot, and against
// counts of tenants and keys that drift.
func TestQueueInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		o := Options{Limit: rapid.IntRange(0, 4).Draw(t, "limit"), QueueLimit: rapid.IntRange(0, 8).Draw(t, "queue")}
		q, now := NewQueue(o), start
		k := &tracker{waiting: map[Ticket]bool{}, running: map[Ticket]bool{}}
		anyOf := func(t *rapid.T, set map[Ticket]bool) Ticket {
			if len(set) == 0 {
				t.Skip()
			}
			first := Ticket(0)
			skip := rapid.IntRange(0, len(set)-1).Draw(t, "which")
			for ticket := Ticket(1); ; ticket++ {
				if set[ticket] {
					first = ticket
					if skip--; skip < 0 {
						return first
					}
				}
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"offer": func(t *rapid.T) {
				d := q.Offer(now, Job{
					Tenant: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "tenant"), Key: rapid.SampledFrom([]string{"k", "l", "m"}).Draw(t, "key"),
					Class: request.Class(rapid.IntRange(0, 2).Draw(t, "class")), Deadline: now.Add(time.Duration(rapid.IntRange(-5, 100).Draw(t, "deadline")) * ms),
				})
				switch d.Verdict {
				case Started:
					k.running[d.Ticket] = true
					if len(k.running) > o.Limit {
						t.Fatalf("%d run, limit %d", len(k.running), o.Limit)
					}
				case Queued:
					k.waiting[d.Ticket] = true
				case Refused:
					if d.Reason == "" {
						t.Fatal("refused without a reason")
					}
				}
				k.apply(t, d.Change)
			},
			"release": func(t *rapid.T) {
				ticket := anyOf(t, k.running)
				delete(k.running, ticket)
				c := q.Release(now, ticket, rapid.Bool().Draw(t, "measured"))
				k.apply(t, c)
				if len(c.Start) > 0 && len(k.running) > o.Limit {
					t.Fatalf("%d run, limit %d", len(k.running), o.Limit)
				}
			},
			"cancel": func(t *rapid.T) {
				ticket := anyOf(t, k.waiting)
				delete(k.waiting, ticket)
				if !q.Cancel(ticket) {
					t.Fatal("a waiting job was not cancelled")
				}
			},
			"limits": func(t *rapid.T) {
				o = Options{Limit: rapid.IntRange(0, 4).Draw(t, "limit"), QueueLimit: rapid.IntRange(0, 8).Draw(t, "queue")}
				k.apply(t, q.SetLimits(now, o))
			},
			"expire": func(t *rapid.T) { k.apply(t, q.Expire(now)) },
			"wait":   func(t *rapid.T) { now = now.Add(time.Duration(rapid.IntRange(1, 40).Draw(t, "ms")) * ms) },
			"": func(t *rapid.T) {
				u := q.Usage()
				if u.Running != len(k.running) || u.Waiting != len(k.waiting) || u.Waiting > o.QueueLimit {
					t.Fatalf("usage %+v, %d run, %d wait", u, len(k.running), len(k.waiting))
				}
				if u.Waiting > 0 && u.Running < o.Limit {
					t.Fatalf("usage %+v: a job waits beside a free slot", u)
				}
				total := share{}
				for _, s := range q.tenants {
					total.running += s.running
					total.waiting += s.waiting
				}
				if total != (share{u.Running, u.Waiting}) || len(q.keys) > u.Running+u.Waiting {
					t.Fatalf("shares %+v, usage %+v", total, u)
				}
			},
		})
	})
}

// simulate offers jobs of two parties to 10 slots for half a second at 2 ms of service, and returns how many each of
// them got done. A busy party offers at four times the capacity, a quiet one at a tenth of it.
func simulate(busy, quiet Job) (busyDone, quietDone, quietOffered int) {
	q := NewQueue(Options{Limit: 10, QueueLimit: 100})
	ends := map[int][]Ticket{}
	isQuiet := map[Ticket]bool{}
	begin := func(tick int, tickets ...Ticket) {
		ends[tick+2] = append(ends[tick+2], tickets...)
	}
	give := func(tick int, j Job) Ticket {
		j.Deadline = after(tick + 50)
		d := q.Offer(after(tick), j)
		if d.Verdict == Started {
			begin(tick, d.Ticket)
		}
		return d.Ticket
	}
	for tick := range 500 {
		for _, ticket := range ends[tick] {
			if isQuiet[ticket] {
				quietDone++
			} else {
				busyDone++
			}
			begin(tick, q.Release(after(tick), ticket, true).Start...)
		}
		for n := range 20 {
			j := busy
			if j.Key == "" {
				j.Key = fmt.Sprint(tick, n)
			}
			give(tick, j)
		}
		if tick%2 == 0 {
			quietOffered++
			isQuiet[give(tick, quiet)] = true
		}
	}
	return busyDone, quietDone, quietOffered
}

// Guards against a tenant, a hot key or another tenant's class that starves the rest, against background work of a
// tenant that takes slots from its urgent requests, and against shares that leave slots unused.
func TestFairShare(t *testing.T) {
	cases := []struct {
		name        string
		busy, quiet Job
		// least and most bound the part of the quiet party's jobs that is done.
		least, most float64
	}{
		{"tenant", Job{Tenant: "busy"}, Job{Tenant: "quiet"}, 0.98, 1},
		{"hot key", Job{Tenant: "t", Key: "hot"}, Job{Tenant: "t", Key: "other"}, 0.98, 1},
		{"class of another tenant", Job{Tenant: "busy"}, Job{Tenant: "quiet", Class: request.Background}, 0.98, 1},
		{"class of the same tenant", Job{Tenant: "t"}, Job{Tenant: "t", Key: "other", Class: request.Background}, 0, 0.125},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			busyDone, quietDone, offered := simulate(c.busy, c.quiet)
			t.Logf("quiet %d of %d done, busy %d done", quietDone, offered, busyDone)
			if part := float64(quietDone) / float64(offered); part < c.least || part > c.most {
				t.Errorf("quiet party got %d of %d done", quietDone, offered)
			}
			if total := busyDone + quietDone; total < 2450 {
				t.Errorf("%d done in all, capacity 2500", total)
			}
		})
	}
}
