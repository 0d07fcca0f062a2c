package config

import (
	"slices"
	"time"

	"heatherreel/internal/keyspace"
)

// homeRule assigns home regions to the keys that a match selects.
type homeRule struct {
	match Match
	home  keyspace.Home
}

// homeRules returns the rules that determine the home regions of a service, with the defaults first.
func (c *Configuration) homeRules(service string) []homeRule {
	rules := []homeRule{{home: c.defaults.HomeRegions}}
	for _, e := range c.candidates(service) {
		if e.overrides.has(homeRegions) {
			rules = append(rules, homeRule{match: e.Match, home: e.values.HomeRegions})
		}
	}
	return rules
}

// SameHomeRules reports whether both configurations determine the home regions of a service by the same rules.
// Different rules may still give a key the same home regions.
func (c *Configuration) SameHomeRules(other *Configuration, service string) bool {
	return slices.Equal(c.homeRules(service), other.homeRules(service))
}

// HomesOfEarlierGroup returns the sets of home regions that c gives to the keys that belonged to the group under the
// earlier configuration.
func (c *Configuration) HomesOfEarlierGroup(earlier *Configuration, group keyspace.Group) []keyspace.Home {
	_, prefixes := c.representatives(group.Service)
	_, earlierPrefixes := earlier.representatives(group.Service)
	tenants := slices.Concat([]string{""}, c.tenants, earlier.tenants)
	var homes []keyspace.Home
	for _, tenant := range tenants {
		for _, prefix := range slices.Concat(prefixes, earlierPrefixes) {
			s := Subject{Service: group.Service, Tenant: tenant, Key: prefix}
			if earlier.Resolve(s).HomeRegions != group.Home {
				continue
			}
			if home := c.Resolve(s).HomeRegions; !slices.Contains(homes, home) {
				homes = append(homes, home)
			}
		}
	}
	return homes
}

// LongestDeadline returns the longest deadline that a request of the service can have.
func (c *Configuration) LongestDeadline(service string) time.Duration {
	longest := c.defaults.MaxDeadline
	for _, e := range c.candidates(service) {
		if e.overrides.has(maxDeadline) {
			longest = max(longest, e.values.MaxDeadline)
		}
	}
	return longest
}
