package quota

import (
	"slices"
	"time"

	"heatherreel/internal/keyrange"
)

// bucket is a token bucket to which tokens can be returned.
type bucket struct {
	rate, capacity, level float64
	at                    keyrange.Instant
	// taken is the number of the last token that was taken.
	taken uint64
	// peaks are the levels just before tokens were taken, as they would have been without the tokens that were returned
	// since. A peak that is not above a later one is left out, so that their levels fall.
	peaks []peak
}

// peak is a level that a bucket had after the token with the number taken was taken, and before the next one.
type peak struct {
	taken uint64
	level float64
}

// maxPeaks bounds the peaks of a bucket. Beyond it, two are merged into one that is not lower than either: fewer tokens
// can then be returned, by the difference of the two levels at most.
const maxPeaks = 32

func (b *bucket) refill(now keyrange.Instant) {
	if now <= b.at {
		return
	}
	b.level = min(b.level+b.rate*now.Sub(b.at).Seconds(), b.capacity)
	b.at = now
}

// set changes the rate and the capacity from now on.
func (b *bucket) set(rate, capacity float64, now keyrange.Instant) {
	b.refill(now)
	b.rate, b.capacity = rate, capacity
	if b.level > capacity {
		b.addPeak()
		b.level = capacity
	}
}

func (b *bucket) take(now keyrange.Instant) bool {
	b.refill(now)
	if b.level < 1 {
		return false
	}
	b.addPeak()
	b.taken++
	b.level--
	return true
}

// addPeak adds the present level as the latest peak.
func (b *bucket) addPeak() {
	for len(b.peaks) > 0 && b.peaks[len(b.peaks)-1].level <= b.level {
		b.peaks = b.peaks[:len(b.peaks)-1]
	}
	b.peaks = append(b.peaks, peak{b.taken, b.level})
	if len(b.peaks) <= maxPeaks {
		return
	}
	closest := 0
	for i := range b.peaks[:len(b.peaks)-1] {
		if b.peaks[i].level-b.peaks[i+1].level < b.peaks[closest].level-b.peaks[closest+1].level {
			closest = i
		}
	}
	b.peaks[closest].taken = b.peaks[closest+1].taken
	b.peaks = slices.Delete(b.peaks, closest+1, closest+2)
}

// giveBack returns the token with the number token, as far as the bucket would have had room for it all the time since. With a
// bucket that never holds more than its capacity, also if returned tokens count as never taken, the requests that run in a
// window are bounded as if the others had not come. Otherwise tokens that were taken before a window would add to it.
func (b *bucket) giveBack(token uint64, now keyrange.Instant) {
	b.refill(now)
	first, _ := slices.BinarySearchFunc(b.peaks, token, func(p peak, n uint64) int {
		if p.taken < n {
			return -1
		}
		return 1
	})
	highest := b.level
	if first < len(b.peaks) {
		highest = max(highest, b.peaks[first].level)
	}
	returned := min(1, b.capacity-highest)
	if returned <= 0 {
		return
	}
	b.level += returned
	for i := range b.peaks[first:] {
		b.peaks[first+i].level += returned
	}
	if first < len(b.peaks) {
		kept := slices.IndexFunc(b.peaks[:first], func(p peak) bool { return p.level <= b.peaks[first].level })
		if kept >= 0 {
			b.peaks = slices.Delete(b.peaks, kept, first)
		}
	}
}

// wait returns the time until the bucket has a token.
func (b *bucket) wait(now keyrange.Instant) time.Duration {
	b.refill(now)
	if b.level >= 1 {
		return 0
	}
	if b.rate <= 0 {
		return maxRetryAfter
	}
	return time.Duration(min((1-b.level)/b.rate, maxRetryAfter.Seconds()) * float64(time.Second))
}
