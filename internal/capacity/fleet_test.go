package capacity

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"heatherreel/internal/choice"
	"heatherreel/internal/limit"
	"heatherreel/internal/routed"
)

// fleetServer is a server of a simulated service and what an ingress node knows of it.
type fleetServer struct {
	slowness  float64
	failing   func(t time.Duration) bool
	leaving   bool
	estimator *Estimator
	ends      []fleetRun
	waiting   []time.Time
	// plainTime is the mean time of all answers and abandoned requests, as a plain policy measures it.
	plainTime float64
	load      routed.Load
	reported  time.Time
	requests  int
}

type fleetRun struct {
	sample  Sample
	arrived time.Time
	end     time.Time
}

// fleetPolicy chooses the server for a request.
type fleetPolicy int

const (
	byLearnt fleetPolicy = iota
	byMeasuredTime
	leastOutstanding
	random
)

// replayFleet offers requests to the servers of 6 slots at the load for 30 s, and returns the fraction that is answered
// without an error within 500 ms.
func replayFleet(servers []*fleetServer, policy fleetPolicy, load float64) float64 {
	const slots, work = 6, 140 * ms
	rnd := rand.New(rand.NewPCG(21, 22))
	capacity := 0.0
	for _, s := range servers {
		capacity += slots / s.slowness
		s.estimator = New()
		s.estimator.SetSlots(slots)
	}
	offered, onTime := 0, 0
	for tick := range 30_000 {
		t := time.Duration(tick) * ms
		now := start.Add(t)
		for _, s := range servers {
			for i := 0; i < len(s.ends); {
				r := s.ends[i]
				if r.end.After(now) {
					i++
					continue
				}
				r.sample.RunningAtEnd = len(s.ends)
				s.ends[i] = s.ends[len(s.ends)-1]
				s.ends = s.ends[:len(s.ends)-1]
				s.estimator.Observe(now, r.sample)
				took := float64(now.Sub(r.sample.Began))
				s.plainTime += 0.125 * (took - s.plainTime)
				if !r.sample.Failed && r.sample.Result == limit.Answered && now.Sub(r.arrived) <= 500*ms {
					onTime++
				}
				s.load = routed.Load{Known: true, Running: len(s.ends), Waiting: len(s.waiting), Slots: slots, ServiceTime: time.Duration(s.plainTime)}
				if policy == byLearnt {
					s.load.ServiceTime, s.load.MeasuredSlots = s.estimator.ServiceTime(), s.estimator.Measured()
				}
				s.reported = now
			}
			for len(s.waiting) > 0 && len(s.ends) < slots {
				took := float64(work) * s.slowness * math.Exp(0.3*rnd.NormFloat64())
				r := fleetRun{sample: Sample{Route: "r", Began: now, RunningAtBegin: len(s.ends) + 1}, arrived: s.waiting[0]}
				switch {
				case s.failing != nil && s.failing(t):
					r.sample.Failed, took = true, float64(2*ms)
				case s.leaving && rnd.IntN(3) == 0:
					r.sample.Result, took = limit.TimedOut, took/5
				}
				r.end = now.Add(time.Duration(took))
				s.waiting = s.waiting[1:]
				s.ends = append(s.ends, r)
			}
		}
		if rnd.Float64() < load*capacity/float64(work/ms) {
			offered++
			candidates := make([]choice.Candidate, len(servers))
			for i, s := range servers {
				candidates[i] = choice.Candidate{Distance: choice.SameDataCentre, Load: s.load, Age: now.Sub(s.reported)}
			}
			chosen := rnd.IntN(len(servers))
			switch policy {
			case leastOutstanding:
				for i, s := range servers {
					if len(s.ends)+len(s.waiting) < len(servers[chosen].ends)+len(servers[chosen].waiting) {
						chosen = i
					}
				}
			case random:
			default:
				chosen = choice.Choose(candidates, rnd.IntN)
			}
			servers[chosen].waiting = append(servers[chosen].waiting, now)
			servers[chosen].requests++
		}
	}
	return float64(onTime) / float64(offered)
}

// Guards against choosing servers without regard to their speed, and against taking fast failures and requests that
// their callers abandoned for speed.
func TestChoiceByLearntSpeed(t *testing.T) {
	fleet := func(change func(i int, s *fleetServer)) []*fleetServer {
		var servers []*fleetServer
		for i := range 6 {
			s := &fleetServer{slowness: 1, plainTime: float64(140 * ms)}
			change(i, s)
			servers = append(servers, s)
		}
		return servers
	}
	for _, c := range []struct {
		name   string
		plain  fleetPolicy
		load   float64
		change func(i int, s *fleetServer)
	}{
		{"speeds 0.7, 0.7 and 1.6", random, 0.8, func(i int, s *fleetServer) { s.slowness = []float64{1 / 0.7, 1 / 0.7, 1 / 1.6}[i%3] }},
		{"speeds 0.7, 0.7 and 1.6", leastOutstanding, 0.95, func(i int, s *fleetServer) { s.slowness = []float64{1 / 0.7, 1 / 0.7, 1 / 1.6}[i%3] }},
		{"fast failures", byMeasuredTime, 0.6, func(i int, s *fleetServer) {
			if i < 2 {
				s.failing = func(t time.Duration) bool { return t/ms%10_000 > 4000 && t/ms%10 < 9 }
			}
		}},
		{"callers leave early", byMeasuredTime, 0.9, func(i int, s *fleetServer) { s.leaving = i < 2 }},
	} {
		got, plain := replayFleet(fleet(c.change), byLearnt, c.load), replayFleet(fleet(c.change), c.plain, c.load)
		t.Logf("%s: on time %.3f, plain policy %.3f", c.name, got, plain)
		if got < plain {
			t.Errorf("%s: on time %.3f, plain policy %.3f", c.name, got, plain)
		}
	}
}
