package limit

import (
	"container/heap"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"heatherreel/internal/admission"
)

// deployment is the size of one backend server and its speed.
type deployment struct {
	name string
	// slots is the number of concurrent requests that the server can handle when warm; coldCapacity is that when cold.
	slots int
	// warm is the median service time of a single request on a warm server.
	warm         time.Duration
	coldCapacity float64
	// warmAfter is the number of requests that make the server warm.
	warmAfter int
}

// deployments are the sizes of the current services.
var deployments = []deployment{
	{"Katoda", 10, 10 * ms, 3, 300},
	{"Crewmark", 6, 20 * ms, 2, 150},
}

// simulatedDeadline is the timeout of a request.
const simulatedDeadline = 500 * ms

// scriptedChange is a change of the server at a time after the start.
type scriptedChange struct {
	at     time.Duration
	change func(*serverModel)
}

// simulation runs one backend server, its queue and a policy in simulated time.
type simulation struct {
	server *serverModel
	policy policy
	queue  *admission.Queue
	rng    *rand.Rand
	now    time.Time
	script []scriptedChange
	// rate returns the requests per second at a time after the start.
	rate      func(time.Duration) float64
	jobs      map[admission.Ticket]*simulatedJob
	ends      endHeap
	result    result
	coldSince time.Time
	running   int
}

// result holds the measurements of a simulation.
type result struct {
	// offered counts all requests, done the answered ones, and overloads those that the server began above its
	// capacity.
	offered, done, overloads int
	// latencies are those of the answered requests, from arrival to answer.
	latencies []time.Duration
	// warm holds for each cold period how long the server took to become warm; zero if it never did.
	warm []time.Duration
	// perSecond counts the requests done in each second.
	perSecond []int
}

// simulatedJob is one request.
type simulatedJob struct {
	ticket       admission.Ticket
	arrived, end time.Time
	begun        time.Time
	deadline     time.Time
	// excess is the excess at the server when the request began; see serverModel.begin.
	excess float64
	// fraction is the part of the work that the server does before the request is canceled; 1 if it is not.
	fraction float64
}

// endHeap orders running jobs by the time at which they end.
type endHeap []*simulatedJob

