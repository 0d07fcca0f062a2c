package config

import (
	"math"
	"time"

	"go.yaml.in/yaml/v3"

	"heatherreel/internal/keyspace"
	"heatherreel/internal/request"
)

// Settings are the values of all settings, resolved for one subject.
type Settings struct {
	// HomeRegions are the regions where a key may be served; empty allows every region.
	HomeRegions keyspace.Home
	// Deadline is the deadline of a request that specifies none.
	Deadline time.Duration
	// MaxDeadline is the maximum deadline; a longer one from a caller is shortened to it.
	MaxDeadline time.Duration
	// MaxBody is the maximum size of a request or response body in bytes.
	MaxBody int64
	// IdempotentMethods are the methods that are idempotent unless the caller says otherwise.
	IdempotentMethods Methods
	// Class is the class of a request that specifies none.
	Class request.Class
	// ConcurrencyLimit is the maximum number of concurrent requests on one backend server.
	ConcurrencyLimit uint32
	// QueueLimit is the maximum number of requests that wait for one backend server.
	QueueLimit uint32
	// RetryRatio is the maximum number of retries per first attempt, from 0 to 1.
	RetryRatio float64
	// Slices is the number of slices of a new group.
	Slices uint32
	// ChecksGrants is true if the backend server rejects requests with an outdated fence.
	ChecksGrants bool
	// InFlightBound is how long a request may continue to run on the backend server after the lease of its owner has
	// expired.
	InFlightBound time.Duration
	// OutcomeRetention is how long the outcome of a non-idempotent request is retained.
	OutcomeRetention time.Duration
	// TakenOut is true if the data centre gets no new work.
	TakenOut bool
	// LostBefore is a log offset: operators have declared all nodes of the data centre lost that joined before it.
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

// Limits of the numeric settings.
const (
	minDeadline = time.Millisecond
	// maxDeadlineBound keeps a graceful shutdown, which waits for running requests, to a few minutes.
	maxDeadlineBound = 5 * time.Minute
	// maxBodyBound keeps queued request bodies within the 64 MB of memory that a node may use.
	maxBodyBound = 16 << 20
	// maxConcurrencyLimit and maxQueueLimit are numbers of requests.
	maxConcurrencyLimit = 10_000
	maxQueueLimit       = 100_000
	// maxSlices keeps one assign record, which takes about 30 bytes per slice, under 2 MB. It must not exceed
	// ledger.MaxSlices.
	maxSlices           = 65_536
	maxInFlightBound    = 5 * time.Minute
	minOutcomeRetention = time.Second
	maxOutcomeRetention = time.Hour
)

// setting describes one setting: its row in the reference, the match fields that it may depend on, and its codec.
type setting struct {
	name string
	// typeName is the name of the type in the reference.
	typeName string
	// defaultText is the built-in default in document syntax; empty if the document must set a value.
	defaultText string
	// matchedBy are the match fields that an exception may use to set it.
	matchedBy matchFields
	// exceptionOnly is true if defaults must not set it.
	exceptionOnly bool
	description   string
	// decode stores the value of the node in target; it returns nil or the fault of the node.
	decode func(d *decoder, n *yaml.Node, target *Settings) *valueFault
	format func(s *Settings) string
}

// codec decodes and formats the values of one type.
type codec[T any] struct {
	typeName string
	decode   func(d *decoder, n *yaml.Node) (T, *valueFault)
	format   func(T) string
}

// newSetting returns the description of a setting whose value is the field of Settings that fieldOf returns.
func newSetting[T any](
	name string, c codec[T], defaultText string, matchedBy matchFields, fieldOf func(*Settings) *T, description string,
) setting {
	return setting{
		name: name, typeName: c.typeName, defaultText: defaultText, matchedBy: matchedBy, description: description,
		decode: func(d *decoder, n *yaml.Node, target *Settings) *valueFault {
			value, fault := c.decode(d, n)
			if fault == nil {
				*fieldOf(target) = value
			}
			return fault
		},
		format: func(s *Settings) string { return c.format(*fieldOf(s)) },
	}
}

// Sets of match fields that exceptions may use for a setting.
const (
	byAny = byService | byTenant | byKeyPrefix | byDataCentre | byRegion
	// byKey excludes the location, because all nodes must use the same value for a key, wherever they run.
	byKey = byService | byTenant | byKeyPrefix
	// byBackendServer excludes tenants and key prefixes, because a backend server serves keys of all tenants.
	byBackendServer = byService | byDataCentre | byRegion
	byLocation      = byDataCentre | byRegion
)

// settings is the table of all settings, indexed by settingID. It is filled by init to avoid an initialization cycle:
// its decode functions refer to the decoder, which reads the table.
var settings [settingCount]setting

func init() {
	settings = [settingCount]setting{
		homeRegions: newSetting("home_regions", homeCodec, "", byKey,
			func(s *Settings) *keyspace.Home { return &s.HomeRegions },
			"Regions where a key may be served and its data sent and kept; `any` for all. It must be stated, because a missing value would let records leave their region."),
		deadline: newSetting("deadline", durationCodec(minDeadline, maxDeadlineBound), "1s", byAny,
			func(s *Settings) *time.Duration { return &s.Deadline },
			"Deadline of a request whose caller names none. At most `max_deadline`."),
		maxDeadline: newSetting("max_deadline", durationCodec(minDeadline, maxDeadlineBound), "10s", byAny,
			func(s *Settings) *time.Duration { return &s.MaxDeadline },
			"Maximum deadline; a longer one that a caller names is shortened to it. At most `outcome_retention`, so that a caller can repeat a request until its deadline."),
		maxBody: newSetting("max_body", sizeCodec(maxBodyBound), "1MiB", byAny,
			func(s *Settings) *int64 { return &s.MaxBody },
			"Maximum size of a request or response body."),
		idempotentMethods: newSetting("idempotent_methods", methodsCodec, "[GET, HEAD]", byKey,
			func(s *Settings) *Methods { return &s.IdempotentMethods },
			"HTTP methods that are idempotent unless the caller says otherwise; `none` for no method."),
		class: newSetting("class", classCodec, "interactive", byAny,
			func(s *Settings) *request.Class { return &s.Class },
			"Class of a request whose caller names none: `interactive`, `lookup` or `background`."),
		concurrencyLimit: newSetting("concurrency_limit", countCodec(1, maxConcurrencyLimit), "4", byBackendServer,
			func(s *Settings) *uint32 { return &s.ConcurrencyLimit },
			"Requests that run on one backend server at once. Keep it below the slots that the backend server announces."),
		queueLimit: newSetting("queue_limit", countCodec(0, maxQueueLimit), "32", byBackendServer,
			func(s *Settings) *uint32 { return &s.QueueLimit },
			"Requests that wait for one backend server; more are refused."),
		retryRatio: newSetting("retry_ratio", ratioCodec, "0.1", byAny,
			func(s *Settings) *float64 { return &s.RetryRatio },
			"Retries per first attempt that a node may send."),
		sliceCount: newSetting("slices", countCodec(1, maxSlices), "256", byService,
			func(s *Settings) *uint32 { return &s.Slices },
			"Slices of a new group. It cannot change for a service that has assignments."),
		checksGrants: newSetting("checks_grants", boolCodec, "false", byBackendServer,
			func(s *Settings) *bool { return &s.ChecksGrants },
			"Whether the backend server rejects requests with an outdated fence. If not, a new owner waits for `in_flight_bound` after the loss of the previous owner."),
		inFlightBound: newSetting("in_flight_bound", durationCodec(0, maxInFlightBound), "1s", byBackendServer,
			func(s *Settings) *time.Duration { return &s.InFlightBound },
			"How long a request may continue to run on the backend server after the lease of its owner has expired."),
		outcomeRetention: newSetting("outcome_retention", durationCodec(minOutcomeRetention, maxOutcomeRetention), "1m", byKey,
			func(s *Settings) *time.Duration { return &s.OutcomeRetention },
			"How long the outcome of a non-idempotent request is kept for retries of the request."),
		takenOut: newSetting("taken_out", boolCodec, "false", byLocation,
			func(s *Settings) *bool { return &s.TakenOut },
			"Whether the data centre gets no new work. Only an exception may set it."),
		lostBefore: newSetting("lost_before", countCodec(0, math.MaxUint32), "0", byLocation,
			func(s *Settings) *uint32 { return &s.LostBefore },
			"Declares that all nodes of the data centre that joined before this log offset are gone, so that their slices get new owners without the promises of their witnesses. For a loss that took the witnesses too, such as a simultaneous restart of all nodes. Only an exception may set it."),
	}
	settings[takenOut].exceptionOnly = true
	settings[lostBefore].exceptionOnly = true
	builtInSettings = decodeBuiltInDefaults()
}

// builtInSettings are the built-in defaults.
var builtInSettings Settings

// decodeBuiltInDefaults decodes the built-in default of each setting.
func decodeBuiltInDefaults() Settings {
	var s Settings
	for i := range settings {
		if settings[i].defaultText == "" {
			continue
		}
		var document yaml.Node
		if err := yaml.Unmarshal([]byte(settings[i].defaultText), &document); err != nil {
			panic(err)
		}
		if fault := settings[i].decode(&decoder{}, document.Content[0], &s); fault != nil {
			panic(settings[i].name + ": " + fault.detail)
		}
	}
	return s
}

// SettingNames returns the names of all settings in the order of Reference.
func SettingNames() []string {
	names := make([]string, 0, settingCount)
	for i := range settings {
		names = append(names, settings[i].name)
	}
	return names
}

// copySetting copies one setting. It is a switch, not a function in the table of settings, so that both values stay on
// the stack and resolution does not allocate.
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
	// Default is the built-in default in document syntax, or "required".
	Default string
	// MatchedBy are the match fields that an exception may use to set it, comma-separated.
	MatchedBy   string
	Description string
}

// Reference returns one row for every setting, ordered by settingID.
func Reference() []SettingReference {
	rows := make([]SettingReference, 0, settingCount)
	for i := range settings {
		s := &settings[i]
		defaultText := s.defaultText
		if defaultText == "" {
			defaultText = "required"
		}
		rows = append(rows, SettingReference{
			Name: s.name, Type: s.typeName, Default: defaultText, MatchedBy: s.matchedBy.String(), Description: s.description,
		})
	}
	return rows
}
