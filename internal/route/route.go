// Package route holds the table of routes that operators publish, and finds the route of a request by host and path.
// Package routed defines the requests and answers that nodes exchange for such routes, and package routing decides for
// requests of tenants whether a node serves, forwards, redirects or refuses them.
//
// A Table does not change after Build, so it is safe for concurrent reads.
package route

import (
	"slices"
	"strings"
	"time"

	"heatherreel/internal/problem"
	"heatherreel/internal/tenantauth"
)

// WeightedService is one service of a route, with the weight that determines its share of the requests.
type WeightedService struct {
	Service string
	Weight  int
}

// Route sends the requests of one host and path prefix to services.
type Route struct {
	Name   string
	Host   string
	Prefix string
	// Services has at least one entry and a positive total weight.
	Services   []WeightedService
	Idempotent bool
	// Timeout limits how long a caller waits; zero means no limit.
	Timeout time.Duration
	// Objective is the target response time, within which an answer is on time; zero if none is set.
	Objective time.Duration
	// Priority is the priority of the route's requests; 0 is the most urgent.
	Priority int
	// MaxAttempts is the maximum number of backend servers that may receive one request.
	MaxAttempts int
	// HomeRegions are the regions that may serve the route; empty for all.
	HomeRegions []string
	// AllowAnonymous is set if requests need no API key of a tenant.
	AllowAnonymous bool
}

// Service is the configuration of a service.
type Service struct {
	Name string
	// HealthPath is the path of the health check.
	HealthPath     string
	MaxConnections int
	// Keyed is set if each key of the service is owned by one backend server.
	Keyed bool
	// ColdFor is how long a backend server stays cold after its start.
	ColdFor time.Duration
	// ColdRate is the number of requests per second that a cold backend server can handle; zero means no limit.
	ColdRate float64
}

// Limits bound what callers may send.
type Limits struct {
	// MaxBodyBytes is the maximum size of a request body; zero means no limit.
	MaxBodyBytes int64
	// MaxHeaderBytes is the maximum size of a head; zero means the default of the server.
	MaxHeaderBytes int
	// HeaderTimeout is the time for a head, and IdleTimeout how long a connection is kept without requests; zero means the
	// default of the server.
	HeaderTimeout, IdleTimeout time.Duration
}

// Replacement is a value of a published configuration in place of which nodes use another one, because it is out of range.
type Replacement struct {
	// Kind is the kind of the entry, such as "route", and Name its name; empty for the limits.
	Kind, Name string
	// Field names the value. Published is the number in the record, and Used the one that nodes use.
	Field           string
	Published, Used any
}

// Table is one revision of the configuration of routes and services.
type Table struct {
	Revision uint64
	Services map[string]Service
	Limits   Limits
	// Tenants is nil if requests belong to no tenants. It is set before the table is in use.
	Tenants *tenantauth.Table
	// hosts holds the routes of each host in lower case, the longest prefix first.
	hosts map[string][]*Route
	// homes holds, for each service, the home regions of all its routes.
	homes map[string][]string
}

// Build returns the table of the routes. It returns an error for a route that names an unknown service or has no
// service with a positive weight.
func Build(revision uint64, routes []Route, services []Service, limits Limits) (*Table, error) {
	t := &Table{Revision: revision, Limits: limits, Services: map[string]Service{}, hosts: map[string][]*Route{},
		homes: map[string][]string{}}
	for _, s := range services {
		t.Services[s.Name] = s
	}
	for i := range routes {
		r := &routes[i]
		if err := t.validate(r); err != nil {
			return nil, err
		}
		host := strings.ToLower(r.Host)
		t.hosts[host] = append(t.hosts[host], r)
		t.addHomes(r)
	}
	// The longest prefix comes first, so that the first match is the most specific one.
	for _, list := range t.hosts {
		slices.SortFunc(list, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	return t, nil
}

// addHomes adds the home regions of a route to those of its services.
func (t *Table) addHomes(r *Route) {
	for _, weighted := range r.Services {
		for _, home := range r.HomeRegions {
			if !slices.Contains(t.homes[weighted.Service], home) {
				t.homes[weighted.Service] = append(t.homes[weighted.Service], home)
			}
		}
	}
}

// HomeRegions returns the regions to which any route restricts requests for the service.
func (t *Table) HomeRegions(service string) []string { return t.homes[service] }

// maxWeight keeps sums of weights far below the end of their type.
const maxWeight = 1_000_000_000

// validate returns an error if a route names an unknown service, has a weight out of range or has no positive weight.
func (t *Table) validate(r *Route) error {
	total := 0
	for _, weighted := range r.Services {
		if _, known := t.Services[weighted.Service]; !known {
			return problem.New(problem.UnknownService, "define the service of the route", "route %q names service %q", r.Name, weighted.Service)
		}
		if weighted.Weight < 0 || weighted.Weight > maxWeight {
			return problem.New(problem.Invalid, "give weights from zero to a thousand million", "route %q has weight %d", r.Name, weighted.Weight)
		}
		total += weighted.Weight
	}
	if total <= 0 {
		return problem.New(problem.Invalid, "give the route a service", "route %q has no service with a positive weight", r.Name)
	}
	return nil
}

// Match returns the route of the host with the longest prefix of the path; nil if none matches. The path may include a
// query, which is ignored.
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

// RouteCount returns the number of routes.
func (t *Table) RouteCount() int {
	n := 0
	for _, list := range t.hosts {
		n += len(list)
	}
	return n
}

// Splitter distributes the requests of each route over its services by weight. It is not safe for concurrent use.
type Splitter struct {
	// currentWeights holds, by the name of a route, the current weight of each service in the smooth weighted round
	// robin.
	currentWeights map[string][]int
}

// NewSplitter returns a splitter without any state.
func NewSplitter() *Splitter { return &Splitter{currentWeights: map[string][]int{}} }

// Pick returns the service of the next request by smooth weighted round robin: after any number of requests, the number
// that each service has received differs from its share by less than the number of services.
func (s *Splitter) Pick(r *Route) string {
	if len(r.Services) == 1 {
		return r.Services[0].Service
	}
	currentWeights := s.currentWeights[r.Name]
	if len(currentWeights) != len(r.Services) {
		currentWeights = make([]int, len(r.Services))
		s.currentWeights[r.Name] = currentWeights
	}
	total, best := 0, -1
	for i, weighted := range r.Services {
		total += weighted.Weight
		currentWeights[i] += weighted.Weight
		if weighted.Weight > 0 && (best < 0 || currentWeights[i] > currentWeights[best]) {
			best = i
		}
	}
	currentWeights[best] -= total
	return r.Services[best].Service
}

// Prune removes the state of routes that are not in the table.
func (s *Splitter) Prune(t *Table) {
	names := map[string]bool{}
	for _, list := range t.hosts {
		for _, r := range list {
			names[r.Name] = true
		}
	}
	for name := range s.currentWeights {
		if !names[name] {
			delete(s.currentWeights, name)
		}
	}
}