func (h endHeap) Len() int           { return len(h) }
func (h endHeap) Less(i, j int) bool { return h[i].end.Before(h[j].end) }
func (h endHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *endHeap) Push(x any)        { *h = append(*h, x.(*simulatedJob)) }
func (h *endHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// newSimulation returns a simulation of a server that has just started and is cold.
func newSimulation(d deployment, p policy, seed uint64) *simulation {
	rng := rand.New(rand.NewPCG(seed, 1))
	s := &simulation{
		server: &serverModel{
			slots: d.slots, warm: d.warm, coldFactor: 8, coldCapacity: d.coldCapacity, warmAfter: d.warmAfter, rng: rng,
		},
		policy: p, rng: rng, now: start, jobs: map[admission.Ticket]*simulatedJob{},
		queue: admission.NewQueue(admission.Options{}),
	}
	if o, ok := p.(*oraclePolicy); ok {
		o.server = s.server
	}
	p.announced(start)
	s.turnCold()
	return s
}

// turnCold makes the server cold and begins a new cold period in the result.
func (s *simulation) turnCold() {
	s.server.coldness = 1
	s.coldSince = s.now
	s.result.warm = append(s.result.warm, 0)
}

// run simulates a duration.
func (s *simulation) run(length time.Duration) *result {
	s.result.perSecond = make([]int, length/time.Second+1)
	end := start.Add(length)
	arrival := s.nextArrival()
	for {
		next := arrival
		if len(s.ends) > 0 && s.ends[0].end.Before(next) {
			next = s.ends[0].end
		}
		if next.After(end) {
			return &s.result
		}
		s.now = next
		s.applyScript()
		if next.Equal(arrival) {
			s.arrive()
			arrival = s.nextArrival()
			continue
		}
		s.finish(heap.Pop(&s.ends).(*simulatedJob))
	}
}

// applyScript applies the scripted changes that are due.
func (s *simulation) applyScript() {
	for len(s.script) > 0 && s.now.Sub(start) >= s.script[0].at {
		cold := s.server.coldness
		s.script[0].change(s.server)
		if s.server.coldness > cold {
			s.turnCold()
		}
		s.script = s.script[1:]
	}
}

func (s *simulation) nextArrival() time.Time {
	rate := max(s.rate(s.now.Sub(start)), 1)
	return s.now.Add(time.Duration(s.rng.ExpFloat64() / rate * float64(time.Second)))
}

// arrive offers a request to the queue.
func (s *simulation) arrive() {
	s.applyLimit()
	s.result.offered++
	j := &simulatedJob{arrived: s.now, deadline: s.now.Add(simulatedDeadline)}
	key := strconv.Itoa(s.rng.IntN(1000))
	d := s.queue.Offer(s.now, admission.Job{Tenant: "t", Key: key, Deadline: j.deadline})
	j.ticket = d.Ticket
	s.jobs[j.ticket] = j
	if d.Verdict == admission.Refused {
		delete(s.jobs, j.ticket)
	}
	s.apply(d.Change)
	if d.Verdict == admission.Started {
		s.begin(j)
	}
}

// simulatedQueueLimit is the number of requests that may wait.
const simulatedQueueLimit = 50

// applyLimit sets the limit of the queue to that of the policy.
func (s *simulation) applyLimit() {
	limit := s.policy.limit(s.now)
	if s.queue.Usage().Limit != limit {
		s.apply(s.queue.SetLimits(s.now, admission.Options{Limit: limit, QueueLimit: simulatedQueueLimit}))
	}
}

// apply starts and removes waiting jobs as the queue decided.
func (s *simulation) apply(c admission.Change) {
	for _, r := range c.Refuse {
		delete(s.jobs, r.Ticket)
	}
	for _, ticket := range c.Start {
		s.begin(s.jobs[ticket])
	}
}

// begin sends a job to the server. A job that would miss its deadline is canceled at the deadline.
func (s *simulation) begin(j *simulatedJob) {
	s.running++
	serviceTime, excess := s.server.begin(s.running)
	j.begun, j.end, j.excess, j.fraction = s.now, s.now.Add(serviceTime), excess, 1
	if excess > 1 {
		s.result.overloads++
	}
	if j.end.After(j.deadline) {
		j.end, j.fraction = j.deadline, float64(j.deadline.Sub(s.now))/float64(serviceTime)
	}
	heap.Push(&s.ends, j)
}

// finish ends a job at the server and reports it to the policy and the queue.
func (s *simulation) finish(j *simulatedJob) {
	sample := Sample{Begun: j.begun, Running: s.running, Result: Answered}
	s.running--
	if !j.end.Before(j.deadline) {
		sample.Result = TimedOut
	} else {
		s.result.done++
		s.result.perSecond[s.now.Sub(start)/time.Second]++
		s.result.latencies = append(s.result.latencies, s.now.Sub(j.arrived))
	}
	s.server.finish(j.excess, j.fraction)
	if last := len(s.result.warm) - 1; s.server.coldness < 0.05 && s.result.warm[last] == 0 {
		s.result.warm[last] = s.now.Sub(s.coldSince)
	}
	delete(s.jobs, j.ticket)
	s.policy.finish(s.now, sample)
	measured := sample.Result == Answered || s.now.Sub(j.begun) > s.queue.Usage().ServiceTime
	s.apply(s.queue.Release(s.now, j.ticket, measured))
	s.applyLimit()
}

// percentile returns a percentile of the latencies of the answered requests.
func (r *result) percentile(percent int) time.Duration {
	if len(r.latencies) == 0 {
		return 0
	}
	slices.Sort(r.latencies)
	return r.latencies[(len(r.latencies)-1)*percent/100].Round(ms)
}

// doneBetween returns the average number of requests done per second between two times, in seconds after the start.
func (r *result) doneBetween(from, to int) int {
	sum := 0
	for _, n := range r.perSecond[from:to] {
		sum += n
	}
	return sum / (to - from)
}
