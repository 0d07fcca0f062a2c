package gateway

import (
	"context"
	"net"
	"strings"
	"time"

	"heatherreel/internal/feed"
	"heatherreel/internal/node"
	"heatherreel/internal/problem"
	"heatherreel/internal/quota"
	"heatherreel/internal/registry"
	"heatherreel/internal/routed"
)

// peers calls the other instances, as seen from one instance.
type peers struct {
	sim  *simulation
	from string
}

// nodeAddress returns the address of the node of an instance: an IP address that holds its name.
func nodeAddress(instance string) string {
	var ip [net.IPv6len]byte
	ip[0] = 0xfd
	copy(ip[1:], instance)
	return net.JoinHostPort(net.IP(ip[:]).String(), "7620")
}

// instanceAt returns the instance whose node has an address.
func instanceAt(address string) string {
	host, _, _ := net.SplitHostPort(address)
	ip := net.ParseIP(host)
	if len(ip) == 0 {
		return ""
	}
	return strings.TrimRight(string(ip[1:]), "\x00")
}

// reach returns the gateway of an instance, or the error of a connection that cannot be opened.
func (p *peers) reach(ctx context.Context, instance string) (*Gateway, error) {
	p.sim.mu.Lock()
	inst := p.sim.instances[instance]
	disconnected := p.sim.disconnected[instance] || p.sim.disconnected[p.from]
	withoutPower := p.sim.withoutPower[instance]
	var g *Gateway
	if inst != nil {
		g = inst.gateway
	}
	p.sim.mu.Unlock()
	if withoutPower {
		<-ctx.Done()
		return nil, problem.New(problem.Unavailable, "check the node", "no answer of %s: %w", instance, &node.SilenceError{Peer: node.PeerSilent, Cause: ctx.Err()})
	}
	if disconnected {
		sleep(ctx, 300*time.Millisecond)
	}
	if disconnected || g == nil {
		return nil, problem.New(problem.NotSent, "check the node", "cannot connect to %s", instance)
	}
	return g, nil
}

// Dispatch implements Peers.
func (p *peers) Dispatch(ctx context.Context, address string, r routed.Request, onSilent func(node.PeerState)) (routed.Answer, error) {
	address = instanceAt(address)
	g, err := p.reach(ctx, address)
	if err != nil {
		return routed.Answer{}, err
	}
	p.sim.mu.Lock()
	if p.sim.onDispatch != nil {
		p.sim.onDispatch(address, r)
	}
	refusal, network, overNetwork := p.sim.refusals[address], p.sim.network, p.sim.dispatchOverNetwork
	p.sim.mu.Unlock()
	switch {
	case network != nil:
		return network.dispatch(ctx, p.from, address, r, onSilent)
	case overNetwork != nil:
		return overNetwork(ctx, address, r, onSilent)
	case refusal != "":
		return routed.NotRun(refusal, 0), p.delayAnswer(ctx, address, r, onSilent)
	}
	answer := g.Dispatch(ctx, r, node.DispatchProgress{})
	if err := p.delayAnswer(ctx, address, r, onSilent); err != nil {
		return routed.Answer{}, err
	}
	p.sim.mu.Lock()
	defer p.sim.mu.Unlock()
	if address == p.sim.silentAfterRun {
		p.sim.disconnected[address] = true
		return routed.Answer{}, problem.New(problem.Unavailable, "check the node", "the connection to %s stopped responding", address)
	}
	return answer, nil
}

// silenceLimit is the time without data after which a path counts as silent.
const silenceLimit = 700 * time.Millisecond

// delayAnswer waits as long as the path from the instance at address delays its answers.
func (p *peers) delayAnswer(ctx context.Context, address string, r routed.Request, onSilent func(node.PeerState)) error {
	p.sim.mu.Lock()
	delay, state := p.sim.answerDelays[address], node.PeerSilent
	if p.sim.deadConnections[address] > 0 {
		p.sim.deadConnections[address]--
		delay, state = time.Hour, node.PeerAnswers
	}
	p.sim.mu.Unlock()
	repeated := r.Repetition == routed.RepeatedElsewhere || r.Repetition == routed.RepeatedAtOwner && state == node.PeerAnswers
	if delay > silenceLimit && repeated && onSilent != nil {
		sleep(ctx, silenceLimit)
		delay -= silenceLimit
		onSilent(state)
	}
	if !sleep(ctx, delay) {
		return problem.New(problem.Unavailable, "check the node", "no answer of %s: %w", address, ctx.Err())
	}
	return nil
}

// Probe implements Peers.
func (p *peers) Probe(ctx context.Context, address string, rangesEnd int64) (string, routed.Load, error) {
	address = instanceAt(address)
	g, err := p.reach(ctx, address)
	if err != nil {
		return "", routed.Load{}, err
	}
	instance, load := g.Probe(rangesEnd)
	return instance, load, nil
}

// StoreCall implements Peers.
func (p *peers) StoreCall(ctx context.Context, address string, c registry.Call) (registry.Page, error) {
	address = instanceAt(address)
	g, err := p.reach(ctx, address)
	if err != nil {
		return registry.Page{}, err
	}
	return g.StoreCall(ctx, c)
}

// feedSilenceLimit is the time without an answer after which a connection to a silent feed is given up, in addition to
// the wait.
const feedSilenceLimit = 300 * time.Millisecond

// ReadTopic implements Peers.
func (p *peers) ReadTopic(ctx context.Context, address string, r feed.Request) (feed.Answer, error) {
	address = instanceAt(address)
	g, err := p.reach(ctx, address)
	if err != nil {
		return feed.Answer{}, err
	}
	p.sim.mu.Lock()
	silent, delay := p.sim.silentFeeds[address] || p.sim.withoutPower[address], p.sim.topicDelay
	p.sim.mu.Unlock()
	if silent {
		sleep(ctx, r.Wait+feedSilenceLimit)
		return feed.Answer{}, problem.New(problem.Unavailable, "check the node", "the connection to %s is silent", address)
	}
	if delay == nil {
		return g.ReadTopic(ctx, r)
	}
	sleep(ctx, delay())
	answer, err := g.ReadTopic(ctx, r)
	sleep(ctx, delay())
	return answer, err
}

// Lend implements Peers.
func (p *peers) Lend(ctx context.Context, address, borrower string, asks []quota.Ask) ([]quota.Grant, error) {
	g, err := p.reach(ctx, instanceAt(address))
	if err != nil {
		return nil, err
	}
	p.sim.lendCalls.Add(1)
	return g.Lend(borrower, asks), nil
}
