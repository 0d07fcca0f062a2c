package config

import (
	"errors"
	"strings"
	"testing"

	"heatherreel/internal/problem"
)

// validYAML is a document that each test case changes in one place.
const validYAML = `regions:
  emea-west: {data_centres: [west-a, west-b]}
  emea-central: {data_centres: [central-a, central-b]}
services: [orders, history]
tenants: [alpha, beta]
defaults:
  home_regions: any
  deadline: 250ms
  max_body: 64KiB
exceptions:
  - name: alpha-at-home
    reason: contract 12 keeps its records in the region
    match: {tenant: alpha}
    set: {home_regions: [emea-west]}
`

// exceptionYAML returns one list item for the exceptions of a document.
func exceptionYAML(name, match, set string) string {
	return "  - {name: " + name + ", reason: a test, match: {" + match + "}, set: {" + set + "}}\n"
}

// Guards against accepting a document that would not work as its author intended, and against a fault without its line
// or remedy.
func TestDecodeRefuses(t *testing.T) {
	replace := func(old, new string) string { return strings.Replace(validYAML, old, new, 1) }
	cases := map[string]struct {
		document string
		line     int
		detail   string
	}{
		"syntax":                {"regions: [", 1, "yaml"},
		"empty":                 {"", 0, "EOF"},
		"second document":       {validYAML + "---\na: 1\n", 15, "second"},
		"unknown top field":     {validYAML + "extra: 1\n", 15, `field "extra" is unknown`},
		"duplicate key":         {replace("  deadline: 250ms\n", "  deadline: 250ms\n  deadline: 1s\n"), 9, "repeats the one on line 8"},
		"alias":                 {replace("any", "&x any"), 7, "anchors"},
		"unknown setting":       {replace("deadline:", "deadlin:"), 8, `"deadlin" is unknown`},
		"duration without unit": {replace("250ms", "250"), 8, "not a valid value"},
		"quoted zero duration":  {replace("250ms", `"0"`), 8, "not a duration"},
		"duration range":        {replace("250ms", "9h"), 8, "out of range"},
		"decimal size":          {replace("64KiB", "64KB"), 9, "not a size"},
		"size without unit":     {replace("64KiB", "65536"), 9, "not a valid value"},
		"size overflow":         {replace("64KiB", "9999999999999GiB"), 9, "not a size"},
		"ratio in percent":      {replace("max_body: 64KiB", "retry_ratio: 10%"), 9, "not a valid value"},
		"ratio above one":       {replace("max_body: 64KiB", "retry_ratio: 1.5"), 9, "not a ratio"},
		"ratio not a number":    {replace("max_body: 64KiB", "retry_ratio: .nan"), 9, "not a ratio"},
		"octal count":           {replace("max_body: 64KiB", "slices: 0o17"), 9, "out of range"},
		"boolean in words":      {replace("max_body: 64KiB", "checks_grants: yes"), 9, "not a valid value"},
		"unknown class":         {replace("max_body: 64KiB", "class: urgent"), 9, "not a class"},
		"unknown method":        {replace("max_body: 64KiB", "idempotent_methods: [get]"), 9, "not a method"},
		"home regions missing":  {replace("  home_regions: any\n", ""), 7, "missing"},
		"home region unknown":   {replace("[emea-west]", "[mars]"), 14, `region "mars" is unknown`},
		"home regions empty":    {replace("[emea-west]", "[]"), 14, "empty"},
		"data centre twice":     {replace("central-a", "west-a"), 3, "also in region"},
		"region named any":      {replace("emea-central:", "any:"), 2, "stands for all"},
		"separator in name":     {replace("orders", "a+b"), 4, "not a valid name"},
		"service twice":         {replace("[orders, history]", "[orders, orders]"), 4, "twice"},
		"taken out in defaults": {replace("max_body: 64KiB", "taken_out: true"), 7, "not allowed in defaults"},
		"no reason":             {replace("    reason: contract 12 keeps its records in the region\n", ""), 11, "no reason"},
		"blank reason":          {replace("contract 12 keeps its records in the region", `" "`), 12, "blank"},
		"no match":              {replace("    match: {tenant: alpha}\n", ""), 11, "no match"},
		"empty match":           {replace("{tenant: alpha}", "{}"), 13, "match is empty"},
		"unknown tenant":        {replace("{tenant: alpha}", "{tenant: gamma}"), 13, `tenant "gamma" is unknown`},
		"unknown service":       {replace("{tenant: alpha}", "{service: x}"), 13, `service "x" is unknown`},
		"unknown data centre":   {validYAML + exceptionYAML("b", "data_centre: x", "taken_out: true"), 15, `data centre "x" is unknown`},
		"unknown region":        {validYAML + exceptionYAML("b", "region: x", "taken_out: true"), 15, `region "x" is unknown`},
		"impossible match":      {validYAML + exceptionYAML("b", "data_centre: west-a, region: emea-central", "taken_out: true"), 15, "nothing matches"},
		"sets nothing":          {validYAML + exceptionYAML("b", "tenant: beta", ""), 15, "sets nothing"},
		"name twice":            {validYAML + exceptionYAML("alpha-at-home", "tenant: beta", "deadline: 1s"), 15, "used on line 11"},
		"taken out by tenant":   {validYAML + exceptionYAML("b", "tenant: beta", "taken_out: true"), 15, "cannot depend on tenant"},
		"home by region":        {validYAML + exceptionYAML("b", "region: emea-west", "home_regions: any"), 15, "cannot depend on region"},
		"slices by tenant":      {validYAML + exceptionYAML("b", "tenant: beta", "slices: 8"), 15, "cannot depend on tenant"},
		"contradiction":         {validYAML + exceptionYAML("b", "service: orders", "home_regions: [emea-central]"), 15, "contradicts"},
		"same match":            {validYAML + exceptionYAML("b", "tenant: alpha", "home_regions: any"), 15, "contradicts"},
		"deadline above max":    {replace("250ms", "20s"), 0, "deadline 20s exceeds max_deadline 10s"},
		"max above retention": {validYAML + exceptionYAML("b", "tenant: beta", "max_deadline: 2m"), 15,
			"max_deadline 2m exceeds outcome_retention 1m for tenant=beta"},
		"combination of two exceptions": {validYAML + exceptionYAML("b", "tenant: beta", "deadline: 8s") +
			exceptionYAML("c", "service: orders", "max_deadline: 5s"), 16, "exceeds max_deadline 5s for service=orders tenant=beta"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			_, err := Decode([]byte(c.document))
			if !errors.Is(err, problem.Invalid) {
				t.Fatalf("got %v, want an invalid document", err)
			}
			var faults Faults
			if !errors.As(err, &faults) || len(faults) != 1 {
				t.Fatalf("want one fault, got %v", err)
			}
			if f := faults[0]; f.Line != c.line || !strings.Contains(f.Detail, c.detail) || f.Remedy == "" || f.Where == "" {
				t.Fatalf("got %+v, want line %d and %q", f, c.line, c.detail)
			}
		})
	}
}

