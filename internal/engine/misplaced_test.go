package engine

import (
	"testing"

	"heatherreel/internal/config"
)

// Guards against a node whose settings name another region than the configuration, and that would own keys confined to
// that region.
func TestMisplacedNodeIsTold(t *testing.T) {
	const document = "regions:\n  r: {data_centres: [a]}\n  q: {data_centres: [b]}\nservices: [s]\n" +
		"defaults: {home_regions: any}\n"
	c, err := config.Decode([]byte(document))
	if err != nil {
		t.Fatal(err)
	}
	for _, place := range []struct {
		dataCentre, region string
		right              bool
	}{{"a", "r", true}, {"a", "q", false}, {"b", "r", false}, {"x", "r", false}} {
		e := &Engine{options: Options{Self: Self{DataCentre: place.dataCentre, Region: place.region}}}
		if got := e.regionMatches(c); got != place.right {
			t.Errorf("%s in %s: %v, want %v", place.dataCentre, place.region, got, place.right)
		}
	}
}
