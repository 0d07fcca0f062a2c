package engine

import (
	"context"
	"fmt"
	"sync"
	"time"

	"heatherreel/internal/config"
	"heatherreel/internal/keyspace"
	"heatherreel/internal/ledger"
	"heatherreel/internal/request"
)

// ingressNode returns a live node of a data centre that is not stopping; nil if there is none. Successive values of n
// select the nodes in turn.
func (f *fleet) ingressNode(dataCentre string, n int) *fleetNode {
	var candidates []*fleetNode
	for _, candidate := range f.liveNodes() {
		if candidate.DataCentre == dataCentre && !candidate.engine.stopping.Load() {
			candidates = append(candidates, candidate)
		}
	}
	if len(candidates) == 0 {
		return nil
	}
	return candidates[n%len(candidates)]
}

// send sends a request to a node as a caller does. If the node is killed meanwhile, the connection is lost.
func (f *fleet) send(n *fleetNode, r request.Request) request.Answer {
	if !n.host.AwaitRunning() {
		return request.Refuse(request.OwnerUnreachable, "ask another node")
	}
	ctx, cancel := context.WithDeadline(context.Background(), r.Deadline)
	defer cancel()
	result := make(chan request.Answer, 1)
	go func() { result <- n.engine.Serve(ctx, r) }()
	select {
	case answer := <-result:
		return answer
	case <-n.host.KilledSignal():
		return request.Uncertain(request.ConnectionLost, "repeat the request")
	}
}

// Probe implements scenario.Environment.
func (f *fleet) Probe(service, dataCentre string) ([]request.Answer, error) {
	n := f.ingressNode(dataCentre, 0)
	if n == nil {
		return nil, fmt.Errorf("no node runs in %s", dataCentre)
	}
	limits, err := n.engine.Limits(service, callerTenant)
	if err != nil {
		return nil, err
	}
	keys := f.keyPerSlice(n, service)
	answers := make([]request.Answer, len(keys))
	var pending sync.WaitGroup
	for i, key := range keys {
		pending.Add(1)
		go func() {
			defer pending.Done()
			answers[i] = f.send(n, newReadRequest(service, key, limits.DefaultDeadline))
		}()
	}
	pending.Wait()
	return answers, nil
}

// callerTenant is the tenant of all probes and loads.
const callerTenant = "t"

// newReadRequest returns an idempotent read. Its deadline is the given duration from now.
func newReadRequest(service, key string, deadline time.Duration) request.Request {
	return request.Request{
		Service: service, Tenant: callerTenant, Key: key, Method: "GET", Idempotent: true, Deadline: time.Now().Add(deadline),
	}
}

// keyPerSlice returns one key for each slice of the group to which the keys of callerTenant belong.
func (f *fleet) keyPerSlice(n *fleetNode, service string) []string {
	count := 0
	n.engine.ledger.read(func(s *ledger.State, c *config.Configuration) {
		home := c.Resolve(config.Subject{Service: service, Tenant: callerTenant}).HomeRegions
		if g := s.Groups[keyspace.Group{Service: service, Home: home}]; g != nil {
			count = len(g.Slices)
		}
	})
	keys := make([]string, count)
	for i, filled := 0, 0; filled < count; i++ {
		key := fmt.Sprintf("key-%d", i)
		index := keyspace.Index(keyspace.Hash(key), uint32(count))
		if keys[index] == "" {
			keys[index] = key
			filled++
		}
	}
	return keys
}
