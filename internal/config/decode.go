package config

import (
	"fmt"
	"regexp"
	"slices"
	"strings"

	"go.yaml.in/yaml/v3"

	"heatherreel/internal/problem"
)

// Limits of a document.
const (
	// MaxDocument is the maximum size of a document in bytes; a document is published as one log record.
	MaxDocument = 1 << 20
	// maxExceptions limits the cost of the checks, which compare all pairs of exceptions.
	maxExceptions = 256
	// maxFaults limits the faults in a report; operators correct the first ones first.
	maxFaults = 100
	// maxKeyPrefix is the maximum length of a key prefix in bytes.
	maxKeyPrefix = 1024
)

// namePattern excludes the characters that separate names in the text forms of groups, slices and addresses.
var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`)

// Fault is an error in a document, or a warning that an operator should read before publishing it.
type Fault struct {
	// Line is the line of the fault; zero for the whole document.
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

// Faults are the faults of a document, sorted by line. The error of Decode wraps them.
type Faults []Fault

// Error returns the faults, one per line.
func (f Faults) Error() string {
	lines := make([]string, 0, len(f))
	for _, fault := range f {
		lines = append(lines, fault.String())
	}
	return strings.Join(lines, "\n")
}

// decoder decodes one document and collects its faults.
type decoder struct {
	result *Configuration
	faults Faults
	// invalidSettings are the settings with a fault in one of their values or matches. The checks that compare values
	// skip them, because they would report consequences of that fault.
	invalidSettings settingSet
}

// Decode decodes and validates a YAML document. Its error is of kind problem.Invalid and wraps Faults, which holds the
// first maxFaults faults by line.
func Decode(document []byte) (*Configuration, error) {
	d := &decoder{result: &Configuration{
		regions: map[string][]string{}, regionOf: map[string]string{}, defaults: builtInSettings,
	}}
	if root := d.parseYAML(document); root != nil {
		d.decodeDocument(root)
	}
	d.checkContradictions()
	d.result.buildIndexes()
	d.checkOrderConstraints()
	if len(d.faults) > 0 {
		return nil, d.faultsError()
	}
	return d.result, nil
}

// faultsError returns the error for the collected faults.
func (d *decoder) faultsError() error {
	slices.SortStableFunc(d.faults, func(a, b Fault) int { return a.Line - b.Line })
	count := len(d.faults)
	if count > maxFaults {
		d.faults = d.faults[:maxFaults]
	}
	return problem.New(problem.Invalid, "correct the document and validate it again",
		"the configuration has %d faults:\n%w", count, d.faults)
}

// addFault records a fault at the line.
func (d *decoder) addFault(line int, where, remedy, format string, args ...any) {
	d.faults = append(d.faults, Fault{Line: line, Where: where, Detail: fmt.Sprintf(format, args...), Remedy: remedy})
}

// addValueFault records a fault that a codec found in the value at the path where.
func (d *decoder) addValueFault(where string, fault *valueFault) {
	d.addFault(fault.line, where, fault.remedy, "%s", fault.detail)
}

// parseYAML returns the root node of the document; nil after a fault. The text must hold exactly one YAML document
// without anchors and aliases.
func (d *decoder) parseYAML(document []byte) *yaml.Node {
	if len(document) > MaxDocument {
		d.addFault(0, "document", "shorten it; replace similar exceptions with one that has a broader match",
			"the size of %d bytes exceeds the limit of %d", len(document), MaxDocument)
		return nil
	}
	reader := yaml.NewDecoder(strings.NewReader(string(document)))
	var root, second yaml.Node
	if err := reader.Decode(&root); err != nil {
		d.addFault(yamlLine(err), "document", "correct the YAML syntax", "%s", err)
		return nil
	}
	if reader.Decode(&second) == nil {
		d.addFault(second.Line, "document", "keep one document per file", "a second YAML document follows")
		return nil
	}
	if len(root.Content) != 1 || d.rejectAnchors(&root) {
		return nil
	}
	return root.Content[0]
}

// yamlLine returns the line number in the text of a YAML syntax error, or zero.
func yamlLine(err error) int {
	line := 0
	if _, rest, found := strings.Cut(err.Error(), "line "); found {
		fmt.Sscanf(rest, "%d", &line)
	}
	return line
}

// rejectAnchors records a fault for each anchor and alias below n, and reports whether there is any. With them, a
// change of one line could affect distant ones, and a small document could expand to any size.
func (d *decoder) rejectAnchors(n *yaml.Node) bool {
	if n.Anchor != "" || n.Kind == yaml.AliasNode {
		d.addFault(n.Line, "document", "write the value out in place of the alias", "anchors and aliases are not allowed")
		return true
	}
	found := false
	for _, child := range n.Content {
		found = d.rejectAnchors(child) || found
	}
	return found
}

// field is one entry of a YAML mapping.
type field struct {
	name  string
	key   *yaml.Node
	value *yaml.Node
}

// mappingFields returns the entries of a mapping, and records a fault for each key that is repeated or not a string.
func (d *decoder) mappingFields(n *yaml.Node, where string) []field {
	if n.Kind != yaml.MappingNode {
		d.addFault(n.Line, where, "write name: value pairs", "found a %s where a mapping is expected", nodeKindName(n))
		return nil
	}
	var entries []field
	seen := map[string]int{}
	for i := 0; i+1 < len(n.Content); i += 2 {
		key := n.Content[i]
		name, fault := scalar(key, "write a name", tagString)
		if fault != nil {
			d.addValueFault(where, fault)
			continue
		}
		if line, repeated := seen[name]; repeated {
			d.addFault(key.Line, where+"."+name, "keep one of them", "the key repeats the one on line %d", line)
			continue
		}
		seen[name] = key.Line
		entries = append(entries, field{name: name, key: key, value: n.Content[i+1]})
	}
	return entries
}

// knownFields returns the entries whose names are allowed, by name, and records a fault for each other entry.
func (d *decoder) knownFields(n *yaml.Node, where string, allowed ...string) map[string]field {
	found := map[string]field{}
	for _, e := range d.mappingFields(n, where) {
		if slices.Contains(allowed, e.name) {
			found[e.name] = e
			continue
		}
		d.addFault(e.key.Line, where, "remove it or use one of: "+strings.Join(allowed, ", "), "field %q is unknown", e.name)
	}
	return found
}

// decodeDocument decodes the top level. Regions, services and tenants are decoded first, because defaults and
// exceptions refer to their names.
func (d *decoder) decodeDocument(n *yaml.Node) {
	top := d.knownFields(n, "document", "regions", "services", "tenants", "defaults", "exceptions")
	for _, required := range []string{"regions", "services", "defaults"} {
		if _, ok := top[required]; !ok && n.Kind == yaml.MappingNode {
			d.addFault(n.Line, required, "add it at the top level", "the field is missing")
		}
	}
	if f, ok := top["regions"]; ok {
		d.decodeRegions(f.value)
	}
	if f, ok := top["services"]; ok {
		d.result.services = d.decodeNames(f.value, "services")
	}
	if f, ok := top["tenants"]; ok {
		d.result.tenants = d.decodeNames(f.value, "tenants")
	}
	if f, ok := top["defaults"]; ok {
		d.decodeDefaults(f.value)
	}
	if f, ok := top["exceptions"]; ok {
		d.decodeExceptions(f.value)
	}
}

// decodeNames decodes a list of names. It also returns the names that are not valid, so that one fault does not cause
// further faults where the names are used.
func (d *decoder) decodeNames(n *yaml.Node, where string) []string {
	const remedy = "write a list of names"
	if n.Kind != yaml.SequenceNode || len(n.Content) == 0 {
		d.addFault(n.Line, where, remedy, "found a %s without names where a list of names is expected", nodeKindName(n))
		return nil
	}
	var names []string
	seen := map[string]bool{}
	for _, item := range n.Content {
		name, fault := scalar(item, remedy, tagString)
		if fault != nil {
			d.addValueFault(where, fault)
			continue
		}
		d.checkName(item, where, name)
		if seen[name] {
			d.addFault(item.Line, where, "remove the repetition", "%q is listed twice", name)
			continue
		}
		seen[name] = true
		names = append(names, name)
	}
	return names
}

// checkName records a fault if the name does not match namePattern.
func (d *decoder) checkName(n *yaml.Node, where, name string) {
	if !namePattern.MatchString(name) {
		d.addFault(n.Line, where, "use 1 to 63 letters, digits, '.', '_' and '-', with a letter or digit first",
			"%q is not a valid name", name)
	}
}

// decodeRegions decodes the regions and their data centres.
func (d *decoder) decodeRegions(n *yaml.Node) {
	entries := d.mappingFields(n, "regions")
	if n.Kind == yaml.MappingNode && len(entries) == 0 {
		d.addFault(n.Line, "regions", "name at least one region", "no region is defined")
	}
	for _, e := range entries {
		where := "regions." + e.name
		d.checkName(e.key, "regions", e.name)
		d.result.regions[e.name] = nil
		list, ok := d.knownFields(e.value, where, "data_centres")["data_centres"]
		if !ok {
			d.addFault(e.key.Line, where, "add data_centres with a list of names", "the region has no data_centres")
			continue
		}
		d.result.regions[e.name] = d.decodeNames(list.value, where+".data_centres")
		d.indexDataCentres(e)
	}
	if _, reserved := d.result.regions[anyRegion]; reserved {
		d.addFault(n.Line, "regions", "choose another name", "%q stands for all regions", anyRegion)
	}
}

// indexDataCentres adds the data centres of a region to regionOf, and records a fault for each that is in another
// region too.
func (d *decoder) indexDataCentres(region field) {
	for _, name := range d.result.regions[region.name] {
		if other, taken := d.result.regionOf[name]; taken {
			d.addFault(region.value.Line, "regions."+region.name, "keep it in one region",
				"data centre %q is also in region %q", name, other)
			continue
		}
		d.result.regionOf[name] = region.name
	}
}

// decodeDefaults decodes the defaults, and records a fault for each required setting that is missing and each setting
// that only exceptions may set.
func (d *decoder) decodeDefaults(n *yaml.Node) {
	d.result.explicitDefaults = d.decodeSettings(n, "defaults", &d.result.defaults)
	if n.Kind != yaml.MappingNode {
		return
	}
	for id := range settings {
		s := &settings[id]
		if s.exceptionOnly && d.result.explicitDefaults.has(settingID(id)) {
			d.addFault(n.Line, "defaults."+s.name, "set it in an exception that matches "+s.matchedBy.String(),
				"the setting is not allowed in defaults")
		}
		if s.defaultText == "" && !d.result.explicitDefaults.has(settingID(id)) {
			d.addFault(n.Line, "defaults."+s.name, "set it; it has no safe default", "the setting is missing")
		}
	}
}

// decodeSettings decodes the settings of a mapping into target and returns the set of settings that are present.
func (d *decoder) decodeSettings(n *yaml.Node, where string, target *Settings) settingSet {
	var present settingSet
	for _, e := range d.mappingFields(n, where) {
		id, ok := settingByName(e.name)
		if !ok {
			d.addFault(e.key.Line, where, "remove it or use one of: "+strings.Join(SettingNames(), ", "),
				"setting %q is unknown", e.name)
			continue
		}
		present |= 1 << id
		if fault := settings[id].decode(d, e.value, target); fault != nil {
			d.addValueFault(where+"."+e.name, fault)
			d.invalidSettings |= 1 << id
		}
	}
	return present
}

// decodeExceptions decodes the list of exceptions.
func (d *decoder) decodeExceptions(n *yaml.Node) {
	if n.Kind != yaml.SequenceNode {
		d.addFault(n.Line, "exceptions", "write a list, or remove the field", "found a %s where a list is expected", nodeKindName(n))
		return
	}
	if len(n.Content) > maxExceptions {
		d.addFault(n.Line, "exceptions", "replace similar exceptions with one that has a broader match",
			"%d exceptions exceed the limit of %d", len(n.Content), maxExceptions)
		return
	}
	lineByName := map[string]int{}
	for i, item := range n.Content {
		e := d.decodeException(item, fmt.Sprintf("exceptions[%d]", i))
		if line, used := lineByName[e.Name]; used && e.Name != "" {
			d.addFault(item.Line, "exceptions."+e.Name, "give it another name", "the name is used on line %d", line)
		}
		lineByName[e.Name] = item.Line
		d.result.exceptions = append(d.result.exceptions, e)
	}
}

// decodeException decodes one exception. where is its path in faults until its name is decoded.
func (d *decoder) decodeException(n *yaml.Node, where string) *Exception {
	e := &Exception{Line: n.Line}
	faultsBefore := len(d.faults)
	fields := d.knownFields(n, where, "name", "reason", "match", "set")
	e.Name = d.requiredText(fields, "name", where, n.Line, "give it a short name")
	if e.Name != "" {
		d.checkName(fields["name"].value, where, e.Name)
		where = "exceptions." + e.Name
	}
	e.Reason = d.requiredText(fields, "reason", where, n.Line, "state why the exception exists")
	if f, ok := fields["match"]; ok {
		e.Match = d.decodeMatch(f.value, where+".match")
	} else {
		d.addFault(n.Line, where, "add a match, or change defaults if the exception applies to everything",
			"the exception has no match")
	}
	f, ok := fields["set"]
	if !ok {
		d.addFault(n.Line, where, "add set with the settings to override", "the exception sets nothing")
		return e
	}
	e.overrides = d.decodeSettings(f.value, where+".set", &e.values)
	if f.value.Kind == yaml.MappingNode && len(f.value.Content) == 0 {
		d.addFault(f.value.Line, where, "add set with the settings to override", "the exception sets nothing")
	}
	d.checkMatchFields(e, f.value, where)
	if len(d.faults) > faultsBefore {
		d.invalidSettings |= e.overrides
	}
	return e
}

// requiredText returns the text of a field that must not be blank.
func (d *decoder) requiredText(fields map[string]field, name, where string, line int, remedy string) string {
	f, ok := fields[name]
	if !ok {
		d.addFault(line, where, remedy, "the exception has no %s", name)
		return ""
	}
	text, fault := scalar(f.value, remedy, tagString)
	if fault != nil {
		d.addValueFault(where+"."+name, fault)
		return ""
	}
	text = strings.TrimSpace(text)
	if text == "" {
		d.addFault(f.value.Line, where, remedy, "the %s is blank", name)
	}
	return text
}

// decodeMatch decodes a match, and records a fault if it is empty, has an unknown name, or cannot match any subject.
func (d *decoder) decodeMatch(n *yaml.Node, where string) Match {
	var m Match
	fields := d.knownFields(n, where, matchFieldNames[:]...)
	for bit, target := range m.fieldPointers() {
		f, ok := fields[matchFieldNames[bit]]
		if !ok {
			continue
		}
		text, fault := scalar(f.value, "write a name", tagString)
		if fault != nil {
			d.addValueFault(where+"."+f.name, fault)
			continue
		}
		*target = text
		d.checkMatchValue(f, where, matchFields(1<<bit), text)
	}
	if n.Kind == yaml.MappingNode && len(n.Content) == 0 {
		d.addFault(n.Line, where, "name at least one of: "+strings.Join(matchFieldNames[:], ", "), "the match is empty")
	}
	if region := d.result.regionOf[m.DataCentre]; region != "" && m.Region != "" && region != m.Region {
		d.addFault(n.Line, where, "remove region or name "+region,
			"data centre %q is not in region %q, so nothing matches", m.DataCentre, m.Region)
	}
	return m
}

// checkMatchValue records a fault if the value is not a name of the document, or a key prefix has an invalid length.
func (d *decoder) checkMatchValue(f field, where string, matchField matchFields, text string) {
	var exists bool
	switch matchField {
	case byService:
		exists = slices.Contains(d.result.services, text)
	case byTenant:
		exists = slices.Contains(d.result.tenants, text)
	case byDataCentre:
		_, exists = d.result.regionOf[text]
	case byRegion:
		_, exists = d.result.regions[text]
	case byKeyPrefix:
		exists = text != "" && len(text) <= maxKeyPrefix
	}
	if exists {
		return
	}
	if matchField == byKeyPrefix {
		d.addFault(f.value.Line, where+"."+f.name, fmt.Sprintf("write 1 to %d bytes", maxKeyPrefix),
			"the prefix has %d bytes", len(text))
		return
	}
	d.addFault(f.value.Line, where+"."+f.name, "correct it, or add it to the names of this document", "%s %q is unknown",
		strings.ReplaceAll(f.name, "_", " "), text)
}

// checkMatchFields records a fault for each setting of the exception that must not depend on a field of its match.
func (d *decoder) checkMatchFields(e *Exception, set *yaml.Node, where string) {
	for id := range settings {
		s := &settings[id]
		disallowed := e.Match.namedFields() &^ s.matchedBy
		if e.overrides.has(settingID(id)) && disallowed != 0 {
			d.addFault(set.Line, where+".set."+s.name, "use only these match fields: "+s.matchedBy.String(),
				"the setting cannot depend on %s", disallowed)
		}
	}
}
