package admission

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"heatherreel/internal/request"
)

// classLoad is a stream of requests of one class.
type classLoad struct {
	kind, tenant             string
	class                    request.Class
	rate                     float64
	work, target, deadline   time.Duration
	burst                    float64
	offered, served, refused int
	worth                    float64
	// burstOffered, burstServed and burstWorth are those of the requests that arrive during the burst.
	burstOffered, burstServed int
	burstWorth                float64
}

// The burst of a replay.
const burstStart, burstEnd = 10_000, 16_000

func inBurst(at time.Time) bool { return !at.Before(after(burstStart)) && at.Before(after(burstEnd)) }

// replay offers the loads to 6 slots for 30 s, with a burst of each class by its factor for 6 s. With retry,
// a refused request comes back at once, up to five times. plain replaces the queue by one in order of arrival that
// holds 36 requests.
func replay(loads []*classLoad, plain, retry bool) {
	const slots = 6
	type item struct {
		load     *classLoad
		arrived  time.Time
		attempts int
	}
	random := rand.New(rand.NewPCG(5, 6))
	q := NewQueue(Options{Limit: slots, QueueLimit: 6 * slots})
	items, ends := map[Ticket]item{}, map[Ticket]time.Time{}
	var fifo []Ticket
	nextTicket := Ticket(1 << 32)
	begin := func(now time.Time, t Ticket) {
		ends[t] = now.Add(time.Duration(float64(items[t].load.work) * math.Exp(0.3*random.NormFloat64())))
	}
	var offer func(now time.Time, i item)
	refuse := func(now time.Time, i item) {
		if retry && i.attempts < 5 && now.Sub(i.arrived) < i.load.deadline/2 {
			i.attempts++
			offer(now.Add(20*time.Millisecond), i)
			return
		}
		i.load.refused++
	}
	apply := func(now time.Time, c Change) {
		for _, t := range c.Start {
			begin(now, t)
		}
		for _, r := range c.Refuse {
			refuse(now, items[r.Ticket])
		}
	}
	later := map[int64][]item{}
	offer = func(now time.Time, i item) {
		later[now.Sub(start).Milliseconds()] = append(later[now.Sub(start).Milliseconds()], i)
	}
	offerNow := func(now time.Time, i item) {
		if plain {
			nextTicket++
			items[nextTicket] = i
			switch {
			case len(ends) < slots:
				begin(now, nextTicket)
			case len(fifo) < 6*slots:
				fifo = append(fifo, nextTicket)
			default:
				refuse(now, i)
			}
			return
		}
		d := q.Offer(now, Job{Kind: i.load.kind, Tenant: i.load.tenant, Class: i.load.class, Deadline: i.arrived.Add(i.load.deadline), Objective: i.arrived.Add(i.load.target)})
		items[d.Ticket] = i
		if d.Verdict == Started {
			begin(now, d.Ticket)
		}
		apply(now, d.Change)
		if d.Verdict == Refused {
			refuse(now, i)
		}
	}
	for ms := range 30_000 {
		now := after(ms)
		for t, end := range ends {
			if end.After(now) {
				continue
			}
			delete(ends, t)
			i := items[t]
			worth := 0.0
			switch took := now.Sub(i.arrived); {
			case took <= i.load.target:
				worth = 1
			case took <= i.load.deadline:
				worth = 0.3
			}
			i.load.served++
			i.load.worth += worth
			if inBurst(i.arrived) {
				i.load.burstServed++
				i.load.burstWorth += worth
			}
			if !plain {
				apply(now, q.Release(now, t, true))
			}
			for plain && len(fifo) > 0 && len(ends) < slots {
				begin(now, fifo[0])
				fifo = fifo[1:]
			}
		}
		apply(now, q.Expire(now))
		for _, l := range loads {
			rate := l.rate
			if inBurst(now) {
				rate *= l.burst
			}
			if random.Float64() < rate/1000 {
				l.offered++
				if inBurst(now) {
					l.burstOffered++
				}
				offerNow(now, item{load: l, arrived: now})
			}
		}
		for _, i := range later[int64(ms)] {
			offerNow(now, i)
		}
		delete(later, int64(ms))
	}
}

// lookups and others are two classes of one service, together at 0.85 of the capacity of 6 slots.
func competingLoads(burstUrgent, burstOther float64) []*classLoad {
	return []*classLoad{
		{kind: "urgent", class: 0, rate: 20, work: 140 * ms, target: 500 * ms, deadline: 2500 * ms, burst: burstUrgent},
		{kind: "other", class: 2, rate: 16, work: 140 * ms, target: 2000 * ms, deadline: 4000 * ms, burst: burstOther},
	}
}

