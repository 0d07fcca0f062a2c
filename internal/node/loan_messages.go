package node

import (
	"context"
	"math"

	"heatherreel/internal/node/nodepb"
	"heatherreel/internal/quota"
)

// Lend implements nodepb.DRPCRouterServer. It submits no job to a worker pool, as it only computes.
func (e *routerEndpoint) Lend(_ context.Context, m *nodepb.LendRequest) (*nodepb.LendResponse, error) {
	asks := make([]quota.Ask, 0, len(m.Asks))
	for _, a := range m.Asks {
		asks = append(asks, quota.Ask{Tenant: a.GetTenant(), Wanted: int(min(a.GetWanted(), math.MaxInt32))})
	}
	response := &nodepb.LendResponse{}
	for _, g := range e.service.Lend(m.Borrower, asks) {
		response.Grants = append(response.Grants, &nodepb.LoanGrant{Tenant: g.Tenant, Count: encodeCount(g.Count), RetryAfterUs: encodeDuration(g.RetryAfter)})
	}
	return response, nil
}

// Lend asks the node at address for loans to the instance borrower.
func (c *Client) Lend(ctx context.Context, address, borrower string, asks []quota.Ask) ([]quota.Grant, error) {
	conn, err := c.connPool.take(ctx, address, false)
	if err != nil {
		return nil, err
	}
	m := &nodepb.LendRequest{Borrower: borrower}
	for _, a := range asks {
		m.Asks = append(m.Asks, &nodepb.LoanAsk{Tenant: a.Tenant, Wanted: encodeCount(a.Wanted)})
	}
	response, err := nodepb.NewDRPCRouterClient(conn).Lend(ctx, m)
	grants := make([]quota.Grant, 0, len(asks))
	for _, g := range response.GetGrants() {
		grants = append(grants, quota.Grant{Tenant: g.GetTenant(), Count: int(min(g.GetCount(), math.MaxInt32)), RetryAfter: decodeDuration(g.GetRetryAfterUs())})
	}
	return grants, c.finishCall(address, conn, err)
}

// encodeCount returns a number of requests as it is encoded in messages.
func encodeCount(n int) uint32 { return uint32(min(max(n, 0), math.MaxInt32)) }
