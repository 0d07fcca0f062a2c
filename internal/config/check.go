package config

import (
	"fmt"
	"slices"

	"heatherreel/internal/keyspace"
	"heatherreel/internal/problem"
)

// checkContradictions records a fault for each pair of exceptions that give the same setting different values for the
// same subjects while neither is more specific than the other. A pair is accepted if a third exception matches exactly
// the intersection of both matches, because its value then applies to the overlap.
func (d *decoder) checkContradictions() {
	var contradicted settingSet
	for i, a := range d.result.exceptions {
		for _, b := range d.result.exceptions[:i] {
			contradicted |= d.checkExceptionPair(a, b)
		}
	}
	d.invalidSettings |= contradicted
}

// checkExceptionPair records a fault for each setting in which a contradicts the earlier exception b, and returns these
// settings.
func (d *decoder) checkExceptionPair(a, b *Exception) (contradicted settingSet) {
	shared := a.overrides & b.overrides &^ d.invalidSettings
	if shared == 0 || a.Match.moreSpecificThan(&b.Match) || b.Match.moreSpecificThan(&a.Match) {
		return 0
	}
	intersection, overlaps := a.Match.intersect(&b.Match, d.result.regionOf)
	if !overlaps {
		return 0
	}
	for id := range settings {
		if !shared.has(settingID(id)) {
			continue
		}
		s := &settings[id]
		valueA, valueB := s.format(&a.values), s.format(&b.values)
		if valueA != valueB && !d.hasTieBreaker(intersection, a, b, settingID(id)) {
			contradicted |= 1 << id
			d.addFault(a.Line, "exceptions."+a.Name+".set."+s.name,
				"make one match more specific, or add an exception that matches exactly "+intersection.String(),
				"%s contradicts %s in exception %q on line %d for %s", valueA, valueB, b.Name, b.Line, intersection)
		}
	}
	return contradicted
}

// hasTieBreaker reports whether a third exception has exactly the match and sets the setting, so that its value takes
// precedence over those of a and b.
func (d *decoder) hasTieBreaker(match Match, a, b *Exception, id settingID) bool {
	return match != a.Match && match != b.Match && slices.ContainsFunc(d.result.exceptions, func(e *Exception) bool {
		return e.Match == match && e.overrides.has(id)
	})
}

// orderConstraint requires that the value of the setting lower does not exceed that of the setting upper.
type orderConstraint struct {
	lower, upper settingID
	satisfiedBy  func(s *Settings) bool
}

// orderConstraints are all constraints between two settings.
var orderConstraints = [...]orderConstraint{
	{deadline, maxDeadline, func(s *Settings) bool { return s.Deadline <= s.MaxDeadline }},
	{maxDeadline, outcomeRetention, func(s *Settings) bool { return s.MaxDeadline <= s.OutcomeRetention }},
}

// satisfiedByPair reports whether the lower setting of a and the upper setting of b satisfy the constraint.
func (c *orderConstraint) satisfiedByPair(a, b *Exception) bool {
	var values Settings
	copySetting(c.lower, &values, &a.values)
	copySetting(c.upper, &values, &b.values)
	return c.satisfiedBy(&values)
}

// checkOrderConstraints records violated constraints. If any subject violates a constraint, the two values come from
// two exceptions, or from defaults, and both still apply to the narrowest subject that both exceptions match. So only
// that subject is resolved, and only for pairs of exceptions whose own values violate the constraint: resolving it for
// all pairs took 3 s for a document with 256 exceptions.
func (d *decoder) checkOrderConstraints() {
	for _, c := range orderConstraints {
		if d.invalidSettings.has(c.lower) || d.invalidSettings.has(c.upper) {
			continue
		}
		reported := map[string]bool{}
		uppers := d.valueSources(c.upper)
		for _, a := range d.valueSources(c.lower) {
			for _, b := range uppers {
				if !c.satisfiedByPair(a, b) {
					d.checkOrderConstraint(c, a, b, reported)
				}
			}
		}
	}
}

