package gateway

import (
	"math/rand/v2"
	"slices"

	"heatherreel/internal/registry"
	"heatherreel/internal/storeera"
)

// confirmRevision asks other nodes for the newest revision after a rollback of the store if the configuration in force
// decides on keys of tenants.
func (g *Gateway) confirmRevision() {
	now, era := g.deps.Now(), g.era.current.Load()
	if era == 0 || !hasTenants(g.routes.current()) || !g.members.isSynced() {
		return
	}
	due := false
	g.proof.update(func(r *storeera.Revisions) { due = r.AskDue(now) })
	if !due || !g.proof.asking.CompareAndSwap(false, true) {
		return
	}
	others := g.members.others()
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	// Members of this region answer first, and usually suffice for a process that starts long after a rollback.
	slices.SortStableFunc(others, func(a, b registry.Member) int {
		return boolCount(a.Region != g.self.Region) - boolCount(b.Region != g.self.Region)
	})
	asked := storeera.RevisionWitnesses(witnesses(others))
	g.askForReports(g.membersOf(asked), func(answers map[string]storeera.Report) {
		for _, report := range answers {
			g.noteRevision(report.Revision)
		}
		g.proof.update(func(r *storeera.Revisions) { r.Confirm(era, asked, answers, g.deps.Now()) })
		g.noteProof()
	}, func() { g.proof.asking.Store(false) })
}

// membersOf returns the members that are still known.
func (g *Gateway) membersOf(chosen []storeera.Witness) []registry.Member {
	var members []registry.Member
	for _, w := range chosen {
		if m, known := g.members.get(w.Instance); known {
			members = append(members, m)
		}
	}
	return members
}

// others returns the members of all services but this node.
func (t *memberTable) others() []registry.Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	var members []registry.Member
	for name, p := range t.peers {
		if name != t.self.Instance {
			members = append(members, p.Member)
		}
	}
	return members
}
