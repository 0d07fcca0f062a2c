package config

import (
	"math/bits"
	"time"
)

// Resolve returns the settings for the subject. It does not allocate.
func (c *Configuration) Resolve(s Subject) Settings {
	if s.Region == "" && s.DataCentre != "" {
		s.Region = c.regionOf[s.DataCentre]
	}
	out := c.defaults
	for _, e := range c.candidates(s.Service) {
		if e.Match.matches(&s) {
			e.applyTo(&out)
		}
	}
	return out
}

// candidates returns the exceptions that can match the service, a more specific one after a less specific one.
func (c *Configuration) candidates(service string) []*Exception {
	if list, ok := c.candidatesByService[service]; ok {
		return list
	}
	return c.generalCandidates
}

// applyTo stores the values that e sets in target.
func (e *Exception) applyTo(target *Settings) {
	for remaining := e.overrides; remaining != 0; remaining &= remaining - 1 {
		copySetting(settingID(bits.TrailingZeros32(uint32(remaining))), target, &e.values)
	}
}

// BackendSettings are the settings of a backend server and the node on the same instance.
type BackendSettings struct {
	TakenOut         bool
	ChecksGrants     bool
	InFlightBound    time.Duration
	ConcurrencyLimit uint32
	QueueLimit       uint32
	// Slices is the number of slices of a new group of the service.
	Slices uint32
}

// ResolveBackend returns the settings of the backend servers of a service in a data centre. Exceptions for these
// settings cannot match a tenant or a key prefix, so the result applies to all requests of the service there.
func (c *Configuration) ResolveBackend(service, dataCentre string) BackendSettings {
	s := c.Resolve(Subject{Service: service, DataCentre: dataCentre})
	return BackendSettings{
		TakenOut: s.TakenOut, ChecksGrants: s.ChecksGrants, InFlightBound: s.InFlightBound,
		ConcurrencyLimit: s.ConcurrencyLimit, QueueLimit: s.QueueLimit, Slices: s.Slices,
	}
}

// TakenOut reports whether taken_out is set for the data centre, so that it gets no new work.
func (c *Configuration) TakenOut(dataCentre string) bool {
	return c.Resolve(Subject{DataCentre: dataCentre}).TakenOut
}

// LostBefore returns the setting lost_before of the data centre: operators have declared all its nodes lost that joined
// before this log offset. Zero means that they have declared none.
func (c *Configuration) LostBefore(dataCentre string) uint32 {
	return c.Resolve(Subject{DataCentre: dataCentre}).LostBefore
}

// Origin is the source of the value of a setting.
type Origin string

// Sources of a value.
const (
	// FromBuiltIn is a built-in default that the document does not override.
	FromBuiltIn Origin = "built-in default"
	// FromDefaults is the defaults of the document.
	FromDefaults Origin = "defaults"
	// FromException is an exception of the document.
	FromException Origin = "exception"
)

// Explanation is the value of a setting and its source.
type Explanation struct {
	Setting string `json:"setting"`
	// Value is in document syntax.
	Value  string `json:"value"`
	Origin Origin `json:"origin"`
	// Exception, Reason, Match and Line describe the exception that set the value; empty for a default.
	Exception string `json:"exception,omitempty"`
	Reason    string `json:"reason,omitempty"`
	Match     string `json:"match,omitempty"`
	Line      int    `json:"line,omitempty"`
}

// Explain returns the value of each setting for the subject and its source, in the order of Reference.
func (c *Configuration) Explain(s Subject) []Explanation {
	if s.Region == "" {
		s.Region = c.regionOf[s.DataCentre]
	}
	var setBy [settingCount]*Exception
	for _, e := range c.candidates(s.Service) {
		if !e.Match.matches(&s) {
			continue
		}
		for id := range settings {
			if e.overrides.has(settingID(id)) {
				setBy[id] = e
			}
		}
	}
	resolved := c.Resolve(s)
	out := make([]Explanation, 0, settingCount)
	for id := range settings {
		out = append(out, c.explain(settingID(id), &resolved, setBy[id]))
	}
	return out
}

// explain returns the explanation of one setting; setBy is the exception that set it, or nil for a default.
func (c *Configuration) explain(id settingID, resolved *Settings, setBy *Exception) Explanation {
	e := Explanation{Setting: settings[id].name, Value: settings[id].format(resolved), Origin: FromBuiltIn}
	if c.explicitDefaults.has(id) {
		e.Origin = FromDefaults
	}
	if setBy == nil {
		return e
	}
	e.Origin = FromException
	e.Exception, e.Reason = setBy.Name, setBy.Reason
	e.Match, e.Line = setBy.Match.String(), setBy.Line
	return e
}
