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

// Node identifies the node that writes the events; each line carries it.
type Node struct {
	Instance   string
	DataCentre string
	Region     string
}

// Logger writes events. It is safe for concurrent use. Create it with New or Discard; the zero value is not usable.
type Logger struct {
	out zerolog.Logger
	// limits holds the rate limit of each event that has one. The map does not change after New.
	limits map[*Event]*rateLimit
}

// rateLimit limits one event and counts the lines that it suppressed since the last one written.
type rateLimit struct {
	limiter    *rate.Limiter
	suppressed atomic.Int64
}

// New returns a logger that writes events of the level or above as JSON lines to out. Each event is one Write call; out
// must accept concurrent calls, as os.Stderr does.
func New(out io.Writer, level zerolog.Level, node Node) *Logger {
	base := zerolog.New(out).Level(level).With().
		Str("instance_name", node.Instance).
		Str("data_centre", node.DataCentre).
		Str("region", node.Region).
		Logger()
	l := &Logger{out: base, limits: map[*Event]*rateLimit{}}
	for _, e := range catalogue {
		if e.PerSecond > 0 {
			l.limits[e] = &rateLimit{limiter: rate.NewLimiter(rate.Limit(e.PerSecond), e.PerSecond)}
		}
	}
	return l
}

// Discard returns a logger that writes nothing.
func Discard() *Logger { return New(io.Discard, zerolog.Disabled, Node{}) }

// Emit writes the event with its fields, unless its level is disabled or its rate limit is exceeded. The first event
// written after a suppression carries the number of suppressed events in the field "suppressed".
func (l *Logger) Emit(e *Event, fields ...Field) {
	if e.Level < l.out.GetLevel() {
		return
	}
	limit := l.limits[e]
	if limit != nil && !limit.limiter.Allow() {
		limit.suppressed.Add(1)
		return
	}
	line := l.out.WithLevel(e.Level)
	if limit != nil {
		if n := limit.suppressed.Swap(0); n > 0 {
			line.Int64("suppressed", n)
		}
	}
	l.write(line, e, fields)
}

// Flush writes an EventsSuppressed event for each event that was suppressed since its last line. The owner of the
// logger calls it at intervals and before the process exits.
func (l *Logger) Flush() {
	for _, e := range catalogue {
		limit := l.limits[e]
		if limit == nil {
			continue
		}
		if n := limit.suppressed.Swap(0); n > 0 {
			l.Emit(EventsSuppressed, Count("suppressed", int(n)), Count("suppressed_event", e.Number))
		}
	}
}

// write adds the time, the event and the fields to the line, and writes it.
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
