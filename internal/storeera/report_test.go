package storeera

import (
	"testing"
	"time"

	"heatherreel/internal/keyrange"
)

// Guards against a service that begins without a wait although a member of it has not denied that it knows a table, and
// against a wait where all have.
func TestOnlyConfirmedNewServiceBeginsAtOnce(t *testing.T) {
	asked := []Witness{{"a", "r1"}, {"b", "r2"}}
	denial := Report{Era: 1, NoRanges: true}
	for name, c := range map[string]struct {
		answers map[string]Report
		want    bool
	}{
		"all deny":           {map[string]Report{"a": denial, "b": denial}, true},
		"one is silent":      {map[string]Report{"a": denial}, false},
		"one knows a table":  {map[string]Report{"a": denial, "b": {Era: 1}}, false},
		"of an earlier era":  {map[string]Report{"a": denial, "b": {NoRanges: true}}, false},
		"an earlier version": {map[string]Report{"a": denial, "b": {}}, false},
	} {
		if got := NoRangesConfirmed(1, asked, c.answers); got != c.want {
			t.Errorf("%s: confirmed %v", name, got)
		}
	}
	start := keyrange.Instant(time.Hour)
	var o Ownership
	o.Advance(1, start)
	if o.MayChange(false, 0, true, start.Add(keyrange.ClaimWait-1)) || !o.MayChange(false, 0, true, start.Add(keyrange.ClaimWait)) {
		t.Error("the wait without a table is not ClaimWait")
	}
	o.ConfirmNone(0)
	if o.MayChange(false, 0, true, start) {
		t.Error("a denial of an earlier era ends the wait")
	}
	o.ConfirmNone(1)
	if !o.MayChange(false, 0, true, start) || o.MayChange(true, 1, true, start) {
		t.Error("a new service waits, or a table of an earlier era is changed at once")
	}
	if o.Advance(2, start); o.MayChange(false, 0, true, start) {
		t.Error("the denial outlives its era")
	}
}
