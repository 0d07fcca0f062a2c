package config

import (
	"slices"
	"time"

	"heatherreel/internal/keyspace"
)

// homeRule gives home regions to the keys that a match selects.
type homeRule struct {
	match Match
	home  keyspace.Home
}

// homeRules returns what decides home regions of a service, with the defaults first.
func (c *Configuration) homeRules(service string) []homeRule {
	rules := []homeRule{{home: c.defaults.HomeRegions}}
	for _, e := range c.candidates(service) {
		if e.sets.has(homeRegions) {
			rules = append(rules, homeRule{match: e.Match, home: e.values.HomeRegions})
		}
	}
	return rules
}

// SameHomes reports whether both configurations decide the home regions of a service by the same rules. Different
// rules may still give the same home regions to a key.
func (c *Configuration) SameHomes(other *Configuration, service string) bool {
	return slices.Equal(c.homeRules(service), other.homeRules(service))
}

// HomesOfKeysFrom returns the sets of home regions in c of the keys that an earlier configuration puts into the group.
func (c *Configuration) HomesOfKeysFrom(earlier *Configuration, group keyspace.Group) []keyspace.Home {
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
		if e.sets.has(maxDeadline) {
			longest = max(longest, e.values.MaxDeadline)
		}
	}
	return longest
}
