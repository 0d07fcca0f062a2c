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

// Words that stand for a whole set in a document.
const (
	anyRegion = "any"
	noMethod  = "none"
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

// NewMethods returns the set of the methods; names that no set can hold are left out.
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

// String returns the set as it is written in a document.
func (m Methods) String() string {
	if m == 0 {
		return noMethod
	}
	var names []string
	for bit, name := range methodNames {
		if m&(1<<bit) != 0 {
			names = append(names, name)
		}
	}
	return "[" + strings.Join(names, ", ") + "]"
}

// wrong says what is wrong with a value and how to correct it.
type wrong struct {
	line   int
	detail string
	remedy string
}

// wrongAt returns a wrong for the node.
func wrongAt(n *yaml.Node, remedy, format string, args ...any) *wrong {
	return &wrong{line: n.Line, detail: fmt.Sprintf(format, args...), remedy: remedy}
}

// scalar returns the text of a scalar with one of the tags.
func scalar(n *yaml.Node, remedy string, tags ...string) (string, *wrong) {
	if n.Kind != yaml.ScalarNode {
		return "", wrongAt(n, remedy, "a %s stands where one value is expected", kindName(n))
	}
	if !slices.Contains(tags, n.ShortTag()) {
		return "", wrongAt(n, remedy, "%q is not a valid value here", n.Value)
	}
	return n.Value, nil
}

// kindName names the kind of a node for messages.
func kindName(n *yaml.Node) string {
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

// durationCodec decodes durations with a unit from least to most.
func durationCodec(least, most time.Duration) codec[time.Duration] {
	remedy := fmt.Sprintf("write a duration with its unit, such as 250ms or 2s, from %s to %s",
		formatDuration(least), formatDuration(most))
	decode := func(_ *decoder, n *yaml.Node) (time.Duration, *wrong) {
		text, w := scalar(n, remedy, tagString)
		if w != nil {
			return 0, w
		}
		value, err := time.ParseDuration(text)
		if err != nil || !strings.HasSuffix(text, "s") && !strings.HasSuffix(text, "m") && !strings.HasSuffix(text, "h") {
			return 0, wrongAt(n, remedy, "%q is not a duration", text)
		}
		if value < least || value > most {
			return 0, wrongAt(n, remedy, "%s is out of range", text)
		}
		return value, nil
	}
	return codec[time.Duration]{kind: "duration", decode: decode, format: formatDuration}
}

// formatDuration writes a duration without zero units, such as 1m in place of 1m0s.
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

// sizeUnits are the units of sizes from the largest.
var sizeUnits = [...]struct {
	suffix string
	bytes  int64
}{{"GiB", 1 << 30}, {"MiB", 1 << 20}, {"KiB", 1 << 10}, {"B", 1}}

// sizeCodec decodes sizes with a unit up to most bytes.
func sizeCodec(most int64) codec[int64] {
	remedy := fmt.Sprintf("write a whole number with B, KiB, MiB or GiB, such as 64KiB, from 1B to %s", formatSize(most))
	decode := func(_ *decoder, n *yaml.Node) (int64, *wrong) {
		text, w := scalar(n, remedy, tagString)
		if w != nil {
			return 0, w
		}
		value, ok := parseSize(text)
		if !ok {
			return 0, wrongAt(n, remedy, "%q is not a size", text)
		}
		if value < 1 || value > most {
			return 0, wrongAt(n, remedy, "%s is out of range", text)
		}
		return value, nil
	}
	return codec[int64]{kind: "size", decode: decode, format: formatSize}
}

// parseSize returns the bytes of a number with a unit.
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

// formatSize writes bytes with the largest unit that divides them.
func formatSize(bytes int64) string {
	for _, unit := range sizeUnits {
		if bytes >= unit.bytes && bytes%unit.bytes == 0 {
			return strconv.FormatInt(bytes/unit.bytes, 10) + unit.suffix
		}
	}
	return "0B"
}

// countCodec decodes whole numbers from least to most.
func countCodec(least, most uint32) codec[uint32] {
	remedy := fmt.Sprintf("write a whole number from %d to %d without a unit", least, most)
	decode := func(_ *decoder, n *yaml.Node) (uint32, *wrong) {
		text, w := scalar(n, remedy, tagInt)
		if w != nil {
			return 0, w
		}
		value, err := strconv.ParseUint(text, 10, 32)
		if err != nil || uint32(value) < least || uint32(value) > most {
			return 0, wrongAt(n, remedy, "%s is out of range", text)
		}
		return uint32(value), nil
	}
	format := func(value uint32) string { return strconv.FormatUint(uint64(value), 10) }
	return codec[uint32]{kind: "count", decode: decode, format: format}
}

// ratioCodec decodes ratios from 0 to 1.
var ratioCodec = codec[float64]{
	kind: "ratio",
	decode: func(_ *decoder, n *yaml.Node) (float64, *wrong) {
		const remedy = "write a ratio from 0 to 1, such as 0.1"
		text, w := scalar(n, remedy, tagFloat, tagInt)
		if w != nil {
			return 0, w
		}
		value, err := strconv.ParseFloat(text, 64)
		if err != nil || !(value >= 0 && value <= 1) {
			return 0, wrongAt(n, remedy, "%s is not a ratio", text)
		}
		return value, nil
	},
	format: func(value float64) string { return strconv.FormatFloat(value, 'g', -1, 64) },
}

// boolCodec decodes true and false.
var boolCodec = codec[bool]{
	kind: "boolean",
	decode: func(_ *decoder, n *yaml.Node) (bool, *wrong) {
		const remedy = "write true or false"
		text, w := scalar(n, remedy, tagBool)
		if w != nil {
			return false, w
		}
		return text == "true", checkBool(n, remedy)
	},
	format: strconv.FormatBool,
}

// checkBool refuses the spellings True and TRUE, which YAML also reads as booleans.
func checkBool(n *yaml.Node, remedy string) *wrong {
	if n.Value == "true" || n.Value == "false" {
		return nil
	}
	return wrongAt(n, remedy, "%q is not a valid value here", n.Value)
}

// classCodec decodes request classes.
var classCodec = codec[request.Class]{
	kind: "class",
	decode: func(_ *decoder, n *yaml.Node) (request.Class, *wrong) {
		const remedy = "write interactive, lookup or background"
		text, w := scalar(n, remedy, tagString)
		if w != nil {
			return 0, w
		}
		value, ok := request.ParseClass(text)
		if !ok {
			return 0, wrongAt(n, remedy, "%q is not a class", text)
		}
		return value, nil
	},
	format: request.Class.String,
}

// methodsCodec decodes a list of methods or the word none.
var methodsCodec = codec[Methods]{
	kind: "list of methods",
	decode: func(_ *decoder, n *yaml.Node) (Methods, *wrong) {
		remedy := "write none or a list of: " + strings.Join(methodNames[:], ", ")
		if n.Kind == yaml.ScalarNode && n.Value == noMethod {
			return 0, nil
		}
		names, w := stringList(n, remedy)
		if w != nil {
			return 0, w
		}
		var set Methods
		for i, name := range names {
			bit := slices.Index(methodNames[:], name)
			if bit < 0 {
				return 0, wrongAt(n.Content[i], remedy, "%q is not a method", name)
			}
			set |= 1 << bit
		}
		return set, nil
	},
	format: Methods.String,
}

// homeCodec decodes a list of region names of the document or the word any.
var homeCodec = codec[keyspace.Home]{
	kind: "list of regions",
	decode: func(d *decoder, n *yaml.Node) (keyspace.Home, *wrong) {
		const remedy = "write any or a list of regions of this document"
		if n.Kind == yaml.ScalarNode && n.Value == anyRegion {
			return "", nil
		}
		names, w := stringList(n, remedy)
		if w != nil {
			return "", w
		}
		for i, name := range names {
			if _, known := d.out.regions[name]; !known {
				return "", wrongAt(n.Content[i], remedy, "region %q is unknown", name)
			}
		}
		return keyspace.NewHome(names), nil
	},
	format: FormatHome,
}

// FormatHome writes a set of home regions as a document has it.
func FormatHome(h keyspace.Home) string {
	if h == "" {
		return anyRegion
	}
	return "[" + strings.Join(h.Regions(), ", ") + "]"
}

// stringList returns the texts of a list that holds at least one text and none twice.
func stringList(n *yaml.Node, remedy string) ([]string, *wrong) {
	if n.Kind != yaml.SequenceNode {
		return nil, wrongAt(n, remedy, "a %s stands where a list is expected", kindName(n))
	}
	if len(n.Content) == 0 {
		return nil, wrongAt(n, remedy, "the list is empty")
	}
	var texts []string
	seen := map[string]bool{}
	for _, item := range n.Content {
		text, w := scalar(item, remedy, tagString)
		if w != nil {
			return nil, w
		}
		if seen[text] {
			return nil, wrongAt(item, "remove the repetition", "%q stands in the list twice", text)
		}
		seen[text] = true
		texts = append(texts, text)
	}
	return texts, nil
}
