package node_test

import (
	"context"
	"testing"
	"time"

	"heatherreel/internal/node"
	"heatherreel/internal/problem"
	"heatherreel/internal/registry"
)

// storeRouter answers calls of the store after delay, or when unblock is closed.
type storeRouter struct {
	echoRouter
	delay   time.Duration
	unblock chan struct{}
}

// StoreCall implements node.RouterService.
func (s *storeRouter) StoreCall(ctx context.Context, c registry.Call) (registry.Page, error) {
	timer := time.NewTimer(s.delay)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-s.unblock:
	case <-ctx.Done():
	}
	return registry.Page{End: c.From + 1}, nil
}

// storeCallTimeout is the longest timeout of a call of the store through another node.
const storeCallTimeout = 14 * time.Second

// Guards against a node that waits seconds for a read of the store through a node that has lost power, whether that
// happens before the read, on an idle connection, or during it.
func TestLostNodeEndsStoreCall(t *testing.T) {
	// The silence until the check, the check, a ping before the read, and a margin for a loaded machine.
	const limit = 400*time.Millisecond + 500*time.Millisecond + 150*time.Millisecond + 500*time.Millisecond
	read := registry.Call{Operation: registry.OperationRead, Topic: "operators", From: 3, Wait: 1500 * time.Millisecond}
	for name, lostAfter := range map[string]time.Duration{"before": 0, "during": 300 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			router := &storeRouter{unblock: make(chan struct{})}
			server, err := node.NewRouterServer(router)
			requireNoError(t, err)
			f := newFixtureFor(t, server.Serve)
			_, err = f.client.StoreCall(t.Context(), f.relay.Address(), read)
			requireNoError(t, err)
			router.delay = time.Hour
			lost := time.AfterFunc(lostAfter, func() { f.relay.Delay(time.Hour, time.Hour) })
			defer lost.Stop()
			if lostAfter == 0 {
				// The connection is idle for longer than it counts as working.
				<-time.After(idleBeforePing)
			}
			ctx, cancel := context.WithTimeout(t.Context(), storeCallTimeout)
			defer cancel()
			started := time.Now()
			_, err = f.client.StoreCall(ctx, f.relay.Address(), read)
			if took := time.Since(started) - lostAfter; took > limit || node.PeerStateOf(err) != node.PeerSilent || problem.KindOf(err) == "" {
				t.Errorf("the read ended %v after the node was lost: %v, peer %q", took, err, node.PeerStateOf(err))
			}
		})
	}
}

// Guards against giving up a read through a node that answers, but needs long to read a large record over a slow link.
func TestSlowNodeCompletesStoreCall(t *testing.T) {
	server, err := node.NewRouterServer(&storeRouter{delay: 3 * time.Second, unblock: make(chan struct{})})
	requireNoError(t, err)
	f := newFixtureFor(t, server.Serve)
	ctx, cancel := context.WithTimeout(t.Context(), storeCallTimeout)
	defer cancel()
	page, err := f.client.StoreCall(ctx, f.relay.Address(), registry.Call{Operation: registry.OperationRead, Topic: "operators", From: 3})
	if err != nil || page.End != 4 {
		t.Errorf("got %+v, %v", page, err)
	}
}
