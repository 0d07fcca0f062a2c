// Package contention judges from the load figures of a backend server whether its machine is slowed at the moment, for
// example by other programs on it.
//
// It answers one load pattern: a machine that takes several times as long for some hundred milliseconds, and then is as
// fast as before. Work that starts meanwhile stays slow to its end, so that it pays to start it a little later. A figure
// that stays high is the usual speed of the machine after a short time. The package does no I/O and reads no clock.
package contention

import "time"

const (
	// buckets of bucketTime make up the time after which a figure counts as usual: about four times the few hundred
	// milliseconds for which other programs slow a machine.
	buckets    = 8
	bucketTime = 200 * time.Millisecond
	// sampleLife is how long a figure says something of the present. It is below the time for which a slow spell lasts.
	sampleLife = 300 * time.Millisecond
)

// Monitor keeps the figures of one backend server. The zero value knows nothing. It is not safe for concurrent use.
type Monitor struct {
	// lowest are the lowest figures of the last buckets; zero where none was seen.
	lowest [buckets]float64
	// number is the bucket of the newest figure, counted from the epoch.
	number   int64
	newest   float64
	newestAt time.Time
	// best is the lowest of all figures, and samples their number.
	best    float64
	samples int
}

// Observe takes a figure: how long work takes that starts now, on any scale that stays the same. Figures that are not
// positive are ignored.
func (m *Monitor) Observe(now time.Time, figure float64) {
	if figure <= 0 {
		return
	}
	m.advance(now)
	m.newest, m.newestAt = figure, now
	m.samples++
	if m.best == 0 || figure < m.best {
		m.best = figure
	}
	b := &m.lowest[m.number%buckets]
	if *b == 0 || figure < *b {
		*b = figure
	}
}

// advance forgets the buckets that are over.
func (m *Monitor) advance(now time.Time) {
	number := now.UnixNano() / int64(bucketTime)
	for n := max(m.number+1, number-buckets+1); n <= number; n++ {
		m.lowest[n%buckets] = 0
	}
	m.number = max(m.number, number)
}

// Slowdown returns how many times as long as usual work takes that starts now; 1 if nothing recent is known.
func (m *Monitor) Slowdown(now time.Time) float64 {
	if !m.Fresh(now) {
		return 1
	}
	usual := m.newest
	for _, f := range m.lowest {
		if f > 0 && f < usual {
			usual = f
		}
	}
	return m.newest / usual
}

// Fresh reports whether a recent figure is known.
func (m *Monitor) Fresh(now time.Time) bool { return m.Age(now) < sampleLife }

// Samples returns the number of figures that were told.
func (m *Monitor) Samples() int { return m.samples }

// Seen reports whether the backend server has ever told a figure.
func (m *Monitor) Seen() bool { return m.samples > 0 }

// Age returns the age of the newest figure.
func (m *Monitor) Age(now time.Time) time.Duration { return now.Sub(m.newestAt) }

// Best returns the lowest figure of all: how long work takes while nothing slows the machine. It is 0 before the first.
func (m *Monitor) Best() float64 { return m.best }
