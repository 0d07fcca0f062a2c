package telemetry

import (
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"heatherreel/internal/request"
)

// serviceTable holds the recording options of each service, built in advance. It is immutable.
type serviceTable struct {
	known map[string]*serviceOptions
	other *serviceOptions
}

// newServiceTable builds the options of the services.
func newServiceTable(names []string) *serviceTable {
	t := &serviceTable{known: make(map[string]*serviceOptions, len(names)), other: newServiceOptions(otherValue)}
	for _, name := range names {
		t.known[name] = newServiceOptions(name)
	}
	return t
}

// lookup returns the options of the service, or those of "other" if the configuration does not contain it.
func (t *serviceTable) lookup(service string) *serviceOptions {
	if options, ok := t.known[service]; ok {
		return options
	}
	return t.other
}

// label returns the label value of the service: its name, or "other" if the configuration does not contain it.
func (t *serviceTable) label(service string) string {
	if _, ok := t.known[service]; ok {
		return service
	}
	return otherValue
}

// requestLabels are the labels of the request counter other than the service.
type requestLabels struct {
	role    Role
	outcome request.Outcome
	reason  request.Reason
}

// serviceOptions holds the recording options of one service.
type serviceOptions struct {
	service   []metric.AddOption
	durations [roleCount][]metric.RecordOption
	requests  map[requestLabels][]metric.AddOption
}

// newServiceOptions builds the options of the service for each combination of role, outcome and reason.
func newServiceOptions(name string) *serviceOptions {
	service := attribute.String(labelService, name)
	o := &serviceOptions{service: addOptions(service), requests: map[requestLabels][]metric.AddOption{}}
	for role := range roleCount {
		roleLabel := attribute.String(labelRole, role.String())
		o.durations[role] = []metric.RecordOption{metric.WithAttributeSet(attribute.NewSet(service, roleLabel))}
		for _, outcome := range outcomes {
			for _, reason := range append([]request.Reason{otherValue}, reasons...) {
				o.requests[requestLabels{role, outcome, reason}] = addOptions(service, roleLabel,
					attribute.String(labelOutcome, outcome.String()), attribute.String(labelReason, string(reason)))
			}
		}
	}
	return o
}

// request returns the options of the request counter for the labels. An unknown reason is counted as "other".
func (o *serviceOptions) request(role Role, outcome request.Outcome, reason request.Reason) []metric.AddOption {
	if options, ok := o.requests[requestLabels{role, outcome, reason}]; ok {
		return options
	}
	return o.requests[requestLabels{role, outcome, otherValue}]
}
