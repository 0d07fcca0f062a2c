package config

import (
	"cmp"
	"math/bits"
	"strings"
)

// matchFields is a bit set of match fields.
type matchFields uint8

// Match fields.
const (
	byService matchFields = 1 << iota
	byTenant
	byDataCentre
	byRegion
	byKeyPrefix
)

// matchFieldNames are the names of the match fields, by bit.
var matchFieldNames = [...]string{"service", "tenant", "data_centre", "region", "key_prefix"}

// String returns the names of the fields, comma-separated.
func (f matchFields) String() string {
	var names []string
	for bit, name := range matchFieldNames {
		if f&(1<<bit) != 0 {
			names = append(names, name)
		}
	}
	return strings.Join(names, ", ")
}

// Match selects the subjects of an exception. An empty field matches everything.
type Match struct {
	Service    string `json:"service,omitempty"`
	Tenant     string `json:"tenant,omitempty"`
	DataCentre string `json:"data_centre,omitempty"`
	Region     string `json:"region,omitempty"`
	KeyPrefix  string `json:"key_prefix,omitempty"`
}

// fieldPointers returns pointers to the fields in the order of matchFieldNames.
func (m *Match) fieldPointers() [len(matchFieldNames)]*string {
	return [...]*string{&m.Service, &m.Tenant, &m.DataCentre, &m.Region, &m.KeyPrefix}
}

// namedFields returns the fields that are not empty.
func (m *Match) namedFields() matchFields {
	var f matchFields
	for bit, value := range m.fieldPointers() {
		if *value != "" {
			f |= 1 << bit
		}
	}
	return f
}

// matches reports whether m selects the subject.
func (m *Match) matches(s *Subject) bool {
	return (m.Service == "" || m.Service == s.Service) &&
		(m.Tenant == "" || m.Tenant == s.Tenant) &&
		(m.DataCentre == "" || m.DataCentre == s.DataCentre) &&
		(m.Region == "" || m.Region == s.Region) &&
		strings.HasPrefix(s.Key, m.KeyPrefix)
}

// implies reports whether m has the same value as other in every field that other names, and a key prefix that starts
// with that of other. Every subject that m matches then matches other too.
func (m *Match) implies(other *Match) bool {
	return (other.Service == "" || m.Service == other.Service) &&
		(other.Tenant == "" || m.Tenant == other.Tenant) &&
		(other.DataCentre == "" || m.DataCentre == other.DataCentre) &&
		(other.Region == "" || m.Region == other.Region) &&
		strings.HasPrefix(m.KeyPrefix, other.KeyPrefix)
}

// moreSpecificThan reports whether m implies other and differs from it.
func (m *Match) moreSpecificThan(other *Match) bool {
	return *m != *other && m.implies(other)
}

// compareSpecificity orders matches so that a more specific one comes after a less specific one.
func (m *Match) compareSpecificity(other *Match) int {
	byCount := bits.OnesCount8(uint8(m.namedFields())) - bits.OnesCount8(uint8(other.namedFields()))
	return cmp.Or(byCount, len(m.KeyPrefix)-len(other.KeyPrefix))
}

// intersect returns the match for the subjects that both match, or false if there is none. regionOf maps data centres
// to regions.
func (m *Match) intersect(other *Match, regionOf map[string]string) (Match, bool) {
	var out Match
	ok := intersectField(&out.Service, m.Service, other.Service) &&
		intersectField(&out.Tenant, m.Tenant, other.Tenant) &&
		intersectField(&out.DataCentre, m.DataCentre, other.DataCentre) &&
		intersectField(&out.Region, m.Region, other.Region)
	out.KeyPrefix = m.KeyPrefix
	if len(other.KeyPrefix) > len(m.KeyPrefix) {
		out.KeyPrefix = other.KeyPrefix
	}
	ok = ok && strings.HasPrefix(out.KeyPrefix, m.KeyPrefix) && strings.HasPrefix(out.KeyPrefix, other.KeyPrefix)
	if out.DataCentre != "" && out.Region != "" && regionOf[out.DataCentre] != out.Region {
		return Match{}, false
	}
	return out, ok
}

// intersectField stores the value that both fields allow, and returns false if they name different values.
func intersectField(out *string, a, b string) bool {
	*out = a
	if a == "" {
		*out = b
	}
	return a == "" || b == "" || a == b
}

// String returns the match as field=value pairs.
func (m Match) String() string {
	var pairs []string
	for bit, value := range m.fieldPointers() {
		if *value != "" {
			pairs = append(pairs, matchFieldNames[bit]+"="+*value)
		}
	}
	return strings.Join(pairs, " ")
}

// minimalSubject returns a subject that m matches and that has only the fields that m names, plus the region of a named
// data centre.
func (m *Match) minimalSubject(regionOf map[string]string) Subject {
	s := Subject{
		Service: m.Service, Tenant: m.Tenant, Key: m.KeyPrefix, DataCentre: m.DataCentre, Region: m.Region,
	}
	if s.Region == "" {
		s.Region = regionOf[s.DataCentre]
	}
	return s
}
