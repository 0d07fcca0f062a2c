package eventlog

import (
	"io"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/time/rate"
)

// timeFormat is RFC 3339 in UTC with milliseconds, which sorts as text.
const timeFormat = "2006-01-02T15:04:05.000Z"

// Node names the writer of the events on each line.
type Node struct {
	Instance   string
	DataCentre string
	Region     string
}

// Logger writes events. It is safe for concurrent use. The zero value is not usable; see New and Discard.
type Logger struct {
	out zerolog.Logger
	// limits holds an entry for each event with a limit. The map does not change after New.
	limits map[*Event]*limit
}

// limit is the rate limit of one event.
type limit struct {
	limiter    *rate.Limiter
	suppressed atomic.Int64
}

// New returns a logger that writes events of at least level as JSON lines to out. Each event is one Write; out must
// accept concurrent writes, as os.Stderr does.
func New(out io.Writer, level zerolog.Level, node Node) *Logger {
	base := zerolog.New(out).Level(level).With().
		Str("instance_name", node.Instance).
		Str("data_centre", node.DataCentre).
		Str("region", node.Region).
		Logger()
	l := &Logger{out: base, limits: map[*Event]*limit{}}
	for _, e := range catalogue {
		if e.PerSecond > 0 {
			l.limits[e] = &limit{limiter: rate.NewLimiter(rate.Limit(e.PerSecond), e.PerSecond)}
		}
	}
	return l
}

// Discard returns a logger that writes nothing.
func Discard() *Logger { return New(io.Discard, zerolog.Disabled, Node{}) }

// Emit writes the event with its fields, unless its level is off or its rate limit is reached. The first event after
// a suppression states how many were left out in the field "suppressed".
func (l *Logger) Emit(e *Event, fields ...Field) {
	if e.Level < l.out.GetLevel() {
		return
	}
	bound := l.limits[e]
	if bound != nil && !bound.limiter.Allow() {
		bound.suppressed.Add(1)
		return
	}
	line := l.out.WithLevel(e.Level)
	if bound != nil {
		if n := bound.suppressed.Swap(0); n > 0 {
			line.Int64("suppressed", n)
		}
	}
	l.write(line, e, fields)
}

// Flush writes an EventsSuppressed event for each kind of event with a number left out since its last line. The
// owner calls it at intervals and before the end of the process.
func (l *Logger) Flush() {
	for _, e := range catalogue {
		bound := l.limits[e]
		if bound == nil {
			continue
		}
		if n := bound.suppressed.Swap(0); n > 0 {
			l.Emit(EventsSuppressed, Count("suppressed", int(n)), Count("suppressed_event", e.Number))
		}
	}
}

// write completes and sends one line.
func (l *Logger) write(line *zerolog.Event, e *Event, fields []Field) {
	line.Str("time", time.Now().UTC().Format(timeFormat)).Int("event", e.Number).Str("name", e.Name)
	for i := range fields {
		fields[i].write(line)
	}
	if e.Remedy != "" {
		line.Str("remedy", e.Remedy)
	}
	line.Msg(e.Text)
}
