package fake

import (
	"maps"
	"net/http"
	"slices"
	"sync"
	"time"
)

// StoreKey names a value.
type StoreKey struct {
	Tenant string
	Key    string
}

// call is one decoded request to a backend server.
type call struct {
	method   string
	key      StoreKey
	id       string
	slice    string
	fence    uint64
	deadline time.Duration
	body     []byte
}

// result is what running a call gave.
type result struct {
	status  int
	body    []byte
	refused bool
}

// Store holds the values of one or more backend servers and counts executions.
//
// mu guards all other fields.
type Store struct {
	mu     sync.Mutex
	values map[StoreKey][]byte
	// fences are the highest fences that were used, by slice.
	fences     map[string]uint64
	executions map[string]int
	total      int
	// regressions counts the calls that ran under a lower fence than one that ran before for the same slice.
	regressions int
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{values: map[StoreKey][]byte{}, fences: map[string]uint64{}, executions: map[string]int{}}
}

// apply runs a call. If checksFence, a call under a lower fence than the highest seen is refused.
func (s *Store) apply(c call, checksFence bool) result {
	s.mu.Lock()
	defer s.mu.Unlock()
	if checksFence && c.fence < s.fences[c.slice] {
		return result{refused: true}
	}
	regressed := c.fence < s.fences[c.slice]
	s.fences[c.slice] = max(c.fence, s.fences[c.slice])
	out := s.change(c)
	if out.status == http.StatusMethodNotAllowed {
		return out
	}
	if regressed {
		s.regressions++
	}
	s.total++
	if c.id != "" {
		s.executions[c.id]++
	}
	return out
}

// change reads or changes the value. POST appends, so that a second execution shows.
func (s *Store) change(c call) result {
	value, found := s.values[c.key]
	switch c.method {
	case http.MethodGet, http.MethodHead:
		if !found {
			return result{status: http.StatusNotFound}
		}
		return result{status: http.StatusOK, body: value}
	case http.MethodPut:
		s.values[c.key] = c.body
		return result{status: http.StatusOK, body: c.body}
	case http.MethodPost:
		s.values[c.key] = slices.Concat(value, c.body)
		return result{status: http.StatusOK, body: s.values[c.key]}
	case http.MethodDelete:
		delete(s.values, c.key)
		return result{status: http.StatusOK}
	default:
		return result{status: http.StatusMethodNotAllowed}
	}
}

// Value returns the value of a key.
func (s *Store) Value(tenant, key string) ([]byte, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	value, found := s.values[StoreKey{Tenant: tenant, Key: key}]
	return slices.Clone(value), found
}

// Executions returns how often the request with the id ran.
func (s *Store) Executions(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.executions[id]
}

// Total returns how many requests ran.
func (s *Store) Total() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.total
}

// Regressions returns how many calls ran after a call of a later owner of the same slice.
func (s *Store) Regressions() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.regressions
}

// Identified returns how many requests with an id ran.
func (s *Store) Identified() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	ran := 0
	for _, n := range s.executions {
		ran += n
	}
	return ran
}

// Duplicates returns the ids of requests that ran more than once, in order.
func (s *Store) Duplicates() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	ids := maps.Clone(s.executions)
	maps.DeleteFunc(ids, func(_ string, n int) bool { return n < 2 })
	return slices.Sorted(maps.Keys(ids))
}