// valueSources returns the exceptions that set the setting, preceded by one without a match that stands for the
// defaults.
func (d *decoder) valueSources(id settingID) []*Exception {
	sources := []*Exception{{values: d.result.defaults}}
	for _, e := range d.result.exceptions {
		if e.overrides.has(id) {
			sources = append(sources, e)
		}
	}
	return sources
}

// checkOrderConstraint resolves the narrowest subject that both a and b match, and records a violation once for each
// pair of values.
func (d *decoder) checkOrderConstraint(c orderConstraint, a, b *Exception, reported map[string]bool) {
	intersection, overlaps := a.Match.intersect(&b.Match, d.result.regionOf)
	if !overlaps {
		return
	}
	resolved := d.result.Resolve(intersection.minimalSubject(d.result.regionOf))
	if c.satisfiedBy(&resolved) {
		return
	}
	lower, upper := &settings[c.lower], &settings[c.upper]
	detail := fmt.Sprintf("%s %s exceeds %s %s", lower.name, lower.format(&resolved), upper.name, upper.format(&resolved))
	if reported[detail] {
		return
	}
	reported[detail] = true
	if intersection != (Match{}) {
		detail += " for " + intersection.String()
	}
	d.addFault(max(a.Line, b.Line), lower.name, fmt.Sprintf("lower %s or raise %s", lower.name, upper.name), "%s", detail)
}

// Warnings returns the problems of a valid document that an operator should know of before publishing it: sets of home
// regions whose data centres all have taken_out set, so that no data centre accepts new work for their keys.
func (c *Configuration) Warnings() []Fault {
	var out []Fault
	for _, service := range c.services {
		for _, home := range c.homesOf(service) {
			if line, all := c.allTakenOut(home); all {
				out = append(out, Fault{
					Line: line, Where: "service " + service,
					Detail: fmt.Sprintf("all data centres of home regions %s are taken out", FormatHome(home)),
					Remedy: "keep at least one of these data centres in service; otherwise requests for these keys are refused",
				})
			}
		}
	}
	return out
}

// allTakenOut reports whether taken_out is set for every data centre of the home regions, and returns the line of one
// exception that sets it.
func (c *Configuration) allTakenOut(home keyspace.Home) (line int, all bool) {
	for dataCentre, region := range c.regionOf {
		if !home.Allows(region) {
			continue
		}
		subject := Subject{DataCentre: dataCentre, Region: region}
		if !c.Resolve(subject).TakenOut {
			return 0, false
		}
		line = max(line, c.Explain(subject)[takenOut].Line)
	}
	return line, true
}

// CompatibleWith returns an error of kind problem.Invalid if c changes a value of previous that cannot change: the
// number of slices of a service for which assigned reports that slices are assigned. previous may be nil.
func (c *Configuration) CompatibleWith(previous *Configuration, assigned func(service string) bool) error {
	if previous == nil {
		return nil
	}
	var faults Faults
	for _, service := range previous.services {
		if !assigned(service) {
			continue
		}
		if fault, changed := c.sliceCountChange(previous, service); changed {
			faults = append(faults, fault)
		}
	}
	if len(faults) == 0 {
		return nil
	}
	return problem.New(problem.Invalid, "keep these values",
		"the configuration changes values that cannot change:\n%w", faults)
}

// sliceCountChange returns a fault if the number of slices of the service differs from that of previous.
func (c *Configuration) sliceCountChange(previous *Configuration, service string) (Fault, bool) {
	if !c.HasService(service) {
		return Fault{}, false
	}
	subject := Subject{Service: service}
	before, after := previous.Resolve(subject).Slices, c.Resolve(subject).Slices
	if before == after {
		return Fault{}, false
	}
	return Fault{
		Line: c.Explain(subject)[sliceCount].Line, Where: "slices of service " + service,
		Detail: fmt.Sprintf("%d would become %d, but the service has assignments", before, after),
		Remedy: fmt.Sprintf("keep %d, or give the service an exception that sets slices to %d", before, before),
	}, true
}
