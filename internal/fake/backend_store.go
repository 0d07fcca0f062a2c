package fake

import (
	"maps"
	"net/http"
	"slices"
	"sync"
	"time"
)

// BackendStoreKey identifies a value in a BackendStore.
type BackendStoreKey struct {
	Tenant string
	Key    string
}

// keyRequest is a decoded request for one key.
type keyRequest struct {
	method  string
	key     BackendStoreKey
	id      string
	slice   string
	fence   uint64
	timeout time.Duration
	body    []byte
}

// executionResult is the result of executing a keyRequest. If refused is set, the request did not run because its fence
// is out of date.
type executionResult struct {
	status  int
	body    []byte
	refused bool
}

// BackendStore holds the values of one or more backend servers and counts executed requests.
//
// mu guards all other fields.
type BackendStore struct {
	mu     sync.Mutex
	values map[BackendStoreKey][]byte
	// highestFences maps the text form of a slice to the highest fence seen for it.
	highestFences map[string]uint64
	// executions counts the executed requests by request id.
	executions      map[string]int
	totalExecutions int
	// fenceRegressions counts the requests that ran under a lower fence than an earlier one for the same slice.
	fenceRegressions int
}

// NewBackendStore returns an empty store.
func NewBackendStore() *BackendStore {
	return &BackendStore{values: map[BackendStoreKey][]byte{}, highestFences: map[string]uint64{}, executions: map[string]int{}}
}

// execute runs a request. If checksFence is set, it refuses a request whose fence is lower than the highest seen for
// the slice.
func (s *BackendStore) execute(req keyRequest, checksFence bool) executionResult {
	s.mu.Lock()
	defer s.mu.Unlock()
	if checksFence && req.fence < s.highestFences[req.slice] {
		return executionResult{refused: true}
	}
	regressed := req.fence < s.highestFences[req.slice]
	s.highestFences[req.slice] = max(req.fence, s.highestFences[req.slice])
	result := s.applyMethod(req)
	if result.status == http.StatusMethodNotAllowed {
		return result
	}
	if regressed {
		s.fenceRegressions++
	}
	s.totalExecutions++
	if req.id != "" {
		s.executions[req.id]++
	}
	return result
}

// applyMethod reads or writes the value. POST appends to it, so that a duplicate execution is visible in the value.
func (s *BackendStore) applyMethod(req keyRequest) executionResult {
	value, found := s.values[req.key]
	switch req.method {
	case http.MethodGet, http.MethodHead:
		if !found {
			return executionResult{status: http.StatusNotFound}
		}
		return executionResult{status: http.StatusOK, body: value}
	case http.MethodPut:
		s.values[req.key] = req.body
		return executionResult{status: http.StatusOK, body: req.body}
	case http.MethodPost:
		s.values[req.key] = slices.Concat(value, req.body)
		return executionResult{status: http.StatusOK, body: s.values[req.key]}
	case http.MethodDelete:
		delete(s.values, req.key)
		return executionResult{status: http.StatusOK}
	default:
		return executionResult{status: http.StatusMethodNotAllowed}
	}
}

// Value returns a copy of the value of a key, and whether the key exists.
func (s *BackendStore) Value(tenant, key string) ([]byte, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	value, found := s.values[BackendStoreKey{Tenant: tenant, Key: key}]
	return slices.Clone(value), found
}

// Executions returns how many times the request with the id ran.
func (s *BackendStore) Executions(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.executions[id]
}

// TotalExecutions returns how many requests ran, with or without an id.
func (s *BackendStore) TotalExecutions() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.totalExecutions
}

// FenceRegressions returns how many requests ran under a lower fence than an earlier request for the same slice, that
// is, after a later owner of the slice had sent one.
func (s *BackendStore) FenceRegressions() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fenceRegressions
}

// ExecutionsWithID returns how many requests with an id ran. Repeated executions of one id all count.
func (s *BackendStore) ExecutionsWithID() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	total := 0
	for _, n := range s.executions {
		total += n
	}
	return total
}

// Duplicates returns the sorted ids of requests that ran more than once.
func (s *BackendStore) Duplicates() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	ids := maps.Clone(s.executions)
	maps.DeleteFunc(ids, func(_ string, n int) bool { return n < 2 })
	return slices.Sorted(maps.Keys(ids))
}
