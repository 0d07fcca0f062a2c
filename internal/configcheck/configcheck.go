// Package configcheck finds, in a table of routes that can be decoded, what nodes accept although it cannot be meant, and how
// it differs from another one.
package configcheck

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"

	"heatherreel/internal/route"
	"heatherreel/internal/tenantauth"
)

// Severity is the kind of a finding.
type Severity string

// Severities. Nodes do not put a configuration in force that has an error.
const (
	Error      Severity = "error"
	Warning    Severity = "warning"
	Difference Severity = "difference"
)

// Finding is one statement about an entry of the configuration.
type Finding struct {
	Severity Severity `json:"severity"`
	// Entry names the entry, such as `route "a"`.
	Entry  string `json:"entry"`
	Detail string `json:"detail"`
}

// findings collects findings of one severity.
type findings struct {
	severity Severity
	list     []Finding
}

func (f *findings) add(entry, format string, args ...any) {
	f.list = append(f.list, Finding{f.severity, entry, fmt.Sprintf(format, args...)})
}

func routeEntry(name string) string   { return fmt.Sprintf("route %q", name) }
func serviceEntry(name string) string { return fmt.Sprintf("service %q", name) }

// minUsefulHeaderBytes is the maximum size of a head below which a configuration is reported. Nodes keep to a lower one, also
// at the address for heartbeats, and ordinary heads with a few long fields are over it.
const minUsefulHeaderBytes = 4 << 10

// Check returns a warning for each entry that can never match a request, for each pair of limits that contradict each other,
// for each tenant whose requests are refused, and for each value that is out of range. replaced are those in place of which
// nodes use another one.
func Check(t *route.Table, replaced []route.Replacement) []Finding {
	f := findings{severity: Warning}
	used := map[string]bool{}
	firsts := map[[2]string]string{}
	for _, r := range t.Routes() {
		for _, s := range r.Services {
			used[s.Service] = used[s.Service] || s.Weight > 0
		}
		entry := routeEntry(r.Name)
		key := [2]string{strings.ToLower(r.Host), r.Prefix}
		if first, found := firsts[key]; found {
			f.add(entry, "it has the host and path prefix of route %q; only one of the two matches, and nodes may differ in which", first)
		} else {
			firsts[key] = r.Name
		}
		if reason := neverMatches(t, r); reason != "" {
			f.add(entry, "it never matches: %s", reason)
		}
		if r.Timeout > 0 && r.Objective > r.Timeout {
			f.add(entry, "its target response time of %v is after its timeout of %v", r.Objective, r.Timeout)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(t.Services)) {
		if !used[name] {
			f.add(serviceEntry(name), "no route sends requests to it")
		}
	}
	checkTenants(&f, t)
	if t.Limits.MaxBodyBytes < 0 {
		f.add("limits", "the maximum body size of %d bytes is negative, which means no limit", t.Limits.MaxBodyBytes)
	}
	if n := t.Limits.MaxHeaderBytes; n > 0 && n < minUsefulHeaderBytes {
		f.add("limits", "the maximum header size of %d bytes is below %d; ordinary requests and heartbeats may be refused", n, minUsefulHeaderBytes)
	}
	addReplaced(&f, replaced)
	return f.list
}

// addReplaced adds the values in place of which nodes use others, in the order of their entries.
func addReplaced(f *findings, replaced []route.Replacement) {
	for _, r := range slices.SortedFunc(slices.Values(replaced), func(a, b route.Replacement) int {
		return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Name, b.Name), cmp.Compare(a.Field, b.Field))
	}) {
		entry := r.Kind
		if r.Name != "" {
			entry = fmt.Sprintf("%s %q", r.Kind, r.Name)
		}
		f.add(entry, "%s is %v, which is out of range; nodes use %v", r.Field, r.Published, r.Used)
	}
}

// checkTenants adds the tenants that have no key, and the services of which no route may serve a tenant.
func checkTenants(f *findings, t *route.Table) {
	if t.Tenants == nil {
		return
	}
	// regions are the home regions of the routes of each service.
	regions := map[string][][]string{}
	for _, r := range t.Routes() {
		for _, s := range r.Services {
			if s.Weight > 0 && neverMatches(t, r) == "" {
				regions[s.Service] = append(regions[s.Service], r.HomeRegions)
			}
		}
	}
	services, withoutKeys := slices.Sorted(maps.Keys(regions)), t.Tenants.WithoutKeys()
	for _, tenant := range t.Tenants.Tenants() {
		if withoutKeys[tenant.Name] {
			f.add(tenantEntry(tenant.Name), "it has no keys, so that no request belongs to it")
		}
		for _, service := range services {
			if !slices.ContainsFunc(regions[service], func(homes []string) bool {
				_, ok := tenantauth.CommonRegions(homes, tenant.Regions)
				return ok
			}) {
				f.add(tenantEntry(tenant.Name), "no route of service %q has a region in common with its regions %v; all its requests to the service are refused", service, tenant.Regions)
			}
		}
	}
}

