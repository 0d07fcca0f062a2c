package main

import (
	"runtime"
	"slices"
	"syscall"
	"time"
)

// cost is what one call takes.
type cost struct {
	time   time.Duration
	allocs float64
	bytes  float64
}

const (
	// costRounds is the number of rounds of which the median counts, since other work on the machine only adds time.
	costRounds = 5
	// roundTime is the length of one round.
	roundTime = 15 * time.Millisecond
)

// costOf measures f. It runs f at least once in each round.
func costOf(f func()) cost {
	f()
	calls := callsIn(roundTime, f)
	rounds := make([]cost, 0, costRounds)
	for range costRounds {
		rounds = append(rounds, measureRound(calls, f))
	}
	slices.SortFunc(rounds, func(a, b cost) int { return int(a.time - b.time) })
	return rounds[costRounds/2]
}

// callsIn returns how many calls of f fit in a time.
func callsIn(limit time.Duration, f func()) int {
	calls := 1
	for {
		began := time.Now()
		for range calls {
			f()
		}
		took := time.Since(began)
		if took >= limit/4 {
			return max(1, int(float64(calls)*float64(limit)/float64(took)))
		}
		calls *= 4
	}
}

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

// heapOf returns the bytes that stay allocated after build.
func heapOf[T any](build func() T) (T, float64) {
	before := heap()
	built := build()
	after := heap()
	runtime.KeepAlive(built)
	return built, float64(after) - float64(before)
}

// heap returns the live bytes.
func heap() uint64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// ownProcessorTime returns the user and system time of this process.
func ownProcessorTime() time.Duration {
	var usage syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &usage) != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
