package route

import (
	"cmp"
	"slices"
)

// Routes returns copies of all routes, in the order of their names.
func (t *Table) Routes() []Route {
	var routes []Route
	for _, list := range t.hosts {
		for _, r := range list {
			routes = append(routes, *r)
		}
	}
	slices.SortFunc(routes, func(a, b Route) int { return cmp.Compare(a.Name, b.Name) })
	return routes
}

// Supersedes reports whether a node that has old in force puts t in force instead. A lower revision never comes into force.
func (t *Table) Supersedes(old *Table) bool { return t.Revision > old.Revision }
