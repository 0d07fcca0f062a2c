package egress

import (
	"container/heap"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

const linkMbps = 10

// link is a simulated link that sends what is written to it in order.
type link struct{ freeAt time.Time }

// send returns when bytes that are written now have been sent.
func (l *link) send(now time.Time, bytes int) time.Time {
	if l.freeAt.Before(now) {
		l.freeAt = now
	}
	l.freeAt = l.freeAt.Add(time.Duration(float64(bytes) * 8 / (linkMbps * 1e6) * float64(time.Second)))
	return l.freeAt
}

// event is an answer that is ready, or due to be sent, at a time.
type event struct {
	at, arrived, finishBy time.Time
	bytes                 int
	scheduled             bool
}

type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// result counts the outcome of a replay: how many large answers are sent by their objective, how many requests are refused,
// and the delays of the small answers.
type result struct {
	onTime, late, refused int
	smallDelays           []time.Duration
}

// replay sends downloads of 90 KB in the mean with an objective of 2 s, at the given rate per second, and 24 small answers
// per second over one link for 20 s. Without a pacer each answer is sent when it is ready.
func replay(p *Pacer, rate func(second float64) float64) result {
	const work, objective = 96 * time.Millisecond, 2 * time.Second
	random := rand.New(rand.NewPCG(1, 2))
	start := time.Unix(0, 0)
	var queue events
	for t := 0.0; t < 20; t += random.ExpFloat64() / 24 {
		at := start.Add(time.Duration(t * 1e9))
		heap.Push(&queue, event{at: at, arrived: at, bytes: 2000, scheduled: true})
	}
	for t := 0.0; t < 20; t += random.ExpFloat64() / rate(t) {
		at := start.Add(time.Duration(t * 1e9))
		heap.Push(&queue, event{at: at, arrived: at, finishBy: at.Add(objective), bytes: int(90000 * (0.4 + 1.2*random.Float64()))})
	}
	const expected = 90000
	var l link
	var r result
	for queue.Len() > 0 {
		e := heap.Pop(&queue).(event)
		switch {
		case e.bytes < LargeAnswer:
			r.smallDelays = append(r.smallDelays, l.send(e.at, e.bytes).Sub(e.at))
		case e.at.Equal(e.arrived) && !e.scheduled:
			if p != nil {
				if admitted, _ := p.Admit(e.at, e.finishBy.Add(-work), expected); !admitted {
					r.refused++
					continue
				}
			}
			e.at = e.at.Add(work)
			heap.Push(&queue, e)
		case p != nil && !e.scheduled:
			e.at, e.scheduled = p.Schedule(e.at, expected, e.bytes), true
			heap.Push(&queue, e)
		default:
			if l.send(e.at, e.bytes).After(e.finishBy) {
				r.late++
			} else {
				r.onTime++
			}
		}
	}
	slices.Sort(r.smallDelays)
	return r
}

// Guards against downloads that fill a slow link: behind the downloads of a burst, small answers wait for seconds, and
// the nested calls that need them fail.
func TestSmallAnswersPassDownloads(t *testing.T) {
	burst := func(second float64) float64 {
		if second >= 5 && second < 10 {
			return 26
		}
		return 13
	}
	plain, paced := replay(nil, burst), replay(New(linkMbps), burst)
	percentile := func(r result, percent int) time.Duration { return r.smallDelays[len(r.smallDelays)*percent/100] }
	t.Logf("plain: %d on time, %d late, small answers p50 %v, p90 %v", plain.onTime, plain.late, percentile(plain, 50), percentile(plain, 90))
	t.Logf("paced: %d on time, %d late, %d refused, small answers p50 %v, p90 %v", paced.onTime, paced.late, paced.refused, percentile(paced, 50), percentile(paced, 90))
	// A nested call has 400 ms for its work of 30 ms and everything else.
	if got := percentile(paced, 90); got > 200*time.Millisecond {
		t.Errorf("a tenth of the small answers takes over %v", got)
	}
	if percentile(plain, 50) < 400*time.Millisecond {
		t.Error("without pacing small answers are fast: this load does not need it")
	}
	if paced.onTime < plain.onTime || paced.late > paced.onTime/20 {
		t.Errorf("%d downloads are on time and %d late, %d are on time without pacing", paced.onTime, paced.late, plain.onTime)
	}
}

// Guards against a request that can never run because its answer is larger than what the link sends within its objective.
func TestIdleLinkAdmitsAnyAnswer(t *testing.T) {
	now := time.Unix(0, 0)
	if admitted, _ := New(linkMbps).Admit(now, now.Add(time.Second), 60<<20); !admitted {
		t.Error("an idle link refuses a large answer")
	}
}

// Guards against expected answers that are never subtracted again: the link would seem busy for ever.
func TestBacklogEndsWithItsAnswers(t *testing.T) {
	now := time.Unix(0, 0)
	p := New(linkMbps)
	for range 3 {
		p.Admit(now, now.Add(time.Hour), 90000)
	}
	if p.Backlog(now) < 200*time.Millisecond {
		t.Errorf("three expected answers take %v", p.Backlog(now))
	}
	p.Drop(90000)
	p.Schedule(now, 90000, 500)
	if sendAt := p.Schedule(now, 90000, 90000); sendAt.After(now) {
		t.Errorf("the first answer waits for %v", sendAt.Sub(now))
	}
	if got := p.Backlog(now.Add(100 * time.Millisecond)); got != 0 {
		t.Errorf("the backlog is %v after the last answer", got)
	}
}

// Guards against a time for the retry at which the request is refused again although nothing else arrived.
func TestRetryAfterFindsRoom(t *testing.T) {
	const size, patience = 90000, 2 * time.Second
	now := time.Unix(0, 0)
	p := New(linkMbps)
	admittedCount := 0
	admitted, retryAfter := p.Admit(now, now.Add(patience), size)
	for admitted && admittedCount < 100 {
		admittedCount++
		admitted, retryAfter = p.Admit(now, now.Add(patience), size)
	}
	if admitted || admittedCount < 10 {
		t.Fatalf("%d requests are admitted, the next one: %v", admittedCount, admitted)
	}
	for range admittedCount {
		p.Schedule(now, size, size)
	}
	later := now.Add(retryAfter + time.Millisecond)
	if admitted, _ := p.Admit(later, later.Add(patience), size); !admitted {
		t.Errorf("refused again after %v", retryAfter)
	}
}
