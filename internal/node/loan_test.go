package node_test

import (
	"slices"
	"testing"
	"time"

	"heatherreel/internal/node"
	"heatherreel/internal/quota"
)

// loanRouter records the asks of a borrower and grants them all.
type loanRouter struct {
	doneRouter
	borrower string
	asks     []quota.Ask
}

// Lend implements node.RouterService.
func (r *loanRouter) Lend(borrower string, asks []quota.Ask) (grants []quota.Grant) {
	r.borrower, r.asks = borrower, asks
	for _, a := range asks {
		grants = append(grants, quota.Grant{Tenant: a.Tenant, Count: a.Wanted, RetryAfter: 40 * time.Millisecond})
	}
	return grants
}

// Guards against a part of an ask or a grant that is lost or changed between nodes.
func TestLoansReachBorrower(t *testing.T) {
	service := &loanRouter{}
	server, err := node.NewRouterServer(service)
	if err != nil {
		t.Fatal(err)
	}
	client := node.NewClient()
	defer client.Close()
	asks := []quota.Ask{{Tenant: "a", Wanted: 7}, {Tenant: "b", Wanted: 1}}
	grants, err := client.Lend(t.Context(), serveNode(t, server), "i-1", asks)
	want := []quota.Grant{{Tenant: "a", Count: 7, RetryAfter: 40 * time.Millisecond}, {Tenant: "b", Count: 1, RetryAfter: 40 * time.Millisecond}}
	if err != nil || service.borrower != "i-1" || !slices.Equal(service.asks, asks) || !slices.Equal(grants, want) {
		t.Errorf("asked %+v by %q, granted %+v, %v", service.asks, service.borrower, grants, err)
	}
}
