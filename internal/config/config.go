// Package config holds the configuration that operators publish: its types, strict decoding, checks, and the
// resolution of the settings for a request or a backend server.
//
// A document names regions with their data centres, services, tenants, one set of defaults, and exceptions. An
// exception replaces defaults for the subjects that it matches. Among the exceptions that match a subject and set the
// same setting, the most specific one decides.
package config

import (
	"maps"
	"slices"

	"heatherreel/internal/keyspace"
)

// Exception replaces defaults for the subjects that it matches.
type Exception struct {
	Name   string
	Reason string
	Match  Match
	// Line is where the exception begins in the document.
	Line int

	values Settings
	sets   settingSet
}

// settingSet is a set of settings; bit i stands for settingID i.
type settingSet uint32

// has reports whether the set holds the setting.
func (s settingSet) has(id settingID) bool { return s&(1<<id) != 0 }

// Configuration is a checked document. It does not change, so that any number of goroutines may read it.
type Configuration struct {
	// regions maps each region to its data centres in the order of the document.
	regions map[string][]string
	// regionOf maps each data centre to its region.
	regionOf map[string]string
	services []string
	tenants  []string
	known    struct{ services, tenants map[string]bool }

	defaults Settings
	// stated are the settings that the document's defaults state; the others have built-in defaults.
	stated settingSet
	// exceptions are in the order of the document.
	exceptions []*Exception
	// ordered holds, for each service that an exception names, the exceptions that can match it, a more specific one
	// after a less specific one. unnamed holds those that name no service, for all other services. homes and
	// unnamedHomes are divided in the same way.
	ordered      map[string][]*Exception
	unnamed      []*Exception
	homes        map[string][]keyspace.Home
	unnamedHomes []keyspace.Home
}

// Subject is what settings are resolved for. Empty fields match no exception that names them.
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

// DataCentres returns the data centres of a region in the order of the document.
func (c *Configuration) DataCentres(region string) []string { return slices.Clone(c.regions[region]) }

// Services returns the names of all services in the order of the document.
func (c *Configuration) Services() []string { return slices.Clone(c.services) }

// HasService reports whether the document names the service.
func (c *Configuration) HasService(name string) bool { return c.known.services[name] }

// HasTenant reports whether requests of the tenant are allowed: the document names it, or it names no tenants and
// the request has none.
func (c *Configuration) HasTenant(name string) bool {
	if name == "" {
		return len(c.tenants) == 0
	}
	return c.known.tenants[name]
}

// Homes returns every set of home regions that a key of the service can have, sorted.
// It is nil for a service that the document does not name.
func (c *Configuration) Homes(service string) []keyspace.Home {
	if !c.HasService(service) {
		return nil
	}
	return slices.Clone(c.homesOf(service))
}

// homesOf returns the sets of a service of the document. The caller must not change the list.
func (c *Configuration) homesOf(service string) []keyspace.Home {
	if homes, ok := c.homes[service]; ok {
		return homes
	}
	return c.unnamedHomes
}

// index prepares the lookup tables after decoding.
func (c *Configuration) index() {
	c.known.services = setOf(c.services)
	c.known.tenants = setOf(c.tenants)
	sorted := slices.Clone(c.exceptions)
	slices.SortStableFunc(sorted, func(a, b *Exception) int { return a.Match.compareSpecificity(&b.Match) })
	c.unnamed = filter(sorted, "")
	c.unnamedHomes = c.findHomes("")
	c.ordered = map[string][]*Exception{}
	c.homes = map[string][]keyspace.Home{}
	for _, e := range sorted {
		service := e.Match.Service
		if service == "" || c.ordered[service] != nil {
			continue
		}
		c.ordered[service] = filter(sorted, service)
		c.homes[service] = c.findHomes(service)
	}
}

// filter returns the exceptions that can match the service.
func filter(exceptions []*Exception, service string) []*Exception {
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

// findHomes resolves one representative of each class of tenants and keys that exceptions for home regions tell
// apart. The key that equals a prefix stands for the keys that have this prefix and no longer one.
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

// representatives returns a tenant and a key prefix of each class that exceptions for home regions tell apart.
func (c *Configuration) representatives(service string) (tenants, prefixes []string) {
	prefixes = []string{""}
	for _, e := range c.candidates(service) {
		if !e.sets.has(homeRegions) {
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
