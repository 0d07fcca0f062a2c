package pipeline

import "time"

// Limits bound what one connection may cost. All are positive, but MaxFields and MinBytesPerSecond may be 0, which means no
// limit.
type Limits struct {
	// MaxHeaderBytes is the largest head, and MaxFields the largest number of its fields.
	MaxHeaderBytes, MaxFields int
	// HeaderTimeout is the time from the first byte of a head to its last one. A body may take as long, and the time for
	// what has arrived of it at MinBytesPerSecond; without such a rate, a body may take until the deadline that its handler
	// has set, or else as long as a head.
	HeaderTimeout time.Duration
	// IdleTimeout is how long a connection without requests is kept.
	IdleTimeout time.Duration
	// WriteTimeout is the interval at which the progress of an answer is checked that waits for its caller, and
	// MinBytesPerSecond the rate at which the caller must have read in it; without a rate, one byte is enough. The system
	// takes bytes in large pieces from an answer that waits, so that a short interval would cut callers that read steadily.
	WriteTimeout      time.Duration
	MinBytesPerSecond int64
}

// DefaultLimits returns the limits of a server that sets none.
func DefaultLimits() Limits {
	return Limits{MaxHeaderBytes: 64 << 10, MaxFields: 4096, HeaderTimeout: 5 * time.Second, IdleTimeout: 90 * time.Second,
		WriteTimeout: 10 * time.Second, MinBytesPerSecond: 1 << 10}
}

// progresses reports whether bytes in a time are enough for the caller to be kept.
func (l Limits) progresses(bytes int64, took time.Duration) bool {
	return bytes > 0 && float64(bytes) >= float64(l.MinBytesPerSecond)*took.Seconds()
}

// timeFor returns the longest time for bytes; 0 without a rate.
func (l Limits) timeFor(bytes int64) time.Duration {
	if l.MinBytesPerSecond == 0 {
		return 0
	}
	return time.Duration(float64(bytes) / float64(l.MinBytesPerSecond) * float64(time.Second))
}
