package gateway

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"heatherreel/internal/keyrange"
)

// Guards against busy keys that always move to the same few of many owners, because these are asked for their load first
// and the time is over then.
func TestAnyOwnerIsAskedForItsLoad(t *testing.T) {
	const owners, rounds = 91, 400
	random := rand.New(rand.NewPCG(3, 4))
	var candidates []keyrange.Candidate
	for i := range owners {
		candidates = append(candidates, keyrange.Candidate{Owner: keyrange.Owner{Instance: fmt.Sprintf("i-%02d", i)}})
	}
	asked := map[string]int{}
	for range rounds {
		sample := sampleOwners(candidates, "i-07", maxLoadProbes, random.Shuffle)
		distinct := map[string]bool{}
		for _, c := range sample {
			asked[c.Owner.Instance]++
			distinct[c.Owner.Instance] = true
		}
		if len(distinct) != maxLoadProbes {
			t.Fatalf("%d owners are asked", len(distinct))
		}
	}
	mean := float64(rounds*maxLoadProbes) / (owners - 1)
	for i := range owners {
		name := fmt.Sprintf("i-%02d", i)
		if n := float64(asked[name]); name == "i-07" && n > 0 || name != "i-07" && (n < mean/2 || n > mean*2) {
			t.Errorf("%s is asked %v times, the mean is %.1f", name, n, mean)
		}
	}
	if got := sampleOwners(candidates[:5], "i-02", maxLoadProbes, random.Shuffle); len(got) != 4 {
		t.Errorf("%d of 4 other owners are asked", len(got))
	}
}
