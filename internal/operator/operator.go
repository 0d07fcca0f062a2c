// Package operator implements the HTTP interface for operators: its messages, the server of a node or gateway, and the
// client that heatherreelctl uses. The interface is read-only; operators make changes by appending records to the log.
package operator

import (
	"heatherreel/internal/config"
	"heatherreel/internal/ledger"
)

// Freshness tells whether a node is known to have replayed the whole log.
type Freshness string

// Values of Freshness. The empty value asserts nothing and is treated as FreshnessUnknown.
const (
	// FreshnessCurrent means that a recent answer from the log or from a witness confirmed that the node's offset is
	// the highest.
	FreshnessCurrent Freshness = "current"
	// FreshnessBehind means that the node knows of a higher offset than it has replayed.
	FreshnessBehind Freshness = "behind"
	// FreshnessUnknown means that the highest offset is unknown, because no recent answer reported it.
	FreshnessUnknown Freshness = "unknown"
)

// LeaseState is the state of the lease of a node.
type LeaseState string

// States of a lease.
const (
	// LeaseOwning means that the node may serve its slices.
	LeaseOwning LeaseState = "owning"
	// LeaseFirstLevel means that a majority of witnesses answered within the lease time, but fewer than a majority did
	// so with their own lease in force. The node may not serve its slices.
	LeaseFirstLevel LeaseState = "first-level"
	// LeaseExpired means that fewer than a majority of witnesses answered within the lease time.
	LeaseExpired LeaseState = "expired"
	// LeaseEnded means that the incarnation of the node was ended.
	LeaseEnded LeaseState = "ended"
	// LeaseNotJoined means that the node has no incarnation yet.
	LeaseNotJoined LeaseState = "not-joined"
)

// Position tells how far a node has replayed the log.
type Position struct {
	Offset    ledger.Offset `json:"offset"`
	Freshness Freshness     `json:"currency"`
	// HighestKnown is the highest offset that the node knows of; it may not have replayed the log that far.
	HighestKnown ledger.Offset `json:"known"`
}

// Witness is the state of one witness of a node, as recorded by that node.
type Witness struct {
	Incarnation ledger.Incarnation `json:"incarnation"`
	// AnswerAgeMS is the time in milliseconds since the node sent the latest renewal that this witness answered;
	// negative if it has answered none.
	AnswerAgeMS int64 `json:"answer_age_ms"`
	// Marked is true if the witness currently counts towards ownership: its own first-level lease was in force when it
	// answered, and the answer has not expired.
	Marked bool `json:"marked"`
}

// Lease is the state of the lease of a node.
type Lease struct {
	State LeaseState `json:"state"`
	// RemainingMS is the time in milliseconds for which the node may serve without another answer from a witness.
	RemainingMS       int64         `json:"remaining_ms"`
	WitnessSetVersion ledger.Offset `json:"set_version"`
	Witnesses         []Witness     `json:"witnesses"`
}

// Member is an incarnation that has joined and has not ended.
type Member struct {
	Incarnation ledger.Incarnation `json:"incarnation"`
	Instance    string             `json:"instance"`
	DataCentre  string             `json:"data_centre"`
	Region      string             `json:"region"`
	Service     string             `json:"service,omitempty"`
	Addresses   ledger.Addresses   `json:"addresses"`
	Weight      uint32             `json:"weight"`
	// Slices is the number of slices that it owns.
	Slices int `json:"slices"`
	// TakenOut is true if operators have taken its data centre out of service.
	TakenOut bool `json:"taken_out,omitempty"`
}

// Share is the number of slices of a group that one incarnation owns.
type Share struct {
	Owner    ledger.Incarnation `json:"owner"`
	Instance string             `json:"instance"`
	Slices   int                `json:"slices"`
}

// Group summarizes the assignment of the slices of a group. The explain endpoint shows single slices.
type Group struct {
	Service string `json:"service"`
	// Home are the home regions; empty if any region may be the home.
	Home    []string      `json:"home,omitempty"`
	Version ledger.Offset `json:"version"`
	Slices  int           `json:"slices"`
	Unowned int           `json:"unowned"`
	// Unsettled is the number of slices that still wait for the release by an earlier owner.
	Unsettled int     `json:"unsettled"`
	Owners    []Share `json:"owners"`
}

// Status is what a node knows about itself and the system.
type Status struct {
	Incarnation ledger.Incarnation `json:"incarnation"`
	Instance    string             `json:"instance"`
	DataCentre  string             `json:"data_centre"`
	Region      string             `json:"region"`
	Service     string             `json:"service,omitempty"`
	Draining    bool               `json:"draining"`
	Ledger      Position           `json:"ledger"`
	// Revision is the revision of the configuration in effect; zero if there is none.
	Revision ledger.Offset `json:"revision"`
	Lease    Lease         `json:"lease"`
	Members  []Member      `json:"members"`
	Groups   []Group       `json:"groups"`
}

// Health tells whether a node can accept requests.
type Health struct {
	Ready bool `json:"ready"`
	// Reason is why the node cannot accept requests; empty if Ready is true.
	Reason string `json:"reason,omitempty"`
}

// ExplainQuery identifies the key to explain.
type ExplainQuery struct {
	Service string
	Tenant  string
	Key     string
}

// Explanation tells where a key is served and what determined its settings. It does not contain the key, which may be
// confidential, so it can be shared.
type Explanation struct {
	Service  string        `json:"service"`
	Tenant   string        `json:"tenant,omitempty"`
	Ledger   Position      `json:"ledger"`
	Revision ledger.Offset `json:"revision"`
	// Home are the home regions of the key; empty if any region may be the home.
	Home []string `json:"home,omitempty"`
	// Slice is the index of the slice in its group of Slices slices; Slices is zero if the group has no assignment.
	Slice  uint32 `json:"slice"`
	Slices uint32 `json:"slices"`
	// Owner is nil if the slice is unowned.
	Owner *Member       `json:"owner,omitempty"`
	Fence ledger.Offset `json:"fence"`
	// Sources are earlier owners that may still run requests for the slice.
	Sources []ledger.Incarnation `json:"sources,omitempty"`
	// Settings explains each setting, as resolved at the node that answers.
	Settings []config.Explanation `json:"settings"`
}

// Configuration is the configuration in effect and its past revisions.
type Configuration struct {
	// Current is nil until the first configuration is published.
	Current *ledger.Revision `json:"current"`
	// History holds the past revisions without their documents, oldest first.
	History []ledger.Revision `json:"history"`
	Ledger  Position          `json:"ledger"`
}

// Source provides the state that the interface shows; the engine implements it. Its methods are called from jobs of a
// worker pool.
type Source interface {
	Health() Health
	Status() Status
	// Explain returns an error of kind problem.UnknownService or problem.UnknownTenant for names that are not in the
	// configuration, of kind problem.Malformed if the tenant is missing, and of kind problem.Unavailable if no
	// configuration is in effect.
	Explain(ExplainQuery) (Explanation, error)
	Configuration() Configuration
}
