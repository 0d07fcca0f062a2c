// Package confinement decides where a request may be served, by the home regions of its key.
//
// A request is served, sent on and kept only in the home regions. A node elsewhere sends nothing on; it names a node
// in a home region to the caller, or refuses.
package confinement

import (
	"slices"

	"heatherreel/internal/keyspace"
	"heatherreel/internal/request"
)

// Action says what a node may do with a request.
type Action uint8

// Actions. The zero value permits nothing.
const (
	// Refuse means that the node neither serves nor sends on the request, and knows no place for it.
	Refuse Action = iota
	// Redirect means that the caller should ask a node in Decision.Region.
	Redirect
	// Allow means that the node may serve the request, or send it to an owner that MaySend permits.
	Allow
)

// Decision is what a node may do with a request.
type Decision struct {
	Action Action
	// Region is the home region to ask; empty unless Action is Redirect.
	Region string
	// Reason is the cause; empty if Action is Allow.
	Reason request.Reason
}

// Decide returns what a node in region here may do with a request for a key with the home regions. ownerRegions are
// the regions of the living owners of the key's group, with the preferred one first. An empty home set allows every
// region; an empty name of a region belongs to no home set with names.
func Decide(home keyspace.Home, here string, ownerRegions []string) Decision {
	if home.Allows(here) {
		return Decision{Action: Allow}
	}
	allowed := func(region string) bool { return MaySend(home, region) }
	if i := slices.IndexFunc(ownerRegions, allowed); i >= 0 {
		return Decision{Action: Redirect, Region: ownerRegions[i], Reason: request.WrongRegion}
	}
	return Decision{Action: Refuse, Reason: request.NoHomeOwner}
}

// MaySend reports whether a peer in the region may receive a request, its outcome, or any copy of them. The sender
// checks it immediately before it sends, because the owner may have changed since Decide.
func MaySend(home keyspace.Home, region string) bool { return home.Allows(region) }
