package config

import (
	"fmt"
	"regexp"
	"slices"
	"strings"

	"go.yaml.in/yaml/v3"

	"heatherreel/internal/problem"
)

// Bounds of a document.
const (
	// MaxDocument is the largest document, in bytes; it travels in one log record.
	MaxDocument = 1 << 20
	// maxExceptions bounds the checks, which compare exceptions with each other.
	maxExceptions = 256
	// maxFaults bounds a report; a person corrects the first ones first.
	maxFaults = 100
	// maxKeyPrefix is the longest key prefix, in bytes.
	maxKeyPrefix = 1024
)

// namePattern excludes the characters that separate names in groups, slices and addresses.
var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`)

// Fault is one thing that is wrong with a document, or that an operator should know before publishing it.
type Fault struct {
	// Line is where the fault stands; zero for the whole document.
	Line int `json:"line"`
	// Where is the path of the field, such as defaults.deadline.
	Where  string `json:"where"`
	Detail string `json:"detail"`
	Remedy string `json:"remedy"`
}

// String returns the fault on one line.
func (f Fault) String() string {
	return fmt.Sprintf("line %d: %s: %s; remedy: %s", f.Line, f.Where, f.Detail, f.Remedy)
}

// Faults are all faults of a document in the order of their lines. They are the cause of Decode's error.
type Faults []Fault

// Error returns one fault a line.
func (f Faults) Error() string {
	lines := make([]string, 0, len(f))
	for _, fault := range f {
		lines = append(lines, fault.String())
	}
	return strings.Join(lines, "\n")
}

// decoder collects a configuration and all its faults.
type decoder struct {
	out    *Configuration
	faults Faults
	// broken are the settings with a fault in one of their values or matches. The checks that compare values leave
	// them out, because they would report consequences of that fault.
	broken settingSet
}

// Decode reads and checks a YAML document. Its error is of kind problem.Invalid and wraps Faults with all faults.
func Decode(document []byte) (*Configuration, error) {
	d := &decoder{out: &Configuration{
		regions: map[string][]string{}, regionOf: map[string]string{}, defaults: builtIn,
	}}
	if root := d.parse(document); root != nil {
		d.document(root)
	}
	d.checkContradictions()
	d.out.index()
	d.checkCombinations()
	if len(d.faults) > 0 {
		return nil, d.failure()
	}
	return d.out, nil
}

// failure returns the error for the collected faults.
func (d *decoder) failure() error {
	slices.SortStableFunc(d.faults, func(a, b Fault) int { return a.Line - b.Line })
	count := len(d.faults)
	if count > maxFaults {
		d.faults = d.faults[:maxFaults]
	}
	return problem.New(problem.Invalid, "correct the document and validate it again",
		"the configuration has %d faults:\n%w", count, d.faults)
}

// fault records a fault at the line.
func (d *decoder) fault(line int, where, remedy, format string, args ...any) {
	d.faults = append(d.faults, Fault{Line: line, Where: where, Detail: fmt.Sprintf(format, args...), Remedy: remedy})
}

// wrong records what a codec found.
func (d *decoder) wrong(where string, w *wrong) {
	d.fault(w.line, where, w.remedy, "%s", w.detail)
}

// parse returns the root node of a document that has one YAML document without anchors and aliases.
func (d *decoder) parse(document []byte) *yaml.Node {
	if len(document) > MaxDocument {
		d.fault(0, "document", "shorten it; replace similar exceptions by one with a wider match",
			"%d bytes are more than %d", len(document), MaxDocument)
		return nil
	}
	reader := yaml.NewDecoder(strings.NewReader(string(document)))
	var root, second yaml.Node
	if err := reader.Decode(&root); err != nil {
		d.fault(yamlLine(err), "document", "correct the YAML syntax", "%s", err)
		return nil
	}
	if reader.Decode(&second) == nil {
		d.fault(second.Line, "document", "keep one document per file", "a second YAML document follows")
		return nil
	}
	if len(root.Content) != 1 || d.hasAnchors(&root) {
		return nil
	}
	return root.Content[0]
}

// yamlLine returns the line that a syntax error names, or zero.
func yamlLine(err error) int {
	line := 0
	if _, rest, found := strings.Cut(err.Error(), "line "); found {
		fmt.Sscanf(rest, "%d", &line)
	}
	return line
}

// hasAnchors records anchors and aliases. They would let one line change distant ones, and could expand to a
// document of any size.
func (d *decoder) hasAnchors(n *yaml.Node) bool {
	if n.Anchor != "" || n.Kind == yaml.AliasNode {
		d.fault(n.Line, "document", "write the value out", "anchors and aliases are not allowed")
		return true
	}
	found := false
	for _, child := range n.Content {
		found = d.hasAnchors(child) || found
	}
	return found
}

// field is one entry of a mapping.
type field struct {
	name  string
	key   *yaml.Node
	value *yaml.Node
}

// mapping returns the entries of a mapping whose keys are texts without repetition.
func (d *decoder) mapping(n *yaml.Node, where string) []field {
	if n.Kind != yaml.MappingNode {
		d.fault(n.Line, where, "write name: value pairs", "a %s stands where a mapping is expected", kindName(n))
		return nil
	}
	var entries []field
	seen := map[string]int{}
	for i := 0; i+1 < len(n.Content); i += 2 {
		key := n.Content[i]
		name, w := scalar(key, "write a name", tagString)
		if w != nil {
			d.wrong(where, w)
			continue
		}
		if line, again := seen[name]; again {
			d.fault(key.Line, where+"."+name, "keep one of them", "the key repeats the one on line %d", line)
			continue
		}
		seen[name] = key.Line
		entries = append(entries, field{name: name, key: key, value: n.Content[i+1]})
	}
	return entries
}

// known returns the entries whose names are allowed, by name, and records the others as faults.
func (d *decoder) known(n *yaml.Node, where string, allowed ...string) map[string]field {
	found := map[string]field{}
	for _, e := range d.mapping(n, where) {
		if slices.Contains(allowed, e.name) {
			found[e.name] = e
			continue
		}
		d.fault(e.key.Line, where, "remove it or use one of: "+strings.Join(allowed, ", "), "field %q is unknown", e.name)
	}
	return found
}

// document decodes the top level. Names come first, because the rest refers to them.
func (d *decoder) document(n *yaml.Node) {
	top := d.known(n, "document", "regions", "services", "tenants", "defaults", "exceptions")
	for _, required := range []string{"regions", "services", "defaults"} {
		if _, ok := top[required]; !ok && n.Kind == yaml.MappingNode {
			d.fault(n.Line, required, "add it at the top level", "the field is missing")
		}
	}
	if f, ok := top["regions"]; ok {
		d.regions(f.value)
	}
	if f, ok := top["services"]; ok {
		d.out.services = d.names(f.value, "services")
	}
	if f, ok := top["tenants"]; ok {
		d.out.tenants = d.names(f.value, "tenants")
	}
	if f, ok := top["defaults"]; ok {
		d.defaults(f.value)
	}
	if f, ok := top["exceptions"]; ok {
		d.exceptions(f.value)
	}
}

// names decodes a list of names. It returns the valid ones besides recording faults, so that one wrong name does not
// make the others unknown.
func (d *decoder) names(n *yaml.Node, where string) []string {
	const remedy = "write a list of names"
	if n.Kind != yaml.SequenceNode || len(n.Content) == 0 {
		d.fault(n.Line, where, remedy, "a %s without names stands where a list of names is expected", kindName(n))
		return nil
	}
	var names []string
	seen := map[string]bool{}
	for _, item := range n.Content {
		name, w := scalar(item, remedy, tagString)
		if w != nil {
			d.wrong(where, w)
			continue
		}
		d.checkName(item, where, name)
		if seen[name] {
			d.fault(item.Line, where, "remove the repetition", "%q stands in the list twice", name)
			continue
		}
		seen[name] = true
		names = append(names, name)
	}
	return names
}

// checkName records a name with characters that are not allowed.
func (d *decoder) checkName(n *yaml.Node, where, name string) {
	if !namePattern.MatchString(name) {
		d.fault(n.Line, where, "use 1 to 63 letters, digits, '.', '_' and '-', with a letter or digit first",
			"%q is not a valid name", name)
	}
}

// regions decodes the regions and their data centres.
func (d *decoder) regions(n *yaml.Node) {
	entries := d.mapping(n, "regions")
	if n.Kind == yaml.MappingNode && len(entries) == 0 {
		d.fault(n.Line, "regions", "name at least one region", "there is no region")
	}
	for _, e := range entries {
		where := "regions." + e.name
		d.checkName(e.key, "regions", e.name)
		d.out.regions[e.name] = nil
		list, ok := d.known(e.value, where, "data_centres")["data_centres"]
		if !ok {
			d.fault(e.key.Line, where, "add data_centres with a list of names", "the region has no data_centres")
			continue
		}
		d.out.regions[e.name] = d.names(list.value, where+".data_centres")
		d.placeDataCentres(e)
	}
	if _, clash := d.out.regions[anyRegion]; clash {
		d.fault(n.Line, "regions", "choose another name", "%q stands for all regions", anyRegion)
	}
}

// placeDataCentres records the region of each data centre.
func (d *decoder) placeDataCentres(region field) {
	for _, name := range d.out.regions[region.name] {
		if other, taken := d.out.regionOf[name]; taken {
			d.fault(region.value.Line, "regions."+region.name, "keep it in one region",
				"data centre %q is also in region %q", name, other)
			continue
		}
		d.out.regionOf[name] = region.name
	}
}

// defaults decodes the defaults and records required settings that are missing.
func (d *decoder) defaults(n *yaml.Node) {
	d.out.stated = d.settings(n, "defaults", &d.out.defaults)
	if n.Kind != yaml.MappingNode {
		return
	}
	for id := range settings {
		s := &settings[id]
		if s.exceptionOnly && d.out.stated.has(settingID(id)) {
			d.fault(n.Line, "defaults."+s.name, "set it in an exception that matches "+s.matchedBy.String(),
				"the setting is not allowed in defaults")
		}
		if s.fallback == "" && !d.out.stated.has(settingID(id)) {
			d.fault(n.Line, "defaults."+s.name, "state it; it has no safe default", "the setting is missing")
		}
	}
}

// settings decodes the settings of a mapping into the target and returns which ones it names.
func (d *decoder) settings(n *yaml.Node, where string, into *Settings) settingSet {
	var sets settingSet
	for _, e := range d.mapping(n, where) {
		id, ok := settingByName(e.name)
		if !ok {
			d.fault(e.key.Line, where, "remove it or use one of: "+strings.Join(SettingNames(), ", "),
				"setting %q is unknown", e.name)
			continue
		}
		sets |= 1 << id
		if w := settings[id].decode(d, e.value, into); w != nil {
			d.wrong(where+"."+e.name, w)
			d.broken |= 1 << id
		}
	}
	return sets
}

// exceptions decodes the list of exceptions.
func (d *decoder) exceptions(n *yaml.Node) {
	if n.Kind != yaml.SequenceNode {
		d.fault(n.Line, "exceptions", "write a list, or remove the field", "a %s stands where a list is expected", kindName(n))
		return
	}
	if len(n.Content) > maxExceptions {
		d.fault(n.Line, "exceptions", "replace similar exceptions by one with a wider match",
			"%d exceptions are more than %d", len(n.Content), maxExceptions)
		return
	}
	names := map[string]int{}
	for i, item := range n.Content {
		e := d.exception(item, fmt.Sprintf("exceptions[%d]", i))
		if line, again := names[e.Name]; again && e.Name != "" {
			d.fault(item.Line, "exceptions."+e.Name, "give it another name", "the name is used on line %d", line)
		}
		names[e.Name] = item.Line
		d.out.exceptions = append(d.out.exceptions, e)
	}
}

// exception decodes one exception. The place names it in faults until its name is known.
func (d *decoder) exception(n *yaml.Node, place string) *Exception {
	e := &Exception{Line: n.Line}
	before := len(d.faults)
	parts := d.known(n, place, "name", "reason", "match", "set")
	e.Name = d.requiredText(parts, "name", place, n.Line, "give it a short name")
	if e.Name != "" {
		d.checkName(parts["name"].value, place, e.Name)
		place = "exceptions." + e.Name
	}
	e.Reason = d.requiredText(parts, "reason", place, n.Line, "write down why it exists")
	if f, ok := parts["match"]; ok {
		e.Match = d.match(f.value, place+".match")
	} else {
		d.fault(n.Line, place, "add a match, or change defaults if it concerns everything", "the exception has no match")
	}
	f, ok := parts["set"]
	if !ok {
		d.fault(n.Line, place, "add set with the settings it replaces", "the exception sets nothing")
		return e
	}
	e.sets = d.settings(f.value, place+".set", &e.values)
	if f.value.Kind == yaml.MappingNode && len(f.value.Content) == 0 {
		d.fault(f.value.Line, place, "add set with the settings it replaces", "the exception sets nothing")
	}
	d.checkMatchable(e, f.value, place)
	if len(d.faults) > before {
		d.broken |= e.sets
	}
	return e
}

// requiredText returns the text of a field that must not be blank.
func (d *decoder) requiredText(parts map[string]field, name, place string, line int, remedy string) string {
	f, ok := parts[name]
	if !ok {
		d.fault(line, place, remedy, "the exception has no %s", name)
		return ""
	}
	text, w := scalar(f.value, remedy, tagString)
	if w != nil {
		d.wrong(place+"."+name, w)
		return ""
	}
	text = strings.TrimSpace(text)
	if text == "" {
		d.fault(f.value.Line, place, remedy, "the %s is blank", name)
	}
	return text
}

// match decodes a match and checks that it can match anything.
func (d *decoder) match(n *yaml.Node, where string) Match {
	var m Match
	parts := d.known(n, where, matchFieldNames[:]...)
	for bit, target := range m.values() {
		f, ok := parts[matchFieldNames[bit]]
		if !ok {
			continue
		}
		text, w := scalar(f.value, "write a name", tagString)
		if w != nil {
			d.wrong(where+"."+f.name, w)
			continue
		}
		*target = text
		d.checkMatchValue(f, where, fields(1<<bit), text)
	}
	if n.Kind == yaml.MappingNode && len(n.Content) == 0 {
		d.fault(n.Line, where, "name at least one of: "+strings.Join(matchFieldNames[:], ", "), "the match is empty")
	}
	if region := d.out.regionOf[m.DataCentre]; region != "" && m.Region != "" && region != m.Region {
		d.fault(n.Line, where, "remove region or name "+region,
			"data centre %q is not in region %q, so nothing matches", m.DataCentre, m.Region)
	}
	return m
}

// checkMatchValue records a value that names nothing in the document.
func (d *decoder) checkMatchValue(f field, where string, by fields, text string) {
	var exists bool
	switch by {
	case byService:
		exists = slices.Contains(d.out.services, text)
	case byTenant:
		exists = slices.Contains(d.out.tenants, text)
	case byDataCentre:
		_, exists = d.out.regionOf[text]
	case byRegion:
		_, exists = d.out.regions[text]
	case byKeyPrefix:
		exists = text != "" && len(text) <= maxKeyPrefix
	}
	if exists {
		return
	}
	if by == byKeyPrefix {
		d.fault(f.value.Line, where+"."+f.name, fmt.Sprintf("write 1 to %d bytes", maxKeyPrefix), "the prefix has %d bytes", len(text))
		return
	}
	d.fault(f.value.Line, where+"."+f.name, "correct it, or add it to the names of this document", "%s %q is unknown",
		strings.ReplaceAll(f.name, "_", " "), text)
}

// checkMatchable records settings that the match may not select.
func (d *decoder) checkMatchable(e *Exception, set *yaml.Node, place string) {
	for id := range settings {
		s := &settings[id]
		excess := e.Match.named() &^ s.matchedBy
		if e.sets.has(settingID(id)) && excess != 0 {
			d.fault(set.Line, place+".set."+s.name, "match it only by "+s.matchedBy.String(),
				"the setting cannot depend on %s", excess)
		}
	}
}
