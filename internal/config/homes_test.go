package config

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"heatherreel/internal/keyspace"
)

// Guards against a change of home regions that is not detected, and against a handover after a change that does not
// concern home regions.
func TestSameHomeRules(t *testing.T) {
	const head = "regions: {w: {data_centres: [wa]}, e: {data_centres: [ea]}}\nservices: [s, u]\ntenants: [t, x]\n"
	const confined = "exceptions:\n  - {name: n, reason: r, match: {service: s, tenant: t}, set: {home_regions: [w]}}\n"
	decode := func(text string) *Configuration {
		c, err := Decode([]byte(head + text))
		if err != nil {
			t.Fatal(err)
		}
		return c
	}
	base := decode("defaults: {home_regions: any}\n" + confined)
	cases := map[string]struct {
		text string
		same bool
	}{
		"nothing":          {"defaults: {home_regions: any}\n" + confined, true},
		"another setting":  {"defaults: {home_regions: any, deadline: 3s}\n" + confined, true},
		"the defaults":     {"defaults: {home_regions: [e]}\n" + confined, false},
		"exception left":   {"defaults: {home_regions: any}\n", false},
		"exception widens": {"defaults: {home_regions: any}\n" + strings.Replace(confined, "[w]", "[w, e]", 1), false},
		"other tenant":     {"defaults: {home_regions: any}\n" + strings.Replace(confined, "tenant: t", "tenant: x", 1), false},
	}
	for name, c := range cases {
		if got := base.SameHomeRules(decode(c.text), "s"); got != c.same {
			t.Errorf("%s: %t", name, got)
		}
	}
	if !base.SameHomeRules(decode("defaults: {home_regions: any}\n"), "u") {
		t.Error("an exception for another service counts")
	}
}

// Guards against sending the retained outcome of a key to another region: a new configuration has confined the key to
// its home regions, and then its previous slice moves to an owner in another region.
func TestHomesOfEarlierGroup(t *testing.T) {
	const head = "regions: {w: {data_centres: [wa]}, e: {data_centres: [ea]}}\nservices: [s]\ntenants: [t, x, y]\n"
	const rule = "  - {name: %s, reason: r, match: {tenant: %s}, set: {home_regions: [%s]}}\n"
	decode := func(rules string) *Configuration {
		c, err := Decode([]byte(head + "defaults: {home_regions: any}\nexceptions:\n" + rules))
		if err != nil {
			t.Fatal(err)
		}
		return c
	}
	earlier := decode(fmt.Sprintf(rule, "n", "t", "w"))
	now := decode(fmt.Sprintf(rule, "n", "t", "w") + fmt.Sprintf(rule, "o", "x", "e"))
	group := func(home keyspace.Home) keyspace.Group { return keyspace.Group{Service: "s", Home: home} }
	if got := now.HomesOfEarlierGroup(earlier, group("w")); !slices.Equal(got, []keyspace.Home{"w"}) {
		t.Errorf("group w: %v", got)
	}
	if got := now.HomesOfEarlierGroup(earlier, group("")); !slices.Equal(got, []keyspace.Home{"", "e"}) {
		t.Errorf("group any: %v", got)
	}
}
