// Package route holds the routes that operators publish, and finds the route of a request.
//
// A Table does not change after Build, so that any number of workers may read it.
package route

import (
	"slices"
	"strings"
	"time"

	"heatherreel/internal/problem"
)

// Part is one service of a route with its share of the requests.
type Part struct {
	Service string
	Weight  int
}

// Route sends the requests of one host and path prefix to services.
type Route struct {
	Name   string
	Host   string
	Prefix string
	// Parts has at least one entry, and a positive total weight.
	Parts      []Part
	Idempotent bool
	// Timeout bounds how long a caller waits; zero for no bound.
	Timeout time.Duration
	// Objective is the time within which an answer is on time; zero if none is set.
	Objective time.Duration
	// Priority is the rank of the route; 0 is the most urgent.
	Priority int
	// MaxAttempts is the number of backend servers that may receive one request.
	MaxAttempts int
	// HomeRegions are the regions that may serve the route; empty for all.
	HomeRegions []string
}

// Service is what operators state of a service.
type Service struct {
	Name string
	// HealthPath is the path of the health check.
	HealthPath     string
	MaxConnections int
	// Keyed services hold each key on one backend server.
	Keyed bool
	// ColdFor is how long a backend server stays cold after its start.
	ColdFor time.Duration
	// ColdRate is the number of requests a second that a cold backend server bears; zero for no bound.
	ColdRate float64
}

// Limits bound what callers may send.
type Limits struct {
	// MaxBodyBytes is the size of the largest body; zero for no bound.
	MaxBodyBytes int64
}

// Table is one configuration.
type Table struct {
	Revision uint64
	Services map[string]Service
	Limits   Limits
	hosts    map[string][]*Route
	// homes are the regions to which routes of a service are confined.
	homes map[string][]string
}

// Build returns the table of the routes. It refuses a route without a usable part or with an unknown service.
func Build(revision uint64, routes []Route, services []Service, limits Limits) (*Table, error) {
	t := &Table{Revision: revision, Limits: limits, Services: map[string]Service{}, hosts: map[string][]*Route{},
		homes: map[string][]string{}}
	for _, s := range services {
		t.Services[s.Name] = s
	}
	for i := range routes {
		r := &routes[i]
		if err := t.check(r); err != nil {
			return nil, err
		}
		host := strings.ToLower(r.Host)
		t.hosts[host] = append(t.hosts[host], r)
		t.confine(r)
	}
	// The longest prefix comes first, so that the first match is the one to take.
	for _, list := range t.hosts {
		slices.SortFunc(list, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	return t, nil
}

// confine notes the regions to which a route confines its services.
func (t *Table) confine(r *Route) {
	for _, p := range r.Parts {
		for _, home := range r.HomeRegions {
			if !slices.Contains(t.homes[p.Service], home) {
				t.homes[p.Service] = append(t.homes[p.Service], home)
			}
		}
	}
}

// Homes returns the regions to which some route confines requests for the service.
func (t *Table) Homes(service string) []string { return t.homes[service] }

func (t *Table) check(r *Route) error {
	total := 0
	for _, p := range r.Parts {
		if _, known := t.Services[p.Service]; !known {
			return problem.New(problem.UnknownService, "define the service of the route", "route %q names service %q", r.Name, p.Service)
		}
		if p.Weight < 0 {
			return problem.New(problem.Invalid, "give weights of zero or more", "route %q has weight %d", r.Name, p.Weight)
		}
		total += p.Weight
	}
	if total <= 0 {
		return problem.New(problem.Invalid, "give the route a service", "route %q sends its requests nowhere", r.Name)
	}
	return nil
}

// Match returns the route with the longest prefix of the path; nil if the host has none. The path may carry a query.
func (t *Table) Match(host, path string) *Route {
	if i := strings.IndexByte(path, '?'); i >= 0 {
		path = path[:i]
	}
	for _, r := range t.hosts[strings.ToLower(hostname(host))] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// hostname returns host without its port.
func hostname(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		return host[:i]
	}
	return host
}

// Routes returns the number of routes.
func (t *Table) Routes() int {
	n := 0
	for _, list := range t.hosts {
		n += len(list)
	}
	return n
}

// Splitter spreads the requests of each route over its parts by weight. It is not safe for concurrent use.
type Splitter struct {
	credit map[string][]int
}

// NewSplitter returns a splitter that has seen no request.
func NewSplitter() *Splitter { return &Splitter{credit: map[string][]int{}} }

// Pick returns the service of the next request. After any number of requests, each part had its share within one
// request (smooth weighted round robin).
func (s *Splitter) Pick(r *Route) string {
	if len(r.Parts) == 1 {
		return r.Parts[0].Service
	}
	credit := s.credit[r.Name]
	if len(credit) != len(r.Parts) {
		credit = make([]int, len(r.Parts))
		s.credit[r.Name] = credit
	}
	total, best := 0, -1
	for i, p := range r.Parts {
		total += p.Weight
		credit[i] += p.Weight
		if p.Weight > 0 && (best < 0 || credit[i] > credit[best]) {
			best = i
		}
	}
	credit[best] -= total
	return r.Parts[best].Service
}

// Keep forgets routes that the table no longer has.
func (s *Splitter) Keep(t *Table) {
	names := map[string]bool{}
	for _, list := range t.hosts {
		for _, r := range list {
			names[r.Name] = true
		}
	}
	for name := range s.credit {
		if !names[name] {
			delete(s.credit, name)
		}
	}
}
