package routing

import (
	"testing"

	"pgregory.net/rapid"

	"heatherreel/internal/keyspace"
	"heatherreel/internal/ledger"
)

// Guards against any decision that serves or forwards a request outside its home regions, or redirects the caller to a
// node there, for all states of the node. An empty region is not in any non-empty set of home regions.
func TestNothingLeavesTheHomeRegions(t *testing.T) {
	region := rapid.SampledFrom([]string{"", "a", "b", "ab", "c"})
	rapid.Check(t, func(t *rapid.T) {
		home := keyspace.NewHome(rapid.SliceOfN(rapid.SampledFrom([]string{"a", "b", "ab"}), 1, 3).Draw(t, "home"))
		owner := member(ledger.Incarnation(rapid.SampledFrom([]uint64{2, 2, 1}).Draw(t, "owner")), region.Draw(t, "owner region"))
		s := Snapshot{
			Self: 1, Region: region.Draw(t, "region"), Home: home, Owner: owner,
			Forwarded: rapid.Bool().Draw(t, "forwarded"), Known: rapid.SampledFrom([]bool{true, true, false}).Draw(t, "known"),
			Serves: rapid.Bool().Draw(t, "serves"), LeaseHeld: rapid.Bool().Draw(t, "lease"),
		}
		if rapid.Bool().Draw(t, "no owner") {
			s.Owner = nil
		}
		d := Decide(&s)
		if (d.Action == Local || d.Action == Forward) && !home.Allows(s.Region) {
			t.Fatalf("%+v in %q, home %q", d, s.Region, home)
		}
		redirectable := !home.Allows(s.Region) && !s.Forwarded && s.Owner != nil && home.Allows(owner.Region)
		if (d.Action == Redirect) != redirectable {
			t.Fatalf("%+v in %q, owner in %q, home %q", d, s.Region, owner.Region, home)
		}
		switch d.Action {
		case Local:
			if !home.Allows(s.Region) {
				t.Fatalf("served in %q, home %q", s.Region, home)
			}
		case Forward:
			if !home.Allows(s.Region) || !home.Allows(owner.Region) {
				t.Fatalf("sent from %q to %q, home %q", s.Region, owner.Region, home)
			}
		case Redirect:
			if d.Address != owner.Addresses.Callers || !home.Allows(owner.Region) {
				t.Fatalf("the caller is sent to %q, home %q", owner.Region, home)
			}
		}
	})
}
