package admission

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"heatherreel/internal/request"
)

// ticketTracker checks that each ticket is started, refused or canceled at most once.
type ticketTracker struct {
	waiting, running map[Ticket]bool
}

// apply checks a change and records it.
func (tracker *ticketTracker) apply(t *rapid.T, c Change) {
	for _, ticket := range c.Start {
		if !tracker.waiting[ticket] {
			t.Fatalf("started %d, which does not wait", ticket)
		}
		delete(tracker.waiting, ticket)
		tracker.running[ticket] = true
	}
	for _, r := range c.Refuse {
		if !tracker.waiting[r.Ticket] || r.Reason == "" {
			t.Fatalf("refused %+v, which does not wait", r)
		}
		delete(tracker.waiting, r.Ticket)
	}
}

// Guards against a job that is started twice, lost, refused after its start or left waiting while a slot is free, and
// against wrong counts of tenants and keys.
func TestQueueInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		o := Options{Limit: rapid.IntRange(0, 4).Draw(t, "limit"), QueueLimit: rapid.IntRange(0, 8).Draw(t, "queue")}
		q, now := NewQueue(o), start
		tracker := &ticketTracker{waiting: map[Ticket]bool{}, running: map[Ticket]bool{}}
		drawTicket := func(t *rapid.T, set map[Ticket]bool) Ticket {
			if len(set) == 0 {
				t.Skip()
			}
			chosen := Ticket(0)
			remaining := rapid.IntRange(0, len(set)-1).Draw(t, "which")
			for ticket := Ticket(1); ; ticket++ {
				if set[ticket] {
					chosen = ticket
					if remaining--; remaining < 0 {
						return chosen
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
					tracker.running[d.Ticket] = true
					if len(tracker.running) > o.Limit {
						t.Fatalf("%d run, limit %d", len(tracker.running), o.Limit)
					}
				case Queued:
					tracker.waiting[d.Ticket] = true
				case Refused:
					if d.Reason == "" {
						t.Fatal("refused without a reason")
					}
				}
				tracker.apply(t, d.Change)
			},
			"release": func(t *rapid.T) {
				ticket := drawTicket(t, tracker.running)
				delete(tracker.running, ticket)
				c := q.Release(now, ticket, rapid.Bool().Draw(t, "measured"))
				tracker.apply(t, c)
				if len(c.Start) > 0 && len(tracker.running) > o.Limit {
					t.Fatalf("%d run, limit %d", len(tracker.running), o.Limit)
				}
			},
			"cancel": func(t *rapid.T) {
				ticket := drawTicket(t, tracker.waiting)
				delete(tracker.waiting, ticket)
				if !q.Cancel(ticket) {
					t.Fatal("a waiting job was not canceled")
				}
			},
			"limits": func(t *rapid.T) {
				o = Options{Limit: rapid.IntRange(0, 4).Draw(t, "limit"), QueueLimit: rapid.IntRange(0, 8).Draw(t, "queue")}
				tracker.apply(t, q.SetLimits(now, o))
			},
			"expire": func(t *rapid.T) { tracker.apply(t, q.Expire(now)) },
			"wait":   func(t *rapid.T) { now = now.Add(time.Duration(rapid.IntRange(1, 40).Draw(t, "ms")) * ms) },
			"": func(t *rapid.T) {
				u := q.Usage()
				if u.Running != len(tracker.running) || u.Waiting != len(tracker.waiting) || u.Waiting > o.QueueLimit {
					t.Fatalf("usage %+v, %d run, %d wait", u, len(tracker.running), len(tracker.waiting))
				}
				if u.Waiting > 0 && u.Running < o.Limit {
					t.Fatalf("usage %+v: a job waits although a slot is free", u)
				}
				total := jobCounts{}
				for _, s := range q.tenants {
					total.running += s.running
					total.waiting += s.waiting
				}
				if total != (jobCounts{u.Running, u.Waiting}) || len(q.keys) > u.Running+u.Waiting {
					t.Fatalf("tenant counts %+v, usage %+v", total, u)
				}
			},
		})
	})
}

// simulate offers two streams of jobs to 10 slots for half a second with a service time of 2 ms, and returns how many
// jobs of each stream finished. The busy stream offers four times the capacity, the quiet one a tenth of it.
func simulate(busy, quiet Job) (busyDone, quietDone, quietOffered int) {
	q := NewQueue(Options{Limit: 10, QueueLimit: 100})
	ends := map[int][]Ticket{}
	isQuiet := map[Ticket]bool{}
	startJobs := func(tick int, tickets ...Ticket) {
		ends[tick+2] = append(ends[tick+2], tickets...)
	}
	offerJob := func(tick int, j Job) Ticket {
		j.Deadline = after(tick + 50)
		d := q.Offer(after(tick), j)
		if d.Verdict == Started {
			startJobs(tick, d.Ticket)
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
			startJobs(tick, q.Release(after(tick), ticket, true).Start...)
		}
		for n := range 20 {
			j := busy
			if j.Key == "" {
				j.Key = fmt.Sprint(tick, n)
			}
			offerJob(tick, j)
		}
		if tick%2 == 0 {
			quietOffered++
			isQuiet[offerJob(tick, quiet)] = true
		}
	}
	return busyDone, quietDone, quietOffered
}

// Guards against a tenant, a hot key or another tenant's urgent class that starves other requests, against background
// requests that take slots from urgent ones of the same tenant, and against fair sharing that leaves slots unused.
func TestFairShare(t *testing.T) {
	cases := []struct {
		name        string
		busy, quiet Job
		// least and most bound the fraction of the quiet stream's jobs that finish.
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
			if fraction := float64(quietDone) / float64(offered); fraction < c.least || fraction > c.most {
				t.Errorf("%d of %d jobs of the quiet stream finished", quietDone, offered)
			}
			if total := busyDone + quietDone; total < 2450 {
				t.Errorf("%d done in all, capacity 2500", total)
			}
		})
	}
}
