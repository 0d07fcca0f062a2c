package config

import (
	"fmt"
	"slices"

	"heatherreel/internal/keyspace"
	"heatherreel/internal/problem"
)

// checkContradictions records pairs of exceptions that set the same setting differently for the same subjects while
// neither is more specific. A third exception that matches exactly what both match decides for the pair.
func (d *decoder) checkContradictions() {
	var contradicted settingSet
	for i, a := range d.out.exceptions {
		for _, b := range d.out.exceptions[:i] {
			contradicted |= d.checkPair(a, b)
		}
	}
	d.broken |= contradicted
}

// checkPair records and returns the settings in which a contradicts the earlier exception b.
func (d *decoder) checkPair(a, b *Exception) (contradicted settingSet) {
	shared := a.sets & b.sets &^ d.broken
	if shared == 0 || a.Match.moreSpecificThan(&b.Match) || b.Match.moreSpecificThan(&a.Match) {
		return 0
	}
	both, overlap := a.Match.intersect(&b.Match, d.out.regionOf)
	if !overlap {
		return 0
	}
	for id := range settings {
		if !shared.has(settingID(id)) {
			continue
		}
		s := &settings[id]
		mine, other := s.format(&a.values), s.format(&b.values)
		if mine != other && !d.decided(both, a, b, settingID(id)) {
			contradicted |= 1 << id
			d.fault(a.Line, "exceptions."+a.Name+".set."+s.name,
				"make one match more specific, or add an exception that matches exactly "+both.String(),
				"%s contradicts %s in exception %q on line %d for %s", mine, other, b.Name, b.Line, both)
		}
	}
	return contradicted
}

// decided reports whether a third exception with exactly the match sets the setting.
func (d *decoder) decided(match Match, a, b *Exception, id settingID) bool {
	return match != a.Match && match != b.Match && slices.ContainsFunc(d.out.exceptions, func(e *Exception) bool {
		return e.Match == match && e.sets.has(id)
	})
}

// combination is a pair of settings of which the lower must not exceed the upper.
type combination struct {
	lower, upper settingID
	holds        func(s *Settings) bool
}

// combinations are the pairs that cannot work in the wrong order.
var combinations = [...]combination{
	{deadline, maxDeadline, func(s *Settings) bool { return s.Deadline <= s.MaxDeadline }},
	{maxDeadline, outcomeRetention, func(s *Settings) bool { return s.MaxDeadline <= s.OutcomeRetention }},
}

// fits reports whether the lower setting of a fits the upper one of b.
func (c *combination) fits(a, b *Exception) bool {
	var values Settings
	copySetting(c.lower, &values, &a.values)
	copySetting(c.upper, &values, &b.values)
	return c.holds(&values)
}

// checkCombinations records subjects whose settings cannot work together. The two values of a pair come from two
// exceptions, or from defaults, and both still decide for the narrowest subject that both match. So it is enough to
// resolve that subject for each two exceptions whose own values do not fit: resolving it for all of them took 3 s for
// a document with 256 exceptions.
func (d *decoder) checkCombinations() {
	for _, c := range combinations {
		if d.broken.has(c.lower) || d.broken.has(c.upper) {
			continue
		}
		reported := map[string]bool{}
		uppers := d.setting(c.upper)
		for _, a := range d.setting(c.lower) {
			for _, b := range uppers {
				if !c.fits(a, b) {
					d.checkCombination(c, a, b, reported)
				}
			}
		}
	}
}

// setting returns the exceptions that set it, and one without a match that stands for defaults.
func (d *decoder) setting(id settingID) []*Exception {
	list := []*Exception{{values: d.out.defaults}}
	for _, e := range d.out.exceptions {
		if e.sets.has(id) {
			list = append(list, e)
		}
	}
	return list
}

// checkCombination resolves the narrowest subject that a and b match, and records a violation once per pair of
// values.
func (d *decoder) checkCombination(c combination, a, b *Exception, reported map[string]bool) {
	both, overlap := a.Match.intersect(&b.Match, d.out.regionOf)
	if !overlap {
		return
	}
	resolved := d.out.Resolve(both.subject(d.out.regionOf))
	if c.holds(&resolved) {
		return
	}
	lower, upper := &settings[c.lower], &settings[c.upper]
	detail := fmt.Sprintf("%s %s exceeds %s %s", lower.name, lower.format(&resolved), upper.name, upper.format(&resolved))
	if reported[detail] {
		return
	}
	reported[detail] = true
	if both != (Match{}) {
		detail += " for " + both.String()
	}
	d.fault(max(a.Line, b.Line), lower.name, fmt.Sprintf("lower %s or raise %s", lower.name, upper.name), "%s", detail)
}

// Warnings returns what an operator should know before publishing, although the document is valid: sets of home
// regions without a data centre that takes work.
func (c *Configuration) Warnings() []Fault {
	var out []Fault
	for _, service := range c.services {
		for _, home := range c.homesOf(service) {
			if line, all := c.allTakenOut(home); all {
				out = append(out, Fault{
					Line: line, Where: "service " + service,
					Detail: fmt.Sprintf("all data centres of home regions %s are taken out", FormatHome(home)),
					Remedy: "keep one data centre in, or expect that requests for these keys are refused",
				})
			}
		}
	}
	return out
}

// allTakenOut reports whether every data centre of the home regions is taken out, and the line of one exception that
// does it.
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

// CompatibleWith returns an error of kind problem.Invalid if c changes what cannot change after previous: the
// number of slices of a service for which assigned reports assignments. previous may be nil.
func (c *Configuration) CompatibleWith(previous *Configuration, assigned func(service string) bool) error {
	if previous == nil {
		return nil
	}
	var faults Faults
	for _, service := range previous.services {
		if !assigned(service) {
			continue
		}
		if fault, changed := c.sliceChange(previous, service); changed {
			faults = append(faults, fault)
		}
	}
	if len(faults) == 0 {
		return nil
	}
	return problem.New(problem.Invalid, "keep these values", "the configuration changes what is fixed:\n%w", faults)
}

// sliceChange reports a changed number of slices of a service.
func (c *Configuration) sliceChange(previous *Configuration, service string) (Fault, bool) {
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
