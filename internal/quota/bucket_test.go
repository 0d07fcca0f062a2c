package quota

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"heatherreel/internal/keyrange"
)

// Guards against tokens that are returned and add to what a bucket admits in a window, whenever they come back, and against a
// token that is lost although the bucket had room for it all the time.
func TestReturnedTokensAddToNoWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		capacity := rapid.SampledFrom([]float64{1, 1.5, 3, 40, 500}).Draw(t, "capacity")
		rate := rapid.SampledFrom([]float64{0, 0.3, 2, 50}).Draw(t, "rate")
		b := bucket{rate: rate, capacity: capacity, level: capacity * rapid.Float64Range(0, 1).Draw(t, "level")}
		now := keyrange.Instant(0)
		var held []uint64
		var ran []keyrange.Instant
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				now = now.Add(time.Duration(rapid.IntRange(0, 1500).Draw(t, "ms")) * time.Millisecond)
			case 1:
				runs := rapid.Bool().Draw(t, "runs")
				for range rapid.IntRange(1, 60).Draw(t, "takes") {
					if !b.take(now) {
						break
					}
					if runs {
						ran = append(ran, now)
					} else {
						held = append(held, b.taken)
					}
				}
			case 2:
				for range rapid.IntRange(0, len(held)).Draw(t, "returns") {
					i := rapid.IntRange(0, len(held)-1).Draw(t, "returned")
					b.giveBack(held[i], now)
					held = append(held[:i], held[i+1:]...)
				}
			default:
				before := b.level
				if b.refill(now); b.take(now) {
					b.giveBack(b.taken, now)
					if b.level < before {
						t.Fatalf("the level was %v, and %v after a token came back at once", before, b.level)
					}
				}
			}
			if len(b.peaks) > maxPeaks || b.level > capacity {
				t.Fatalf("%d peaks, level %v of %v", len(b.peaks), b.level, capacity)
			}
		}
		for first := range ran {
			for last := first; last < len(ran); last++ {
				if n, most := float64(last-first+1), capacity+rate*ran[last].Sub(ran[first]).Seconds(); n > most+1e-6 {
					t.Fatalf("%v requests ran from %v to %v, %v allowed", n, ran[first], ran[last], most)
				}
			}
		}
	})
}
