package node_test

import (
	"context"
	"testing"
	"time"

	"heatherreel/internal/feed"
	"heatherreel/internal/node"
	"heatherreel/internal/problem"
	"heatherreel/internal/registry"
	"heatherreel/internal/routed"
	"heatherreel/internal/storeera"
)

// eraRouter answers calls of the store with a page and an error.
type eraRouter struct {
	feedRouter
	page   registry.Page
	err    error
	report storeera.Report
}

// Probe implements node.RouterService.
func (r *eraRouter) Probe(int64) (string, routed.Load) { return "k1", routed.Load{Store: r.report} }

// StoreCall implements node.RouterService.
func (r *eraRouter) StoreCall(context.Context, registry.Call) (registry.Page, error) {
	return r.page, r.err
}

// Guards against a node that does not learn of a rollback of the store because it reads through others, also if the answer
// is an error.
func TestErasPassBetweenNodes(t *testing.T) {
	router := &eraRouter{page: registry.Page{End: 3, Era: 5}}
	server, err := node.NewRouterServer(router)
	requireNoError(t, err)
	f := newFixtureFor(t, server.Serve)
	for _, failure := range []error{nil, problem.New(problem.PastRetention, "read the newest records", "no such offset")} {
		router.err = failure
		page, err := f.client.StoreCall(t.Context(), f.relay.Address(), registry.Call{Operation: registry.OperationRead, Topic: "operators"})
		if page.Era != 5 || problem.KindOf(err) != problem.KindOf(failure) {
			t.Errorf("era %d, %v, want %v", page.Era, err, failure)
		}
	}
	router.answer = feed.Answer{Page: registry.Page{End: 7, Era: 6}, Snapshot: true}
	answer, err := f.client.ReadTopic(t.Context(), f.relay.Address(), feed.Request{Topic: "operators", From: 4, Wait: time.Second, Era: 5})
	if err != nil || answer.Page.Era != 6 || router.request.Era != 5 {
		t.Errorf("the request of era 5 arrived with era %d, the answer of era 6 with %d, %v", router.request.Era, answer.Page.Era, err)
	}
}

// Guards against a report on earlier eras of the store that is lost between nodes, and one that is taken from a node that
// gave none.
func TestReportsOnErasPassBetweenNodes(t *testing.T) {
	router := &eraRouter{}
	server, err := node.NewRouterServer(router)
	requireNoError(t, err)
	f := newFixtureFor(t, server.Serve)
	for _, report := range []storeera.Report{{}, {Era: 3, Revision: 7, NoRanges: true, Settled: true}} {
		router.report = report
		instance, load, err := f.client.Probe(t.Context(), f.relay.Address(), -1)
		if err != nil || instance != "k1" || load.Store != report {
			t.Errorf("%s reports %+v, want %+v, %v", instance, load.Store, report, err)
		}
	}
}