// neverMatches returns why no request matches the route; empty if some do. Two routes with the same host and prefix are not
// its concern.
func neverMatches(t *route.Table, r route.Route) string {
	switch {
	case r.Host == "":
		return "the host is empty"
	case r.Prefix != "" && r.Prefix[0] != '/':
		return fmt.Sprintf("the path prefix %q does not begin with a slash", r.Prefix)
	case strings.Contains(r.Prefix, "?"):
		return fmt.Sprintf("the path prefix %q contains a query, which is not compared", r.Prefix)
	}
	// A request for exactly this host and path finds the route, or another one with the same host and prefix.
	if found := t.Match(r.Host, r.Prefix); found == nil || !strings.EqualFold(found.Host, r.Host) || found.Prefix != r.Prefix {
		return fmt.Sprintf("the host %q has a port, which is not compared", r.Host)
	}
	return ""
}

// Compare returns how t differs from the table in force, and an error if it differs but would not come into force.
func Compare(t, inForce *route.Table) []Finding {
	f := findings{severity: Difference}
	compareRoutes(&f, byName(t), byName(inForce))
	compareServices(&f, t.Services, inForce.Services)
	compareLimits(&f, t.Limits, inForce.Limits)
	compareTenants(&f, t.Tenants, inForce.Tenants)
	if t.Revision != inForce.Revision {
		f.add("configuration", "revision: %d, before %d", t.Revision, inForce.Revision)
	}
	if len(f.list) > 0 && !t.Supersedes(inForce) {
		f.severity = Error
		f.add("configuration", "nodes ignore it: its revision %d is not above %d, which is in force", t.Revision, inForce.Revision)
	}
	return f.list
}

func byName(t *route.Table) map[string]route.Route {
	routes := map[string]route.Route{}
	for _, r := range t.Routes() {
		routes[r.Name] = r
	}
	return routes
}

// namesOf returns the names in both maps, in order.
func namesOf[T any](a, b map[string]T) []string {
	return slices.Compact(slices.Sorted(func(yield func(string) bool) {
		for _, m := range []map[string]T{a, b} {
			for name := range m {
				if !yield(name) {
					return
				}
			}
		}
	}))
}

// field is a property of an entry.
type field struct {
	name  string
	value any
}

// compareEntries adds the differences between the entries of two tables.
func compareEntries[T any](f *findings, now, before map[string]T, entry func(string) string, fields func(T) []field) {
	for _, name := range namesOf(now, before) {
		a, isNow := now[name]
		b, wasBefore := before[name]
		switch {
		case !wasBefore:
			f.add(entry(name), "added")
		case !isNow:
			f.add(entry(name), "removed")
		default:
			old := fields(b)
			for i, x := range fields(a) {
				if value, previous := fmt.Sprint(x.value), fmt.Sprint(old[i].value); value != previous {
					f.add(entry(name), "%s: %s, before %s", x.name, value, previous)
				}
			}
		}
	}
}

func compareRoutes(f *findings, now, before map[string]route.Route) {
	compareEntries(f, now, before, routeEntry, func(r route.Route) []field {
		return []field{{"host", r.Host}, {"path prefix", r.Prefix}, {"services", r.Services}, {"idempotent", r.Idempotent},
			{"timeout", r.Timeout}, {"target response time", r.Objective}, {"priority", r.Priority},
			{"attempts", r.MaxAttempts}, {"home regions", r.HomeRegions}, {"anonymous", r.AllowAnonymous}}
	})
}

func compareServices(f *findings, now, before map[string]route.Service) {
	compareEntries(f, now, before, serviceEntry, func(s route.Service) []field {
		return []field{{"health path", s.HealthPath}, {"connections", s.MaxConnections}, {"keyed", s.Keyed},
			{"cold time", s.ColdFor}, {"rate while cold", s.ColdRate}}
	})
}

func compareLimits(f *findings, now, before route.Limits) {
	compareEntries(f, map[string]route.Limits{"limits": now}, map[string]route.Limits{"limits": before}, strings.Clone, func(l route.Limits) []field {
		return []field{{"maximum body size", l.MaxBodyBytes}, {"maximum header size", l.MaxHeaderBytes},
			{"header timeout", l.HeaderTimeout}, {"idle timeout", l.IdleTimeout}}
	})
}

// compareTenants adds the differences between two tables of tenants, of which either may be nil. Keys are only counted,
// because a finding is printed.
func compareTenants(f *findings, now, before *tenantauth.Table) {
	byName := func(t *tenantauth.Table) map[string]tenantauth.Tenant {
		tenants := map[string]tenantauth.Tenant{}
		if t != nil {
			for _, tenant := range t.Tenants() {
				tenants[tenant.Name] = tenant
			}
		}
		return tenants
	}
	compareEntries(f, byName(now), byName(before), tenantEntry, func(t tenantauth.Tenant) []field {
		return []field{{"priority", t.Priority}, {"has a priority", t.HasPriority}, {"rate", t.Rate}, {"burst", t.Burst}, {"regions", t.Regions}}
	})
	if now == nil || before == nil {
		return
	}
	for _, name := range namesOf(byName(now), byName(before)) {
		if added, removed := now.KeyChanges(before, name); added+removed > 0 {
			f.add(tenantEntry(name), "keys: %d added, %d removed", added, removed)
		}
	}
}

func tenantEntry(name string) string { return fmt.Sprintf("tenant %q", name) }
