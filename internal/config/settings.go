package config

import (
	"math"
	"time"

	"go.yaml.in/yaml/v3"

	"heatherreel/internal/keyspace"
	"heatherreel/internal/request"
)

// Settings are the resolved values for one subject.
type Settings struct {
	// HomeRegions is where a key may be served; empty allows every region.
	HomeRegions keyspace.Home
	// Deadline is given to a request that names none.
	Deadline time.Duration
	// MaxDeadline shortens a longer deadline of a caller.
	MaxDeadline time.Duration
	// MaxBody is the largest request or answer body, in bytes.
	MaxBody int64
	// IdempotentMethods are idempotent unless the caller says otherwise.
	IdempotentMethods Methods
	// Class is given to a request that names none.
	Class request.Class
	// ConcurrencyLimit is the number of requests that run on one backend server at once.
	ConcurrencyLimit uint32
	// QueueLimit is the number of requests that wait for one backend server.
	QueueLimit uint32
	// RetryRatio is the number of retries per first attempt, from 0 to 1.
	RetryRatio float64
	// Slices is the number of slices of a new group.
	Slices uint32
	// ChecksGrants tells that the backend server refuses a lower fence.
	ChecksGrants bool
	// InFlightBound is how long a request may run on after its owner's lease has expired.
	InFlightBound time.Duration
	// OutcomeRetention is how long the outcome of a non-idempotent request is kept.
	OutcomeRetention time.Duration
	// TakenOut tells that the data centre gets no new work.
	TakenOut bool
	// LostBefore is the operators' statement that all nodes of the data centre that joined before this offset are gone.
	LostBefore uint32
}

// settingID is the index of a setting in the table that Reference returns.
type settingID uint8

// Identifiers of the settings, in the order of the reference.
const (
	homeRegions settingID = iota
	deadline
	maxDeadline
	maxBody
	idempotentMethods
	class
	concurrencyLimit
	queueLimit
	retryRatio
	sliceCount
	checksGrants
	inFlightBound
	outcomeRetention
	takenOut
	lostBefore
	settingCount
)

// Bounds of the numeric settings.
const (
	minDeadline = time.Millisecond
	// maxDeadlineBound keeps a planned stop, which waits for running requests, to minutes.
	maxDeadlineBound = 5 * time.Minute
	// maxBodyBound keeps a queue of bodies within the 64 MB that a node may use.
	maxBodyBound   = 16 << 20
	maxConcurrency = 10_000
	maxQueue       = 100_000
	// maxSlices keeps one assign record, about 30 bytes a slice, under 2 MB.
	maxSlices        = 65_536
	maxInFlight      = 5 * time.Minute
	minRetention     = time.Second
	maxRetentionTime = time.Hour
)

// setting describes one setting: its place in the reference, who may select it, and its codec.
type setting struct {
	name string
	// kind is the type as the reference names it.
	kind string
	// fallback is the built-in default as it is written in a document; empty if the document must state a value.
	fallback string
	// matchedBy are the fields that an exception may match to set it.
	matchedBy fields
	// exceptionOnly forbids the setting in defaults.
	exceptionOnly bool
	meaning       string
	// decode stores the value of the node; it returns nil or what is wrong with the node.
	decode func(d *decoder, n *yaml.Node, into *Settings) *wrong
	format func(s *Settings) string
}

// codec decodes and formats the values of one type.
type codec[T any] struct {
	kind   string
	decode func(d *decoder, n *yaml.Node) (T, *wrong)
	format func(T) string
}

// describe builds the description of the setting that is kept in the field of Settings that at returns.
func describe[T any](name string, c codec[T], fallback string, by fields, at func(*Settings) *T, meaning string) setting {
	return setting{
		name: name, kind: c.kind, fallback: fallback, matchedBy: by, meaning: meaning,
		decode: func(d *decoder, n *yaml.Node, into *Settings) *wrong {
			value, w := c.decode(d, n)
			if w == nil {
				*at(into) = value
			}
			return w
		},
		format: func(s *Settings) string { return c.format(*at(s)) },
	}
}

// Fields by which settings may be matched.
const (
	byAny = byService | byTenant | byKeyPrefix | byDataCentre | byRegion
	// byKey excludes the place: all nodes must agree on the value for a key, wherever they run.
	byKey = byService | byTenant | byKeyPrefix
	// byServer selects backend servers, which serve keys of all tenants.
	byServer = byService | byDataCentre | byRegion
	byPlace  = byDataCentre | byRegion
)

// settings is the table of all settings, indexed by settingID. init fills it: its decode functions reach the
// decoder, which reads the table.
var settings [settingCount]setting

