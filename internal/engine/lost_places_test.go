package engine

import (
	"strings"
	"testing"
	"time"

	"heatherreel/internal/config"
)

// Guards against a changed key that is served while a request of a lost node may still run: backend servers that check
// grants do not refuse it, and a tenant may have longer deadlines than the rest.
func TestLostPlacesUntil(t *testing.T) {
	const text = "regions: {w: {data_centres: [wa]}}\nservices: [s]\ntenants: [t]\n" +
		"defaults: {home_regions: any, max_deadline: 4s, in_flight_bound: 1s, checks_grants: %s}\n" +
		"exceptions: [{name: n, reason: r, match: {tenant: t}, set: {max_deadline: 7s}}]\n"
	read := time.UnixMilli(1_000_000)
	for grants, want := range map[string]time.Duration{"true": 7 * time.Second, "false": time.Second} {
		c, err := config.Decode([]byte(strings.Replace(text, "%s", grants, 1)))
		if err != nil {
			t.Fatal(err)
		}
		var l latestLosses
		l.add(lossLocation{"s", "wa"}, read.Add(time.Hour).UnixMilli(), read)
		l.add(lossLocation{"other", "wa"}, read.UnixMilli(), read.Add(time.Minute))
		if got := l.latestEnd(c, "s").Sub(read); got != want {
			t.Errorf("checks_grants %s: until %s after the loss was read, want %s", grants, got, want)
		}
	}
}
