package gateway

import (
	"testing"
	"testing/synctest"
	"time"

	"heatherreel/internal/admission"
	"heatherreel/internal/capacity"
	"heatherreel/internal/request"
	"heatherreel/internal/routed"
)

// Guards against a learnt limit that is not put in force or not reported, and against one without the setting.
func TestLearnedLimitIsInForceAndReported(t *testing.T) {
	for _, learn := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			tracker := newServerTracker()
			if learn {
				tracker.estimator = capacity.New()
			}
			tracker.setQueueLimits(time.Now(), 6, false)
			type job struct {
				ticket admission.Ticket
				run    run
				end    time.Time
			}
			var jobs []job
			for range 40_000 {
				time.Sleep(time.Millisecond)
				now := time.Now()
				for i := 0; i < len(jobs); {
					if jobs[i].end.After(now) {
						i++
						continue
					}
					tracker.endRun(jobs[i].run, routed.Answer{Outcome: request.Done, Status: 200, ReachedServer: true})
					tracker.applyChange(tracker.queue.Release(now, jobs[i].ticket, true))
					jobs = append(jobs[:i], jobs[i+1:]...)
				}
				if tracker.queue.Usage().Running < tracker.queue.Usage().Limit {
					d := tracker.queue.Offer(now, admission.Job{Kind: "r", Deadline: now.Add(time.Minute)})
					r := tracker.beginRun("r")
					// The backend server takes four times as long above four requests.
					took := 100 * time.Millisecond
					if r.running > 4 {
						took *= 4
					}
					jobs = append(jobs, job{d.Ticket, r, now.Add(took)})
				}
			}
			l := tracker.load(time.Now())
			if !learn && (l.Slots != 6 || l.MeasuredSlots != 0) {
				t.Errorf("without the setting: %d slots, measured %d", l.Slots, l.MeasuredSlots)
			}
			if learn && (l.MeasuredSlots != 4 || l.Slots < 3 || l.Slots > 5) {
				t.Errorf("with the setting: %d slots, measured %d", l.Slots, l.MeasuredSlots)
			}
		})
	}
}
