package main

import (
	"runtime"
	"slices"
	"syscall"
	"time"
)

// cost is the time, the number of allocations and the allocated bytes of one call.
type cost struct {
	time   time.Duration
	allocs float64
	bytes  float64
}

const (
	// costRounds is the number of rounds. The result is the median round, since other load on the machine only adds
	// time.
	costRounds = 5
	// roundDuration is the approximate duration of one round.
	roundDuration = 15 * time.Millisecond
)

// measureCost returns the cost of a call of f. It calls f at least once in each round.
func measureCost(f func()) cost {
	f()
	calls := callsPerRound(roundDuration, f)
	rounds := make([]cost, 0, costRounds)
	for range costRounds {
		rounds = append(rounds, measureRound(calls, f))
	}
	slices.SortFunc(rounds, func(a, b cost) int { return int(a.time - b.time) })
	return rounds[costRounds/2]
}

// callsPerRound estimates how many calls of f take the given duration.
func callsPerRound(duration time.Duration, f func()) int {
	calls := 1
	for {
		began := time.Now()
		for range calls {
			f()
		}
		took := time.Since(began)
		if took >= duration/4 {
			return max(1, int(float64(calls)*float64(duration)/float64(took)))
		}
		calls *= 4
	}
}

// measureRound returns the mean cost over a number of calls of f.
func measureRound(calls int, f func()) cost {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	began := time.Now()
	for range calls {
		f()
	}
	took := time.Since(began)
	runtime.ReadMemStats(&after)
	n := float64(calls)
	return cost{
		time:   took / time.Duration(calls),
		allocs: float64(after.Mallocs-before.Mallocs) / n,
		bytes:  float64(after.TotalAlloc-before.TotalAlloc) / n,
	}
}

// measureHeap returns the result of build and the heap bytes that stay allocated with it.
func measureHeap[T any](build func() T) (T, float64) {
	before := liveHeap()
	built := build()
	after := liveHeap()
	runtime.KeepAlive(built)
	return built, float64(after) - float64(before)
}

// liveHeap returns the bytes of live heap objects after a garbage collection.
func liveHeap() uint64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// ownCPUTime returns the user and system CPU time of this process, or 0 if the kernel does not report it.
func ownCPUTime() time.Duration {
	var usage syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &usage) != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
