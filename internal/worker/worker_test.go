package worker_test

import (
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"heatherreel/internal/worker"
)

// Guards against a queue that grows beyond its capacity under load.
func TestFullQueueRefuses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := worker.NewPool("test", 1, 2)
		defer p.Stop()
		block := make(chan struct{})
		if err := p.Submit(func() { <-block }); err != nil {
			t.Fatal(err)
		}
		synctest.Wait()
		for range 2 {
			if err := p.Submit(func() {}); err != nil {
				t.Fatal(err)
			}
		}
		if err := p.Submit(func() {}); err != worker.ErrQueueFull {
			t.Fatalf("Submit = %v, want ErrQueueFull", err)
		}
		close(block)
	})
}

// Guards against a stop that drops queued jobs, and against a stopped pool that accepts jobs.
func TestStopRunsQueuedJobs(t *testing.T) {
	p := worker.NewPool("test", 2, 100)
	var ran atomic.Int32
	for range 100 {
		if err := p.Submit(func() { ran.Add(1) }); err != nil {
			t.Fatal(err)
		}
	}
	p.Stop()
	if ran.Load() != 100 {
		t.Fatalf("%d jobs ran, want 100", ran.Load())
	}
	if err := p.Submit(func() {}); err != worker.ErrStopped {
		t.Fatalf("Submit = %v, want ErrStopped", err)
	}
}

// Guards against a request that is lost because it arrived while the job ran, and against overlapping runs.
func TestTriggerRunsAgainWhenFiredWhileRunning(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := worker.NewPool("test", 2, 10)
		defer p.Stop()
		var running, runs atomic.Int32
		block := make(chan struct{})
		trigger := worker.NewTrigger(p, func() {
			if running.Add(1) > 1 {
				t.Error("two runs at once")
			}
			<-block
			runs.Add(1)
			running.Add(-1)
		})
		trigger.Fire()
		synctest.Wait()
		for range 5 {
			trigger.Fire()
		}
		close(block)
		synctest.Wait()
		if runs.Load() != 2 {
			t.Fatalf("%d runs, want 2", runs.Load())
		}
	})
}

// Guards against a request for a later time that postpones an earlier one.
func TestTriggerKeepsTheEarliestTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := worker.NewPool("test", 1, 10)
		defer p.Stop()
		start := time.Now()
		var at time.Duration
		trigger := worker.NewTrigger(p, func() { at = time.Since(start) })
		trigger.FireAfter(2 * time.Second)
		trigger.FireAfter(time.Second)
		trigger.FireAfter(3 * time.Second)
		<-time.After(1500 * time.Millisecond)
		synctest.Wait()
		if at != time.Second {
			t.Fatalf("ran after %v, want 1s", at)
		}
		trigger.Stop()
	})
}

// Guards against runs of a periodic job that pile up while one of them is slow.
func TestEverySkipsTicksWhileRunning(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := worker.NewPool("test", 4, 10)
		defer p.Stop()
		var runs atomic.Int32
		stop := p.Every(time.Second, func() {
			runs.Add(1)
			<-time.After(5 * time.Second)
		})
		<-time.After(14 * time.Second)
		stop()
		synctest.Wait()
		if runs.Load() != 3 {
			t.Fatalf("%d runs, want 3", runs.Load())
		}
	})
}
