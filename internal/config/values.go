package config

import (
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"

	"go.yaml.in/yaml/v3"

	"heatherreel/internal/keyspace"
	"heatherreel/internal/request"
)

// Keywords that replace a list in a document.
const (
	anyRegion = "any"
	noMethods = "none"
)

// YAML tags of scalars.
const (
	tagString = "!!str"
	tagInt    = "!!int"
	tagFloat  = "!!float"
	tagBool   = "!!bool"
)

// Methods is a set of HTTP methods.
type Methods uint16

// methodNames are the methods that a set can hold, by bit.
var methodNames = [...]string{"GET", "HEAD", "OPTIONS", "PUT", "DELETE", "POST", "PATCH"}

// NewMethods returns the set of the named methods. Names that are not in methodNames are ignored.
func NewMethods(names ...string) Methods {
	var m Methods
	for bit, name := range methodNames {
		for _, other := range names {
			if other == name {
				m |= 1 << bit
			}
		}
	}
	return m
}

// Has reports whether the set holds the method.
func (m Methods) Has(method string) bool {
	for bit, name := range methodNames {
		if name == method {
			return m&(1<<bit) != 0
		}
	}
	return false
}

// String returns the set in document syntax.
func (m Methods) String() string {
	if m == 0 {
		return noMethods
	}
	var names []string
	for bit, name := range methodNames {
		if m&(1<<bit) != 0 {
			names = append(names, name)
		}
	}
	return "[" + strings.Join(names, ", ") + "]"
}

// valueFault is a fault in a value; the caller adds the path of the field.
type valueFault struct {
	line   int
	detail string
	remedy string
}

// newValueFault returns a fault at the line of the node.
func newValueFault(n *yaml.Node, remedy, format string, args ...any) *valueFault {
	return &valueFault{line: n.Line, detail: fmt.Sprintf(format, args...), remedy: remedy}
}

// scalar returns the text of the node, which must be a scalar with one of the tags.
func scalar(n *yaml.Node, remedy string, tags ...string) (string, *valueFault) {
	if n.Kind != yaml.ScalarNode {
		return "", newValueFault(n, remedy, "found a %s where one value is expected", nodeKindName(n))
	}
	if !slices.Contains(tags, n.ShortTag()) {
		return "", newValueFault(n, remedy, "%q is not a valid value here", n.Value)
	}
	return n.Value, nil
}

// nodeKindName returns the kind of the node for messages.
func nodeKindName(n *yaml.Node) string {
	switch n.Kind {
	case yaml.MappingNode:
		return "mapping"
	case yaml.SequenceNode:
		return "list"
	case yaml.AliasNode:
		return "alias"
	default:
		return "scalar"
	}
}

// durationCodec decodes durations with a unit from minimum to maximum.
func durationCodec(minimum, maximum time.Duration) codec[time.Duration] {
	remedy := fmt.Sprintf("write a duration with its unit, such as 250ms or 2s, from %s to %s",
		formatDuration(minimum), formatDuration(maximum))
	decode := func(_ *decoder, n *yaml.Node) (time.Duration, *valueFault) {
		text, fault := scalar(n, remedy, tagString)
		if fault != nil {
			return 0, fault
		}
		value, err := time.ParseDuration(text)
		if err != nil || !strings.HasSuffix(text, "s") && !strings.HasSuffix(text, "m") && !strings.HasSuffix(text, "h") {
			return 0, newValueFault(n, remedy, "%q is not a duration", text)
		}
		if value < minimum || value > maximum {
			return 0, newValueFault(n, remedy, "%s is out of range", text)
		}
		return value, nil
	}
	return codec[time.Duration]{typeName: "duration", decode: decode, format: formatDuration}
}

// formatDuration formats a duration without trailing zero units, such as 1m instead of 1m0s.
func formatDuration(d time.Duration) string {
	text := d.String()
	if strings.HasSuffix(text, "m0s") {
		text = strings.TrimSuffix(text, "0s")
	}
	if strings.HasSuffix(text, "h0m") {
		text = strings.TrimSuffix(text, "0m")
	}
	return text
}

// sizeUnits are the units of sizes, the largest first.
var sizeUnits = [...]struct {
	suffix string
	bytes  int64
}{{"GiB", 1 << 30}, {"MiB", 1 << 20}, {"KiB", 1 << 10}, {"B", 1}}

// sizeCodec decodes sizes with a unit from 1 byte to maximum bytes.
func sizeCodec(maximum int64) codec[int64] {
	remedy := fmt.Sprintf("write a whole number with B, KiB, MiB or GiB, such as 64KiB, from 1B to %s", formatSize(maximum))
	decode := func(_ *decoder, n *yaml.Node) (int64, *valueFault) {
		text, fault := scalar(n, remedy, tagString)
		if fault != nil {
			return 0, fault
		}
		value, ok := parseSize(text)
		if !ok {
			return 0, newValueFault(n, remedy, "%q is not a size", text)
		}
		if value < 1 || value > maximum {
			return 0, newValueFault(n, remedy, "%s is out of range", text)
		}
		return value, nil
	}
	return codec[int64]{typeName: "size", decode: decode, format: formatSize}
}

// parseSize parses a whole number with a unit and returns the number of bytes.
func parseSize(text string) (int64, bool) {
	for _, unit := range sizeUnits {
		digits, found := strings.CutSuffix(text, unit.suffix)
		if !found {
			continue
		}
		number, err := strconv.ParseUint(digits, 10, 63)
		if err != nil || number > uint64(math.MaxInt64/unit.bytes) {
			return 0, false
		}
		return int64(number) * unit.bytes, true
	}
	return 0, false
}