func init() {
	settings = [settingCount]setting{
		homeRegions: describe("home_regions", homeCodec, "", byKey,
			func(s *Settings) *keyspace.Home { return &s.HomeRegions },
			"Regions where a key may be served, sent and kept; `any` for all. A missing value would let records leave their region, so it must be stated."),
		deadline: describe("deadline", durationCodec(minDeadline, maxDeadlineBound), "1s", byAny,
			func(s *Settings) *time.Duration { return &s.Deadline },
			"Deadline of a request whose caller names none. At most `max_deadline`."),
		maxDeadline: describe("max_deadline", durationCodec(minDeadline, maxDeadlineBound), "10s", byAny,
			func(s *Settings) *time.Duration { return &s.MaxDeadline },
			"Longest deadline; a longer one that a caller names is shortened to it. At most `outcome_retention`, so that a caller can repeat a request until its deadline."),
		maxBody: describe("max_body", sizeCodec(maxBodyBound), "1MiB", byAny,
			func(s *Settings) *int64 { return &s.MaxBody },
			"Largest body of a request or an answer."),
		idempotentMethods: describe("idempotent_methods", methodsCodec, "[GET, HEAD]", byKey,
			func(s *Settings) *Methods { return &s.IdempotentMethods },
			"Methods whose requests may be repeated when the caller does not say. `none` for no method."),
		class: describe("class", classCodec, "interactive", byAny,
			func(s *Settings) *request.Class { return &s.Class },
			"Class of a request whose caller names none: `interactive`, `lookup` or `background`."),
		concurrencyLimit: describe("concurrency_limit", countCodec(1, maxConcurrency), "4", byServer,
			func(s *Settings) *uint32 { return &s.ConcurrencyLimit },
			"Requests that run on one backend server at once. Keep it below the slots that the backend server announces."),
		queueLimit: describe("queue_limit", countCodec(0, maxQueue), "32", byServer,
			func(s *Settings) *uint32 { return &s.QueueLimit },
			"Requests that wait for one backend server; more are refused."),
		retryRatio: describe("retry_ratio", ratioCodec, "0.1", byAny,
			func(s *Settings) *float64 { return &s.RetryRatio },
			"Retries per first attempt that a node may send."),
		sliceCount: describe("slices", countCodec(1, maxSlices), "256", byService,
			func(s *Settings) *uint32 { return &s.Slices },
			"Slices of a new group. It cannot change for a service that has assignments."),
		checksGrants: describe("checks_grants", boolCodec, "false", byServer,
			func(s *Settings) *bool { return &s.ChecksGrants },
			"Whether the backend server refuses a lower fence. If not, a new owner waits `in_flight_bound` after a loss."),
		inFlightBound: describe("in_flight_bound", durationCodec(0, maxInFlight), "1s", byServer,
			func(s *Settings) *time.Duration { return &s.InFlightBound },
			"How long a request may run on at the backend server after the lease of its owner has expired."),
		outcomeRetention: describe("outcome_retention", durationCodec(minRetention, maxRetentionTime), "1m", byKey,
			func(s *Settings) *time.Duration { return &s.OutcomeRetention },
			"How long the outcome of a non-idempotent request is kept for its repetition."),
		takenOut: describe("taken_out", boolCodec, "false", byPlace,
			func(s *Settings) *bool { return &s.TakenOut },
			"Whether the data centre gets no new work. Only an exception may set it."),
		lostBefore: describe("lost_before", countCodec(0, math.MaxUint32), "0", byPlace,
			func(s *Settings) *uint32 { return &s.LostBefore },
			"States that all nodes of the data centre that joined before this log offset are gone, so that their slices get new owners without the promises of their witnesses. For a loss that took the witnesses too, such as a restart of everything at once. Only an exception may set it."),
	}
	settings[takenOut].exceptionOnly = true
	settings[lostBefore].exceptionOnly = true
	builtIn = builtInDefaults()
}

// builtIn holds the built-in defaults.
var builtIn Settings

// builtInDefaults decodes the fallback of each setting.
func builtInDefaults() Settings {
	var s Settings
	for i := range settings {
		if settings[i].fallback == "" {
			continue
		}
		var document yaml.Node
		if err := yaml.Unmarshal([]byte(settings[i].fallback), &document); err != nil {
			panic(err)
		}
		if w := settings[i].decode(&decoder{}, document.Content[0], &s); w != nil {
			panic(settings[i].name + ": " + w.detail)
		}
	}
	return s
}

// SettingNames returns the names of all settings in the order of the reference.
func SettingNames() []string {
	names := make([]string, 0, settingCount)
	for i := range settings {
		names = append(names, settings[i].name)
	}
	return names
}

// copySetting copies one setting. A switch in place of a function in the table keeps both values on the stack, so that
// resolution allocates nothing.
func copySetting(id settingID, to, from *Settings) {
	switch id {
	case homeRegions:
		to.HomeRegions = from.HomeRegions
	case deadline:
		to.Deadline = from.Deadline
	case maxDeadline:
		to.MaxDeadline = from.MaxDeadline
	case maxBody:
		to.MaxBody = from.MaxBody
	case idempotentMethods:
		to.IdempotentMethods = from.IdempotentMethods
	case class:
		to.Class = from.Class
	case concurrencyLimit:
		to.ConcurrencyLimit = from.ConcurrencyLimit
	case queueLimit:
		to.QueueLimit = from.QueueLimit
	case retryRatio:
		to.RetryRatio = from.RetryRatio
	case sliceCount:
		to.Slices = from.Slices
	case checksGrants:
		to.ChecksGrants = from.ChecksGrants
	case inFlightBound:
		to.InFlightBound = from.InFlightBound
	case outcomeRetention:
		to.OutcomeRetention = from.OutcomeRetention
	case takenOut:
		to.TakenOut = from.TakenOut
	case lostBefore:
		to.LostBefore = from.LostBefore
	}
}

// settingByName returns the setting with the name.
func settingByName(name string) (settingID, bool) {
	for i := range settings {
		if settings[i].name == name {
			return settingID(i), true
		}
	}
	return 0, false
}

// SettingReference is one row of the reference of settings.
type SettingReference struct {
	Name string
	Type string
	// Default is the built-in default as it is written in a document, or "required".
	Default string
	// MatchedBy are the match fields that an exception may use to set it, comma-separated.
	MatchedBy string
	Meaning   string
}

// Reference returns the description of every setting.
func Reference() []SettingReference {
	rows := make([]SettingReference, 0, settingCount)
	for i := range settings {
		s := &settings[i]
		fallback := s.fallback
		if fallback == "" {
			fallback = "required"
		}
		rows = append(rows, SettingReference{
			Name: s.name, Type: s.kind, Default: fallback, MatchedBy: s.matchedBy.String(), Meaning: s.meaning,
		})
	}
	return rows
}
