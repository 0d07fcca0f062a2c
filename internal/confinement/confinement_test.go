package confinement

import (
	"slices"
	"testing"

	"pgregory.net/rapid"

	"heatherreel/internal/keyspace"
	"heatherreel/internal/request"
)

// Guards against a redirect without a place, and against a refusal where a home owner lives.
func TestDecide(t *testing.T) {
	home := keyspace.NewHome([]string{"varna", "sofia"})
	cases := map[string]struct {
		home   keyspace.Home
		here   string
		owners []string
		want   Decision
	}{
		"no home regions":       {"", "emea-west", nil, Decision{Action: Allow}},
		"at home":               {home, "sofia", nil, Decision{Action: Allow}},
		"elsewhere":             {home, "emea-west", []string{"emea-west", "varna", "sofia"}, Decision{Redirect, "varna", request.WrongRegion}},
		"elsewhere, no owner":   {home, "emea-west", []string{"emea-west"}, Decision{Refuse, "", request.NoHomeOwner}},
		"part of a region name": {home, "sof", []string{"sofia+varna"}, Decision{Refuse, "", request.NoHomeOwner}},
		"region not known":      {home, "", []string{""}, Decision{Refuse, "", request.NoHomeOwner}},
	}
	for name, c := range cases {
		if got := Decide(c.home, c.here, c.owners); got != c.want {
			t.Errorf("%s: got %+v, want %+v", name, got, c.want)
		}
	}
}

// Guards against any decision that lets a request with home regions reach another region.
func TestNothingLeavesTheHomeRegions(t *testing.T) {
	region := rapid.SampledFrom([]string{"a", "b", "ab", "c", "d"})
	rapid.Check(t, func(t *rapid.T) {
		names := rapid.SliceOfN(region, 1, 3).Draw(t, "home")
		here := region.Draw(t, "here")
		owners := rapid.SliceOf(region).Draw(t, "owners")
		home := keyspace.NewHome(names)
		got := Decide(home, here, owners)
		inside := slices.Contains(names, here)
		if (got.Action == Allow) != inside {
			t.Fatalf("%+v at %s with home %s", got, here, home)
		}
		if got.Action == Redirect && (!slices.Contains(names, got.Region) || !slices.Contains(owners, got.Region)) {
			t.Fatalf("redirected to %s with home %s and owners %v", got.Region, home, owners)
		}
		living := slices.ContainsFunc(owners, func(o string) bool { return slices.Contains(names, o) })
		if !inside && (got.Action == Redirect) != living {
			t.Fatalf("%+v with home %s and owners %v", got, home, owners)
		}
		for _, owner := range owners {
			if MaySend(home, owner) != slices.Contains(names, owner) {
				t.Fatalf("sending to %s with home %s", owner, home)
			}
		}
	})
}