// formatSize formats a number of bytes in the largest unit that gives a whole number.
func formatSize(bytes int64) string {
	for _, unit := range sizeUnits {
		if bytes >= unit.bytes && bytes%unit.bytes == 0 {
			return strconv.FormatInt(bytes/unit.bytes, 10) + unit.suffix
		}
	}
	return "0B"
}

// countCodec decodes whole numbers from minimum to maximum.
func countCodec(minimum, maximum uint32) codec[uint32] {
	remedy := fmt.Sprintf("write a whole number from %d to %d without a unit", minimum, maximum)
	decode := func(_ *decoder, n *yaml.Node) (uint32, *valueFault) {
		text, fault := scalar(n, remedy, tagInt)
		if fault != nil {
			return 0, fault
		}
		value, err := strconv.ParseUint(text, 10, 32)
		if err != nil || uint32(value) < minimum || uint32(value) > maximum {
			return 0, newValueFault(n, remedy, "%s is out of range", text)
		}
		return uint32(value), nil
	}
	format := func(value uint32) string { return strconv.FormatUint(uint64(value), 10) }
	return codec[uint32]{typeName: "count", decode: decode, format: format}
}

// ratioCodec decodes ratios from 0 to 1.
var ratioCodec = codec[float64]{
	typeName: "ratio",
	decode: func(_ *decoder, n *yaml.Node) (float64, *valueFault) {
		const remedy = "write a ratio from 0 to 1, such as 0.1"
		text, fault := scalar(n, remedy, tagFloat, tagInt)
		if fault != nil {
			return 0, fault
		}
		value, err := strconv.ParseFloat(text, 64)
		if err != nil || !(value >= 0 && value <= 1) {
			return 0, newValueFault(n, remedy, "%s is not a ratio", text)
		}
		return value, nil
	},
	format: func(value float64) string { return strconv.FormatFloat(value, 'g', -1, 64) },
}

// boolCodec decodes true and false.
var boolCodec = codec[bool]{
	typeName: "boolean",
	decode: func(_ *decoder, n *yaml.Node) (bool, *valueFault) {
		const remedy = "write true or false"
		text, fault := scalar(n, remedy, tagBool)
		if fault != nil {
			return false, fault
		}
		return text == "true", checkBoolSpelling(n, remedy)
	},
	format: strconv.FormatBool,
}

// checkBoolSpelling rejects the spellings True and TRUE, which YAML also reads as booleans.
func checkBoolSpelling(n *yaml.Node, remedy string) *valueFault {
	if n.Value == "true" || n.Value == "false" {
		return nil
	}
	return newValueFault(n, remedy, "%q is not a valid value here", n.Value)
}

// classCodec decodes request classes.
var classCodec = codec[request.Class]{
	typeName: "class",
	decode: func(_ *decoder, n *yaml.Node) (request.Class, *valueFault) {
		const remedy = "write interactive, lookup or background"
		text, fault := scalar(n, remedy, tagString)
		if fault != nil {
			return 0, fault
		}
		value, ok := request.ParseClass(text)
		if !ok {
			return 0, newValueFault(n, remedy, "%q is not a class", text)
		}
		return value, nil
	},
	format: request.Class.String,
}

// methodsCodec decodes a list of methods or the keyword none.
var methodsCodec = codec[Methods]{
	typeName: "list of methods",
	decode: func(_ *decoder, n *yaml.Node) (Methods, *valueFault) {
		remedy := "write none or a list of: " + strings.Join(methodNames[:], ", ")
		if n.Kind == yaml.ScalarNode && n.Value == noMethods {
			return 0, nil
		}
		names, fault := stringList(n, remedy)
		if fault != nil {
			return 0, fault
		}
		var set Methods
		for i, name := range names {
			bit := slices.Index(methodNames[:], name)
			if bit < 0 {
				return 0, newValueFault(n.Content[i], remedy, "%q is not a method", name)
			}
			set |= 1 << bit
		}
		return set, nil
	},
	format: Methods.String,
}

// homeCodec decodes a list of regions of the document or the keyword any.
var homeCodec = codec[keyspace.Home]{
	typeName: "list of regions",
	decode: func(d *decoder, n *yaml.Node) (keyspace.Home, *valueFault) {
		const remedy = "write any or a list of regions of this document"
		if n.Kind == yaml.ScalarNode && n.Value == anyRegion {
			return "", nil
		}
		names, fault := stringList(n, remedy)
		if fault != nil {
			return "", fault
		}
		for i, name := range names {
			if _, known := d.result.regions[name]; !known {
				return "", newValueFault(n.Content[i], remedy, "region %q is unknown", name)
			}
		}
		return keyspace.NewHome(names), nil
	},
	format: FormatHome,
}

// FormatHome formats a set of home regions in document syntax.
func FormatHome(h keyspace.Home) string {
	if h == "" {
		return anyRegion
	}
	return "[" + strings.Join(h.Regions(), ", ") + "]"
}

// stringList returns the strings of a list, which must not be empty or hold a string twice.
func stringList(n *yaml.Node, remedy string) ([]string, *valueFault) {
	if n.Kind != yaml.SequenceNode {
		return nil, newValueFault(n, remedy, "found a %s where a list is expected", nodeKindName(n))
	}
	if len(n.Content) == 0 {
		return nil, newValueFault(n, remedy, "the list is empty")
	}
	var texts []string
	seen := map[string]bool{}
	for _, item := range n.Content {
		text, fault := scalar(item, remedy, tagString)
		if fault != nil {
			return nil, fault
		}
		if seen[text] {
			return nil, newValueFault(item, "remove the repetition", "%q is listed twice", text)
		}
		seen[text] = true
		texts = append(texts, text)
	}
	return texts, nil
}
