package config

import (
	"maps"
	"slices"
	"strings"
)

// Change is one difference between two configurations.
type Change struct {
	// Path names what differs, such as defaults.deadline or exceptions.drill.set.class.
	Path string `json:"path"`
	// Before and After are the values in document syntax; empty if the path does not exist.
	Before string `json:"before,omitempty"`
	After  string `json:"after,omitempty"`
}

// Diff returns the differences from a to b, sorted by path. Either may be nil for an empty configuration. Defaults that
// a document does not set are compared by their built-in values.
func Diff(a, b *Configuration) []Change {
	before, after := a.flatten(), b.flatten()
	paths := maps.Clone(before)
	maps.Copy(paths, after)
	var changes []Change
	for _, path := range slices.Sorted(maps.Keys(paths)) {
		if before[path] != after[path] {
			changes = append(changes, Change{Path: path, Before: before[path], After: after[path]})
		}
	}
	return changes
}

// flatten returns every value of the configuration by path.
func (c *Configuration) flatten() map[string]string {
	flat := map[string]string{}
	if c == nil {
		return flat
	}
	for region, list := range c.regions {
		flat["regions."+region+".data_centres"] = joinSorted(list)
	}
	flat["services"] = joinSorted(c.services)
	flat["tenants"] = joinSorted(c.tenants)
	for id := range settings {
		if !settings[id].exceptionOnly {
			flat["defaults."+settings[id].name] = settings[id].format(&c.defaults)
		}
	}
	for _, e := range c.exceptions {
		e.flatten(flat)
	}
	return flat
}

// flatten adds the values of the exception.
func (e *Exception) flatten(flat map[string]string) {
	path := "exceptions." + e.Name
	flat[path+".reason"] = e.Reason
	flat[path+".match"] = e.Match.String()
	for id := range settings {
		if e.overrides.has(settingID(id)) {
			flat[path+".set."+settings[id].name] = settings[id].format(&e.values)
		}
	}
}

// joinSorted formats a list whose order is not significant.
func joinSorted(names []string) string {
	return "[" + strings.Join(slices.Sorted(slices.Values(names)), ", ") + "]"
}