// Guards against a burst or immediate retries that leave one class without service, against a class that is served worse
// than a less urgent one, and against earning less than a queue in order of arrival.
func TestClassesUnderOverload(t *testing.T) {
	for name, c := range map[string]struct {
		urgent, other float64
		retry         bool
	}{
		"burst of the urgent class":             {2.6, 1, false},
		"burst of the other class":              {1, 2.6, false},
		"burst of both":                         {2, 2, false},
		"urgent alone above the capacity":       {4, 1, false},
		"burst of the urgent class and retries": {2.6, 1, true},
		"burst of both and retries":             {2, 2, true},
	} {
		plain, loads := competingLoads(c.urgent, c.other), competingLoads(c.urgent, c.other)
		replay(plain, true, c.retry)
		replay(loads, false, c.retry)
		var worth, plainWorth float64
		var servedShare, worthShare [2]float64
		for i, l := range loads {
			servedShare[i], worthShare[i] = float64(l.burstServed)/float64(l.burstOffered), l.burstWorth/float64(l.burstOffered)
			// An urgent request is worth four times as much.
			weight := 4 - 3*float64(i)
			worth += weight * l.worth
			plainWorth += weight * plain[i].worth
		}
		t.Logf("%s: served %.3f and %.3f, worth %.3f and %.3f, in all %.0f; in order of arrival %.0f", name,
			servedShare[0], servedShare[1], worthShare[0], worthShare[1], worth, plainWorth)
		if servedShare[0] < servedShare[1]-0.05 || worthShare[0] < worthShare[1]-0.15 {
			t.Errorf("%s: the urgent class is served worse than the other one", name)
		}
		if servedShare[1] < floorRatio*servedShare[0] {
			t.Errorf("%s: the less urgent class is below its floor", name)
		}
		if worth < plainWorth {
			t.Errorf("%s: worth %.0f, in order of arrival %.0f", name, worth, plainWorth)
		}
	}
}

// Guards against a tenant whose burst takes the slots of others, whatever the classes of both.
func TestTenantsUnderOverload(t *testing.T) {
	for _, c := range []struct{ quiet, bursting request.Class }{{1, 1}, {0, 2}, {2, 0}} {
		loads, plain := competingLoads(1, 2.6), competingLoads(1, 2.6)
		loads[0].tenant, loads[0].class = "quiet", c.quiet
		loads[1].tenant, loads[1].class = "bursting", c.bursting
		replay(loads, false, true)
		replay(plain, true, true)
		served := func(l *classLoad) float64 { return float64(l.burstServed) / float64(l.burstOffered) }
		t.Logf("classes %d and %d: quiet tenant %.3f, bursting one %.3f; in order of arrival %.3f and %.3f", c.quiet, c.bursting,
			served(loads[0]), served(loads[1]), served(plain[0]), served(plain[1]))
		if c.quiet <= c.bursting && served(loads[0]) < served(loads[1])-0.05 || served(loads[0]) < floorRatio*served(loads[1]) {
			t.Errorf("classes %d and %d: the quiet tenant is served %.3f, the bursting one %.3f", c.quiet, c.bursting, served(loads[0]), served(loads[1]))
		}
	}
}

// Guards against refused callers that are all told to return at the same moment, and find the queue full again.
func TestAppointmentsAreSpread(t *testing.T) {
	const callers, slots, service = 60, 6, 140 * ms
	busiest := func(times []time.Duration) int {
		in := map[time.Duration]int{}
		for _, d := range times {
			in[d/(200*ms)]++
		}
		most := 0
		for _, n := range in {
			most = max(most, n)
		}
		return most
	}
	var a Appointments
	var given, same []time.Duration
	for range callers {
		given = append(given, a.Give(start, 800*ms, service, slots))
		same = append(same, 800*ms)
	}
	t.Logf("callers that return in the same 200 ms: %d, without appointments %d; capacity %d", busiest(given), busiest(same), 200*ms*slots/service)
	if got := busiest(given); got > int(200*ms*slots/service) {
		t.Errorf("%d callers return in the same 200 ms", got)
	}
	if given[0] != 800*ms || given[callers-1] > 800*ms+maxAppointment {
		t.Errorf("appointments from %v to %v", given[0], given[callers-1])
	}
	if next := a.Give(after(60_000), 0, service, slots); next != 0 {
		t.Errorf("an idle minute later a caller waits %v", next)
	}
}

// Guards against sending every request to a backend server that sheds all for 8.5 s, and against leaving it alone after
// that, or when it sheds only a part.
func TestSheddingServerIsLeftAlone(t *testing.T) {
	var g ShedGate
	sent, plainSent, recovered := 0, 0, 0
	for n := range 1400 {
		now := after(10 * n)
		shedding := n >= 100 && n < 950
		plainSent += boolInt(shedding)
		if !g.Allow(now) {
			continue
		}
		sent += boolInt(shedding)
		g.Record(now, shedding)
		if n >= 950 && recovered == 0 {
			recovered = (n - 950) * 10
		}
	}
	t.Logf("%d of %d requests sent while all are shed; served again after %d ms", sent, plainSent, recovered)
	if sent > 60 || recovered > 200 || g.Closed() {
		t.Errorf("%d sent, served again after %d ms", sent, recovered)
	}
	var partly ShedGate
	for n := range 1000 {
		if partly.Record(after(10*n), n%5 != 0); partly.Closed() {
			t.Fatal("closed for a backend server that sheds four of five requests")
		}
	}
}

func boolInt(b bool) int {
	if b {
		return 1
	}
	return 0
}
