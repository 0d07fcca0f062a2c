// Package operator is the HTTP interface for operators: its messages, the server of a node, and the client that
// heatherreelctl uses. It is read-only; changes go to the log.
package operator

import (
	"heatherreel/internal/config"
	"heatherreel/internal/ledger"
)

// Currency says whether a node can tell that it has replayed the whole log.
type Currency string

// Currencies. The empty value claims nothing and stands for CurrencyUnknown.
const (
	// Current means that a recent answer of the log or of a witness confirmed the node's offset.
	Current Currency = "current"
	// Behind means that the node knows of a higher offset than it has replayed.
	Behind Currency = "behind"
	// CurrencyUnknown means that no recent answer tells the highest offset.
	CurrencyUnknown Currency = "unknown"
)

// LeaseState is the state of a node's own lease.
type LeaseState string

// States of a lease.
const (
	// Owning means that the node may serve its slices.
	Owning LeaseState = "owning"
	// FirstLevel means that a majority of witnesses answered, but not with their own lease in force.
	FirstLevel LeaseState = "first-level"
	// Expired means that too few witnesses answered within the lease time.
	Expired LeaseState = "expired"
	// Ended means that the incarnation was ended.
	Ended LeaseState = "ended"
	// NotJoined means that the node has no incarnation yet.
	NotJoined LeaseState = "not-joined"
)

// Position says how far a node has replayed the log.
type Position struct {
	Offset   ledger.Offset `json:"offset"`
	Currency Currency      `json:"currency"`
	// Known is the highest offset that the node has heard of.
	Known ledger.Offset `json:"known"`
}

// Witness is one witness of the node, as the node sees it.
type Witness struct {
	Incarnation ledger.Incarnation `json:"incarnation"`
	// AnswerAgeMS is the time since the node sent the last renewal that was answered, in milliseconds; negative if
	// none was.
	AnswerAgeMS int64 `json:"answer_age_ms"`
	// Marked tells that the witness's own lease was in force in that answer.
	Marked bool `json:"marked"`
}

// Lease is the own lease of a node.
type Lease struct {
	State LeaseState `json:"state"`
	// RemainingMS is how long the node may serve without another answer, in milliseconds.
	RemainingMS int64         `json:"remaining_ms"`
	SetVersion  ledger.Offset `json:"set_version"`
	Witnesses   []Witness     `json:"witnesses"`
}

// Member is a living incarnation.
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
	// TakenOut tells that operators took its data centre out.
	TakenOut bool `json:"taken_out,omitempty"`
}

// Share is the part of a group that one incarnation owns.
type Share struct {
	Owner    ledger.Incarnation `json:"owner"`
	Instance string             `json:"instance"`
	Slices   int                `json:"slices"`
}

// Group is the assignment of a group in sums; explain gives single slices.
type Group struct {
	Service string `json:"service"`
	// Home are the home regions; empty for any.
	Home    []string      `json:"home,omitempty"`
	Version ledger.Offset `json:"version"`
	Slices  int           `json:"slices"`
	Unowned int           `json:"unowned"`
	// Unsettled slices wait for the release of an earlier owner.
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
	// Revision is the configuration in effect; zero for none.
	Revision ledger.Offset `json:"revision"`
	Lease    Lease         `json:"lease"`
	Members  []Member      `json:"members"`
	Groups   []Group       `json:"groups"`
}

// Health says whether a node can take requests.
type Health struct {
	Ready bool `json:"ready"`
	// Reason says why not; empty if Ready.
	Reason string `json:"reason,omitempty"`
}

// Subject names the key to explain.
type Subject struct {
	Service string
	Tenant  string
	Key     string
}

// Explanation says where a key is served and what decided its settings. It does not repeat the key, so that it can be
// passed on.
type Explanation struct {
	Service  string        `json:"service"`
	Tenant   string        `json:"tenant,omitempty"`
	Ledger   Position      `json:"ledger"`
	Revision ledger.Offset `json:"revision"`
	// Home are the home regions of the key; empty for any.
	Home []string `json:"home,omitempty"`
	// Slice is the index of the slice in its group of Slices slices; Slices is zero if the group has no assignment.
	Slice  uint32 `json:"slice"`
	Slices uint32 `json:"slices"`
	// Owner is nil if the slice is unowned.
	Owner *Member       `json:"owner,omitempty"`
	Fence ledger.Offset `json:"fence"`
	// Sources are earlier owners that may still run requests for the slice.
	Sources []ledger.Incarnation `json:"sources,omitempty"`
	// Settings explains each setting, as resolved at the node that was asked.
	Settings []config.Explanation `json:"settings"`
}

// Configuration is the configuration in effect and the revisions before it.
type Configuration struct {
	// Current is nil before the first publication.
	Current *ledger.Revision `json:"current"`
	// History has the past revisions without their documents, oldest first.
	History []ledger.Revision `json:"history"`
	Ledger  Position          `json:"ledger"`
}

// Source is what the engine tells operators. Its methods are called from jobs of a worker pool.
type Source interface {
	Health() Health
	Status() Status
	// Explain returns an error of kind problem.UnknownService or problem.UnknownTenant for names that the
	// configuration lacks, and of kind problem.NotFound if no configuration is in effect.
	Explain(Subject) (Explanation, error)
	Configuration() Configuration
}
