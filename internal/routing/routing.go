// Package routing decides for a request whether this node serves it, forwards it to the owner of its slice, redirects
// the caller or refuses it.
//
// Package route, in contrast, holds the routes by host and path that operators publish, and package routed holds the
// types of the requests that match such a route. All functions of package routing are pure and allocate no memory.
package routing

import (
	"heatherreel/internal/keyspace"
	"heatherreel/internal/ledger"
	"heatherreel/internal/request"
)

// Action states how to handle a request.
type Action uint8

// Actions. The zero value does not run the request.
const (
	// Refuse answers that the request was not run.
	Refuse Action = iota
	// Local executes the request on this node.
	Local
	// Forward sends the request to the owner's node address.
	Forward
	// Redirect gives the caller the address of a node in a home region.
	Redirect
)

// Snapshot holds the state of a node that the decision about one request depends on.
type Snapshot struct {
	Self   ledger.Incarnation
	Region string
	Home   keyspace.Home
	// Forwarded states that another node forwarded the request. It is never forwarded again: during a change of
	// ownership, two nodes may each regard the other as the owner.
	Forwarded bool
	// Known states that the group of the key has slices.
	Known bool
	// HomesChanged states that the home regions of the key changed recently.
	HomesChanged bool
	// Slice is the assignment of the key's slice; its fence is sent with the request.
	Slice ledger.Slice
	// Owner is the member that owns the slice; nil if there is none.
	Owner *ledger.Member
	// Serves states that this node may execute requests for the slice now: it holds its lease and all sources have
	// released the slice.
	Serves bool
	// LeaseHeld states that this node holds its lease.
	LeaseHeld bool
	// HomeCallerAddress is the caller address of any node in a home region, for a slice without a known owner. It may
	// be empty.
	HomeCallerAddress string
}

// Decision is the result of Decide.
type Decision struct {
	Action Action
	// Owner is the incarnation that owns the slice; it is set for Forward.
	Owner ledger.Incarnation
	// Address is the owner's node address for Forward, and a caller address for Redirect.
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

// Lookup sets the fields of a snapshot that come from the replayed log, and returns the index of the key's slice.
func Lookup(state *ledger.State, group keyspace.Group, hash uint64, s *Snapshot) (index uint32) {
	s.Home = group.Home
	index, s.Slice, s.Known = state.Lookup(group, hash)
	s.Owner = nil
	if s.Slice.Owner != 0 {
		s.Owner = state.Members[s.Slice.Owner]
	}
	return index
}

// Decide returns how to handle a request. A node outside the home regions never forwards: it redirects or refuses.
func Decide(s *Snapshot) Decision {
	if !s.Home.Allows(s.Region) {
		return decideOutsideHome(s)
	}
	if !s.Known || s.Owner == nil {
		return decideUnowned(s)
	}
	if s.Owner.Incarnation == s.Self {
		return decideAsOwner(s)
	}
	if !s.Home.Allows(s.Owner.Region) {
		return refuse(request.NoHomeOwner, remedyHome)
	}
	if s.Forwarded {
		return refuse(request.NotOwner, remedyOwner)
	}
	return Decision{Action: Forward, Owner: s.Owner.Incarnation, Address: s.Owner.Addresses.Nodes}
}

// decideOutsideHome returns the decision of a node outside the home regions.
func decideOutsideHome(s *Snapshot) Decision {
	address := s.HomeCallerAddress
	if s.Owner != nil && s.Home.Allows(s.Owner.Region) {
		address = s.Owner.Addresses.Callers
	}
	if address == "" || s.Forwarded {
		return refuse(request.WrongRegion, remedyRegion)
	}
	return Decision{Action: Redirect, Address: address, Reason: request.WrongRegion, Remedy: remedyRedirect}
}

// decideUnowned returns the decision for a slice without an owner.
func decideUnowned(s *Snapshot) Decision {
	if s.HomesChanged && !s.Known {
		// The first assignment of the new group takes about a second after the configuration.
		return refuse(request.Moving, remedyRepeat)
	}
	if s.Home != "" {
		return refuse(request.NoHomeOwner, remedyHome)
	}
	return refuse(request.NoOwner, remedyRepeat)
}

// decideAsOwner returns the decision of the owner.
func decideAsOwner(s *Snapshot) Decision {
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
