// Package routing decides where a request goes: served here, forwarded to its owner, redirected or refused.
//
// All functions are pure and allocate nothing.
package routing

import (
	"heatherreel/internal/keyspace"
	"heatherreel/internal/ledger"
	"heatherreel/internal/request"
)

// Action is what to do with a request.
type Action uint8

// Actions. The zero value runs nothing.
const (
	// Refuse answers that the request did not run.
	Refuse Action = iota
	// Local executes the request on this node.
	Local
	// Forward sends the request to the owner's node address.
	Forward
	// Redirect names the caller address of a node in a home region.
	Redirect
)

// Snapshot is what a node knows about one request when it decides.
type Snapshot struct {
	Self   ledger.Incarnation
	Region string
	Home   keyspace.Home
	// Forwarded tells that another node sent the request here. Such a request is never sent on: during a change of
	// ownership two nodes may name each other as owner.
	Forwarded bool
	// Known tells that the group of the key has slices.
	Known bool
	// HomesChanged tells that the key had other home regions until recently.
	HomesChanged bool
	// Slice is the assignment of the key's slice; its fence goes with the request.
	Slice ledger.Slice
	// Owner is the member that owns the slice; nil if there is none.
	Owner *ledger.Member
	// Serves tells that this node may execute requests for the slice now: lease held and all sources released.
	Serves bool
	// LeaseHeld tells that the lease of this node holds.
	LeaseHeld bool
	// HomeCallers is the caller address of some node in a home region, for a slice without a known owner; may be empty.
	HomeCallers string
}

// Decision is the result of Decide.
type Decision struct {
	Action Action
	// Owner and Address are set for Forward: the incarnation asked, and its node address.
	Owner ledger.Incarnation
	// Address is a node address for Forward, a caller address for Redirect.
	Address string
	// Reason and Remedy are set for Refuse and Redirect.
	Reason request.Reason
	Remedy string
}

// Remedies of refusals.
const (
	remedyRepeat   = "repeat the request with the same id after a short delay"
	remedyRegion   = "send the request to a node in a home region of the key"
	remedyRedirect = "send the request to the given location"
	remedyOwner    = "read the log up to the given offset, then ask the owner"
	remedyHome     = "repeat the request later, or ask the operators to start backend servers in a home region of the key"
)

// Lookup fills the part of a snapshot that comes from the replayed log, and returns the index of the key's slice.
func Lookup(state *ledger.State, group keyspace.Group, hash uint64, s *Snapshot) (index uint32) {
	s.Home = group.Home
	index, s.Slice, s.Known = state.Lookup(group, hash)
	s.Owner = nil
	if s.Slice.Owner != 0 {
		s.Owner = state.Members[s.Slice.Owner]
	}
	return index
}

// Decide returns what to do with a request. A node outside the home regions sends nothing on: it redirects or refuses.
func Decide(s *Snapshot) Decision {
	if !s.Home.Allows(s.Region) {
		return outside(s)
	}
	if !s.Known || s.Owner == nil {
		return unowned(s)
	}
	if s.Owner.Incarnation == s.Self {
		return own(s)
	}
	if !s.Home.Allows(s.Owner.Region) {
		return refuse(request.NoHomeOwner, remedyHome)
	}
	if s.Forwarded {
		return refuse(request.NotOwner, remedyOwner)
	}
	return Decision{Action: Forward, Owner: s.Owner.Incarnation, Address: s.Owner.Addresses.Nodes}
}

// outside decides for a node outside the home regions.
func outside(s *Snapshot) Decision {
	address := s.HomeCallers
	if s.Owner != nil && s.Home.Allows(s.Owner.Region) {
		address = s.Owner.Addresses.Callers
	}
	if address == "" || s.Forwarded {
		return refuse(request.WrongRegion, remedyRegion)
	}
	return Decision{Action: Redirect, Address: address, Reason: request.WrongRegion, Remedy: remedyRedirect}
}

func unowned(s *Snapshot) Decision {
	if s.HomesChanged && !s.Known {
		// The first assignment of the new group follows the configuration by about a second.
		return refuse(request.Moving, remedyRepeat)
	}
	if s.Home != "" {
		return refuse(request.NoHomeOwner, remedyHome)
	}
	return refuse(request.NoOwner, remedyRepeat)
}

// own decides for the owner itself.
func own(s *Snapshot) Decision {
	switch {
	case s.Serves:
		return Decision{Action: Local}
	case !s.LeaseHeld:
		return refuse(request.LeaseLapsed, remedyRepeat)
	default:
		return refuse(request.Moving, remedyRepeat)
	}
}

func refuse(reason request.Reason, remedy string) Decision {
	return Decision{Action: Refuse, Reason: reason, Remedy: remedy}
}
