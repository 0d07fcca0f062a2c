package engine

import (
	"strings"
	"testing"
	"time"

	"heatherreel/internal/config"
)

// Guards against serving a key whose home regions changed while a request of a lost node may still run. Backend servers
// that check grants do not refuse that request, because it belongs to a slice of another group. The bound must cover
// the longest deadline of any tenant.
func TestLatestLossesEnd(t *testing.T) {
	const document = "regions: {w: {data_centres: [wa]}}\nservices: [s]\ntenants: [t]\n" +
		"defaults: {home_regions: any, max_deadline: 4s, in_flight_bound: 1s, checks_grants: %s}\n" +
		"exceptions: [{name: n, reason: r, match: {tenant: t}, set: {max_deadline: 7s}}]\n"
	readAt := time.UnixMilli(1_000_000)
	for checksGrants, want := range map[string]time.Duration{"true": 7 * time.Second, "false": time.Second} {
		c, err := config.Decode([]byte(strings.Replace(document, "%s", checksGrants, 1)))
		if err != nil {
			t.Fatal(err)
		}
		var losses latestLosses
		losses.add(lossLocation{"s", "wa"}, readAt.Add(time.Hour).UnixMilli(), readAt)
		losses.add(lossLocation{"other", "wa"}, readAt.UnixMilli(), readAt.Add(time.Minute))
		if got := losses.latestEnd(c, "s").Sub(readAt); got != want {
			t.Errorf("checks_grants %s: latest end %s after the loss was read, want %s", checksGrants, got, want)
		}
	}
}
