package engine

import (
	"testing"

	"heatherreel/internal/config"
)

// Guards against a node that owns keys outside of their home regions because its settings name another region than the
// configuration assigns to its data centre.
func TestRegionMatches(t *testing.T) {
	const document = "regions:\n  r: {data_centres: [a]}\n  q: {data_centres: [b]}\nservices: [s]\n" +
		"defaults: {home_regions: any}\n"
	c, err := config.Decode([]byte(document))
	if err != nil {
		t.Fatal(err)
	}
	for _, node := range []struct {
		dataCentre, region string
		matches            bool
	}{{"a", "r", true}, {"a", "q", false}, {"b", "r", false}, {"x", "r", false}} {
		e := &Engine{options: Options{Self: Self{DataCentre: node.dataCentre, Region: node.region}}}
		if got := e.regionMatches(c); got != node.matches {
			t.Errorf("%s in %s: %v, want %v", node.dataCentre, node.region, got, node.matches)
		}
	}
}