// Guards against a decoder that stops at the first fault, so that an operator needs one attempt per fault.
func TestDecodeReportsAllFaults(t *testing.T) {
	document := strings.NewReplacer("250ms", "250", "64KiB", "64KB", "tenant: alpha", "tenant: gamma").Replace(validYAML) +
		exceptionYAML("b", "tenant: beta", "queue_limit: 7") +
		exceptionYAML("c", "service: orders", "class: lookup") +
		exceptionYAML("d", "tenant: beta", "class: background")
	var faults Faults
	if _, err := Decode([]byte(document)); !errors.As(err, &faults) {
		t.Fatal(err)
	}
	var lines []int
	for _, f := range faults {
		lines = append(lines, f.Line)
	}
	want := []int{8, 9, 13, 15, 17}
	if len(lines) != len(want) {
		t.Fatalf("got lines %v, want %v\n%v", lines, want, faults)
	}
	for i := range want {
		if lines[i] != want[i] {
			t.Fatalf("got lines %v, want %v\n%v", lines, want, faults)
		}
	}
}

// Guards against rejecting two overlapping exceptions although a third one matches exactly their overlap. A third
// exception is the only way to resolve such a contradiction without changing the others.
func TestThirdExceptionResolvesContradiction(t *testing.T) {
	document := validYAML +
		exceptionYAML("b", "service: orders", "class: lookup") +
		exceptionYAML("c", "tenant: beta", "class: background") +
		exceptionYAML("d", "tenant: beta, service: orders", "class: interactive")
	c, err := Decode([]byte(document))
	if err != nil {
		t.Fatal(err)
	}
	got := c.Resolve(Subject{Service: "orders", Tenant: "beta"}).Class.String()
	if got != "interactive" {
		t.Fatalf("got %s, want the value of the third exception", got)
	}
}

// Guards against a log record that makes Decode panic, which would crash every node, and against accepting a document
// that cannot be resolved.
func FuzzDecode(f *testing.F) {
	f.Add([]byte(validYAML))
	f.Add([]byte(validYAML + exceptionYAML("b", "service: orders", "home_regions: [emea-central]")))
	f.Add([]byte("a: &x [*x]"))
	f.Add([]byte("? {a: b}\n: <<: 1\n"))
	f.Fuzz(func(t *testing.T, document []byte) {
		c, err := Decode(document)
		if err != nil {
			if !errors.Is(err, problem.Invalid) {
				t.Fatalf("error of another kind: %v", err)
			}
			return
		}
		c.Warnings()
		if changes := Diff(c, c); len(changes) != 0 {
			t.Fatalf("a document differs from itself: %v", changes)
		}
	})
}
