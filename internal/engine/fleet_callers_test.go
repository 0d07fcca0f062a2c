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

// ingress returns a living node of a data centre, a different one for each n; nil if there is none.
func (f *fleet) ingress(dataCentre string, n int) *fleetNode {
	var here []*fleetNode
	for _, candidate := range f.living() {
		if candidate.DataCentre == dataCentre && !candidate.engine.stopping.Load() {
			here = append(here, candidate)
		}
	}
	if len(here) == 0 {
		return nil
	}
	return here[n%len(here)]
}

// send sends a request to a node as a caller does: a killed node drops the connection.
func (f *fleet) send(n *fleetNode, r request.Request) request.Answer {
	if !n.host.Pass() {
		return request.Refuse(request.OwnerUnreachable, "ask another node")
	}
	ctx, cancel := context.WithDeadline(context.Background(), r.Deadline)
	defer cancel()
	result := make(chan request.Answer, 1)
	go func() { result <- n.engine.Serve(ctx, r) }()
	select {
	case answer := <-result:
		return answer
	case <-n.host.Dead():
		return request.Uncertain(request.ConnectionLost, "repeat the request")
	}
}

// Probe implements scenario.World.
func (f *fleet) Probe(service, dataCentre string) ([]request.Answer, error) {
	n := f.ingress(dataCentre, 0)
	if n == nil {
		return nil, fmt.Errorf("no node runs in %s", dataCentre)
	}
	limits, err := n.engine.Limits(service, probeTenant)
	if err != nil {
		return nil, err
	}
	keys := f.keyPerSlice(n, service)
	answers := make([]request.Answer, len(keys))
	var all sync.WaitGroup
	for i, key := range keys {
		all.Add(1)
		go func() {
			defer all.Done()
			answers[i] = f.send(n, readOf(service, key, limits.DefaultDeadline))
		}()
	}
	all.Wait()
	return answers, nil
}

// probeTenant sends probes and loads.
const probeTenant = "t"

// readOf returns an idempotent read.
func readOf(service, key string, deadline time.Duration) request.Request {
	return request.Request{
		Service: service, Tenant: probeTenant, Key: key, Method: "GET", Idempotent: true, Deadline: time.Now().Add(deadline),
	}
}

// keyPerSlice returns one key for each slice of the group of the probing tenant.
func (f *fleet) keyPerSlice(n *fleetNode, service string) []string {
	count := 0
	n.engine.ledger.read(func(s *ledger.State, c *config.Configuration) {
		home := c.Resolve(config.Subject{Service: service, Tenant: probeTenant}).HomeRegions
		if g := s.Groups[keyspace.Group{Service: service, Home: home}]; g != nil {
			count = len(g.Slices)
		}
	})
	keys := make([]string, count)
	for i, found := 0, 0; found < count; i++ {
		key := fmt.Sprintf("key-%d", i)
		index := keyspace.Index(keyspace.Hash(key), uint32(count))
		if keys[index] == "" {
			keys[index] = key
			found++
		}
	}
	return keys
}
