// Package contention estimates from the work figures of a backend server whether its machine is temporarily slowed
// down, for example by other programs on it. A work figure is a sample that the backend server reports: the service
// time of requests that start now, relative to the usual one of the service.
//
// It handles one load pattern: a machine that takes several times as long for a few hundred milliseconds, and then is
// as fast as before. Work that starts during that time stays slow to its end, so it is better to start it a little
// later. If figures stay high, they soon count as the usual speed of the machine. The package does no I/O and reads no
// clock.
package contention

import "time"

const (
	// bucketCount times bucketTime is the time after which a persistent figure counts as usual: about four times the
	// few hundred milliseconds for which other programs slow a machine down.
	bucketCount = 8
	bucketTime  = 200 * time.Millisecond
	// sampleValidity is how long a figure counts as current. It is shorter than a slowdown lasts.
	sampleValidity = 300 * time.Millisecond
)

// Monitor keeps the work figures of one backend server. The zero value is empty and ready to use. It is not safe for
// concurrent use.
type Monitor struct {
	// bucketMinimum holds the lowest figure of each of the last buckets, as a ring; zero for a bucket without figures.
	bucketMinimum [bucketCount]float64
	// bucket is the number of the newest bucket, counted from the Unix epoch.
	bucket   int64
	newest   float64
	newestAt time.Time
	// minimum is the lowest of all figures, and samples their number.
	minimum float64
	samples int
}

// Observe adds a figure. The scale does not matter if it is the same for all figures of a Monitor. Figures that are not
// positive are ignored.
func (m *Monitor) Observe(now time.Time, figure float64) {
	if figure <= 0 {
		return
	}
	m.advance(now)
	m.newest, m.newestAt = figure, now
	m.samples++
	if m.minimum == 0 || figure < m.minimum {
		m.minimum = figure
	}
	b := &m.bucketMinimum[m.bucket%bucketCount]
	if *b == 0 || figure < *b {
		*b = figure
	}
}

// advance clears the buckets that are outdated at now.
func (m *Monitor) advance(now time.Time) {
	bucket := now.UnixNano() / int64(bucketTime)
	for n := max(m.bucket+1, bucket-bucketCount+1); n <= bucket; n++ {
		m.bucketMinimum[n%bucketCount] = 0
	}
	m.bucket = max(m.bucket, bucket)
}

// Slowdown returns the ratio of the newest figure to the usual one, which is the lowest in the buckets; 1 if no current
// figure is known.
func (m *Monitor) Slowdown(now time.Time) float64 {
	if !m.Fresh(now) {
		return 1
	}
	usual := m.newest
	for _, f := range m.bucketMinimum {
		if f > 0 && f < usual {
			usual = f
		}
	}
	return m.newest / usual
}

// Fresh reports whether a current figure is known.
func (m *Monitor) Fresh(now time.Time) bool { return m.Age(now) < sampleValidity }

// SampleCount returns the number of figures.
func (m *Monitor) SampleCount() int { return m.samples }

// HasSamples reports whether the backend server has ever reported a figure.
func (m *Monitor) HasSamples() bool { return m.samples > 0 }

// Age returns the age of the newest figure.
func (m *Monitor) Age(now time.Time) time.Duration { return now.Sub(m.newestAt) }

// Minimum returns the lowest figure so far, which stands for work while nothing slows the machine down; 0 without
// figures.
func (m *Monitor) Minimum() float64 { return m.minimum }
