// Package config implements the configuration that operators publish: its types, strict YAML decoding, validation, and
// the resolution of the settings for a request or a backend server.
//
// A document lists regions with their data centres, services, tenants, one set of defaults, and exceptions. An
// exception overrides defaults for the subjects that it matches. Among the exceptions that match a subject and set the
// same setting, the most specific one takes precedence.
package config

import (
	"maps"
	"slices"

	"heatherreel/internal/keyspace"
)

// Exception overrides defaults for the subjects that it matches.
type Exception struct {
	Name   string
	Reason string
	Match  Match
	// Line is the line of the document where the exception begins.
	Line int

	// values holds values for the settings in overrides only.
	values    Settings
	overrides settingSet
}

// settingSet is a bit set of settings; bit i stands for settingID i.
type settingSet uint32

// has reports whether the set holds the setting.
func (s settingSet) has(id settingID) bool { return s&(1<<id) != 0 }

// Configuration is a decoded and validated document. It is immutable and safe for concurrent use.
type Configuration struct {
	// regions maps each region to its data centres, in document order.
	regions map[string][]string
	// regionOf maps each data centre to its region.
	regionOf map[string]string
	services []string
	tenants  []string
	nameSets struct{ services, tenants map[string]bool }

	defaults Settings
	// explicitDefaults are the settings that the defaults of the document set; the others have built-in defaults.
	explicitDefaults settingSet
	// exceptions are in document order.
	exceptions []*Exception
	// candidatesByService holds, for each service that an exception names, the exceptions that can match it, a more
	// specific one after a less specific one. generalCandidates holds those that name no service; it applies to all
	// other services. homesByService and generalHomes hold the possible sets of home regions in the same way.
	candidatesByService map[string][]*Exception
	generalCandidates   []*Exception
	homesByService      map[string][]keyspace.Home
	generalHomes        []keyspace.Home
}

// Subject identifies what settings are resolved for, such as a request or a backend server. An empty field does not
// match an exception that names the field.
type Subject struct {
	Service    string
	Tenant     string
	Key        string
	DataCentre string
	// Region may be empty if DataCentre is set.
	Region string
}

// RegionOf returns the region of a data centre.
func (c *Configuration) RegionOf(dataCentre string) (string, bool) {
	region, ok := c.regionOf[dataCentre]
	return region, ok
}

// Regions returns the names of all regions, sorted.
func (c *Configuration) Regions() []string { return slices.Sorted(maps.Keys(c.regions)) }

// DataCentres returns the data centres of a region in document order.
func (c *Configuration) DataCentres(region string) []string { return slices.Clone(c.regions[region]) }

// Services returns the names of all services in document order.
func (c *Configuration) Services() []string { return slices.Clone(c.services) }

// HasService reports whether the document names the service.
func (c *Configuration) HasService(name string) bool { return c.nameSets.services[name] }

// AllowsTenant reports whether requests of the tenant are allowed: either the document names the tenant, or it names no
// tenants and name is empty.
func (c *Configuration) AllowsTenant(name string) bool {
	if name == "" {
		return len(c.tenants) == 0
	}
	return c.nameSets.tenants[name]
}

// Homes returns every set of home regions that a key of the service can have, sorted.
// It is nil for a service that the document does not name.
func (c *Configuration) Homes(service string) []keyspace.Home {
	if !c.HasService(service) {
		return nil
	}
	return slices.Clone(c.homesOf(service))
}

// homesOf returns the possible sets of home regions of a service of the document. The caller must not modify the
// result.
func (c *Configuration) homesOf(service string) []keyspace.Home {
	if homes, ok := c.homesByService[service]; ok {
		return homes
	}
	return c.generalHomes
}

// buildIndexes builds the lookup tables after decoding.
func (c *Configuration) buildIndexes() {
	c.nameSets.services = setOf(c.services)
	c.nameSets.tenants = setOf(c.tenants)
	sorted := slices.Clone(c.exceptions)
	slices.SortStableFunc(sorted, func(a, b *Exception) int { return a.Match.compareSpecificity(&b.Match) })
	c.generalCandidates = filterForService(sorted, "")
	c.generalHomes = c.findHomes("")
	c.candidatesByService = map[string][]*Exception{}
	c.homesByService = map[string][]keyspace.Home{}
	for _, e := range sorted {
		service := e.Match.Service
		if service == "" || c.candidatesByService[service] != nil {
			continue
		}
		c.candidatesByService[service] = filterForService(sorted, service)
		c.homesByService[service] = c.findHomes(service)
	}
}

// filterForService returns the exceptions that can match the service; with an empty service, those that name none.
func filterForService(exceptions []*Exception, service string) []*Exception {
	var kept []*Exception
	for _, e := range exceptions {
		if e.Match.Service == "" || e.Match.Service == service {
			kept = append(kept, e)
		}
	}
	return kept
}

// setOf returns the names as a set.
func setOf(names []string) map[string]bool {
	set := make(map[string]bool, len(names))
	for _, name := range names {
		set[name] = true
	}
	return set
}

// findHomes returns every set of home regions that a key of the service can have, sorted. Exceptions that set home
// regions divide tenants and keys into equivalence classes; one representative of each class is resolved. The key that
// equals a prefix represents the keys that have this prefix and no longer one.
func (c *Configuration) findHomes(service string) []keyspace.Home {
	tenants, prefixes := c.representatives(service)
	var homes []keyspace.Home
	for _, tenant := range tenants {
		for _, prefix := range prefixes {
			home := c.Resolve(Subject{Service: service, Tenant: tenant, Key: prefix}).HomeRegions
			if !slices.Contains(homes, home) {
				homes = append(homes, home)
			}
		}
	}
	slices.Sort(homes)
	return homes
}

// representatives returns one tenant of each class of tenants, and one key prefix of each class of keys, that the
// exceptions that set home regions distinguish. One tenant without such an exception represents all others.
func (c *Configuration) representatives(service string) (tenants, prefixes []string) {
	prefixes = []string{""}
	for _, e := range c.candidates(service) {
		if !e.overrides.has(homeRegions) {
			continue
		}
		if e.Match.Tenant != "" && !slices.Contains(tenants, e.Match.Tenant) {
			tenants = append(tenants, e.Match.Tenant)
		}
		if !slices.Contains(prefixes, e.Match.KeyPrefix) {
			prefixes = append(prefixes, e.Match.KeyPrefix)
		}
	}
	for _, tenant := range c.tenants {
		if !slices.Contains(tenants, tenant) {
			return append(tenants, tenant), prefixes
		}
	}
	if len(c.tenants) == 0 {
		tenants = []string{""}
	}
	return tenants, prefixes
}
