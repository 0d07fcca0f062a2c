package fake

import (
	"sync"

	"heatherreel/internal/operator"
	"heatherreel/internal/problem"
)

// OperatorSource is an operator.Source that returns fixed values.
//
// mu guards answers.
type OperatorSource struct {
	mu      sync.Mutex
	answers OperatorAnswers
}

// OperatorAnswers are the values that the methods of an OperatorSource return.
type OperatorAnswers struct {
	Health        operator.Health
	Status        operator.Status
	Explanation   operator.Explanation
	Configuration operator.Configuration
}

// NewOperatorSource returns a source with the answers. Its method Explain knows only the service of
// answers.Explanation.
func NewOperatorSource(answers OperatorAnswers) *OperatorSource {
	return &OperatorSource{answers: answers}
}

// Set replaces the answers.
func (s *OperatorSource) Set(answers OperatorAnswers) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answers = answers
}

// get returns the present answers.
func (s *OperatorSource) get() OperatorAnswers {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.answers
}

// Health implements operator.Source.
func (s *OperatorSource) Health() operator.Health { return s.get().Health }

// Status implements operator.Source.
func (s *OperatorSource) Status() operator.Status { return s.get().Status }

// Configuration implements operator.Source.
func (s *OperatorSource) Configuration() operator.Configuration { return s.get().Configuration }

// Explain implements operator.Source.
func (s *OperatorSource) Explain(query operator.ExplainQuery) (operator.Explanation, error) {
	e := s.get().Explanation
	if query.Service != e.Service {
		return operator.Explanation{}, problem.New(problem.UnknownService, "use a service of the configuration",
			"service %q is unknown", query.Service)
	}
	return e, nil
}
