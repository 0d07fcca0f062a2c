package config

import (
	"math/bits"
	"time"
)

// Resolve returns the settings of the subject. It allocates no memory.
func (c *Configuration) Resolve(s Subject) Settings {
	if s.Region == "" && s.DataCentre != "" {
		s.Region = c.regionOf[s.DataCentre]
	}
	out := c.defaults
	for _, e := range c.candidates(s.Service) {
		if e.Match.matches(&s) {
			e.apply(&out)
		}
	}
	return out
}

// candidates returns the exceptions that can match the service, a more specific one after a less specific one.
func (c *Configuration) candidates(service string) []*Exception {
	if list, ok := c.ordered[service]; ok {
		return list
	}
	return c.unnamed
}

// apply stores the values that e sets.
func (e *Exception) apply(to *Settings) {
	for rest := e.sets; rest != 0; rest &= rest - 1 {
		copySetting(settingID(bits.TrailingZeros32(uint32(rest))), to, &e.values)
	}
}

// BackendSettings are the settings of a backend server and the node beside it.
type BackendSettings struct {
	TakenOut         bool
	ChecksGrants     bool
	InFlightBound    time.Duration
	ConcurrencyLimit uint32
	QueueLimit       uint32
	// Slices is the number of slices of a new group of the service.
	Slices uint32
}

// ResolveBackend returns the settings of the backend servers of a service in a data centre. No exception for these
// settings may match a tenant or a key, so that they hold for all requests of the service there.
func (c *Configuration) ResolveBackend(service, dataCentre string) BackendSettings {
	s := c.Resolve(Subject{Service: service, DataCentre: dataCentre})
	return BackendSettings{
		TakenOut: s.TakenOut, ChecksGrants: s.ChecksGrants, InFlightBound: s.InFlightBound,
		ConcurrencyLimit: s.ConcurrencyLimit, QueueLimit: s.QueueLimit, Slices: s.Slices,
	}
}

// TakenOut reports whether operators took the data centre out.
func (c *Configuration) TakenOut(dataCentre string) bool {
	return c.Resolve(Subject{DataCentre: dataCentre}).TakenOut
}

// LostBefore returns the offset before which all nodes of the data centre joined that operators state to be gone; zero if
// they state none.
func (c *Configuration) LostBefore(dataCentre string) uint32 {
	return c.Resolve(Subject{DataCentre: dataCentre}).LostBefore
}

// Origin says what decided a setting.
type Origin string

// Origins of a value.
const (
	// FromBuiltIn is a built-in default that the document does not state.
	FromBuiltIn Origin = "built-in default"
	// FromDefaults is the document's defaults.
	FromDefaults Origin = "defaults"
	// FromException is an exception of the document.
	FromException Origin = "exception"
)

// Explanation says which value a setting has and why.
type Explanation struct {
	Setting string `json:"setting"`
	// Value is written as in a document.
	Value  string `json:"value"`
	Origin Origin `json:"origin"`
	// Exception, Reason, Match and Line describe the exception that decided; empty for a default.
	Exception string `json:"exception,omitempty"`
	Reason    string `json:"reason,omitempty"`
	Match     string `json:"match,omitempty"`
	Line      int    `json:"line,omitempty"`
}

// Explain returns, for each setting in the order of the reference, its value for the subject and what decided it.
func (c *Configuration) Explain(s Subject) []Explanation {
	if s.Region == "" {
		s.Region = c.regionOf[s.DataCentre]
	}
	var deciders [settingCount]*Exception
	for _, e := range c.candidates(s.Service) {
		if !e.Match.matches(&s) {
			continue
		}
		for id := range settings {
			if e.sets.has(settingID(id)) {
				deciders[id] = e
			}
		}
	}
	resolved := c.Resolve(s)
	out := make([]Explanation, 0, settingCount)
	for id := range settings {
		out = append(out, c.explain(settingID(id), &resolved, deciders[id]))
	}
	return out
}

// explain describes one setting; decider is nil for a default.
func (c *Configuration) explain(id settingID, resolved *Settings, decider *Exception) Explanation {
	e := Explanation{Setting: settings[id].name, Value: settings[id].format(resolved), Origin: FromBuiltIn}
	if c.stated.has(id) {
		e.Origin = FromDefaults
	}
	if decider == nil {
		return e
	}
	e.Origin = FromException
	e.Exception, e.Reason = decider.Name, decider.Reason
	e.Match, e.Line = decider.Match.String(), decider.Line
	return e
}
