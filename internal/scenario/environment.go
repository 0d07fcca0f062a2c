// Package scenario implements a small language for scripted tests of fleets of whole nodes.
//
// A script is a testscript file. Its statements cause faults, load and changes in an Environment and state what must
// hold there. The package decides whether an expectation holds; an Environment only acts and reports. docs/scenarios.md
// lists the statements.
package scenario

import (
	"time"

	"heatherreel/internal/request"
)

// Node describes one node to start, with a backend server beside it.
type Node struct {
	Name       string
	DataCentre string
	Service    string
}

// LogState is a state of the fake log.
type LogState uint8

// States of the fake log.
const (
	// LogUp answers each call at once.
	LogUp LogState = iota
	// LogDown refuses or drops every call.
	LogDown
	// LogSlow answers each call after the delay that SetLog received.
	LogSlow
)

// BackendState is a state of the fake backend server beside a node.
type BackendState uint8

// States of the fake backend server.
const (
	// BackendNormal answers requests and announces itself to its node.
	BackendNormal BackendState = iota
	// BackendCold answers slowly, as a backend server with empty caches does.
	BackendCold
	// BackendFrozen accepts connections, but neither answers requests nor announces itself.
	BackendFrozen
	// BackendSilent answers requests, but does not announce itself.
	BackendSilent
)

// Load is a stream of requests at a constant rate, with keys drawn from the whole hash range.
type Load struct {
	Name    string
	Service string
	// Writes selects non-idempotent requests with request ids instead of idempotent reads.
	Writes bool
	// Rate is the number of requests per second.
	Rate int
	// DataCentre is the data centre of the callers.
	DataCentre string
}

// Report counts the answers that the callers of one load received.
type Report struct {
	// Sent counts the requests; Done, NotRun and Unknown count those with this outcome.
	Sent, Done, NotRun, Unknown int
	// LongestGap is the longest time for which a slice was sent requests but none of them was done.
	LongestGap time.Duration
}

// Ownership counts the nodes that can serve a service at one moment, and the slices that they serve.
type Ownership struct {
	// Owners is the number of nodes that serve at least one slice.
	Owners int
	// Slices is the number of slices; Unserved is the number of those that no node serves.
	Slices, Unserved int
	// MultiplyOwned is the number of slices that more than one node would serve. It must be zero at every moment.
	MultiplyOwned int
}

// Environment is a fleet with its log, backend servers, network and callers. Methods that change something return once
// the change is in effect or its work has started, without waiting for the fleet's reaction. Except for Publish, an
// error means that the script is wrong, for example that it uses an unknown name.
type Environment interface {
	// Start starts a node and its backend server. A node that ran before starts as a new incarnation.
	Start(n Node) error
	// Stop begins a graceful shutdown.
	Stop(node string) error
	// Kill ends a node at once, without a graceful shutdown.
	Kill(node string) error
	// Pause stops all activity of a node until Resume, as if its process were frozen.
	Pause(node string) error
	// Resume continues a paused node.
	Resume(node string) error

	// Cut drops all traffic between two places. A place is a region, a data centre, a node or "log".
	Cut(a, b string) error
	// Heal undoes a Cut between the same places.
	Heal(a, b string) error

	// SetLog sets the state of the log; delay applies to LogSlow.
	SetLog(state LogState, delay time.Duration) error
	// LoseReplies makes the log drop the replies to the next n appends, which still take effect.
	LoseReplies(n int) error
	// TruncateLog removes all records but the last n from the log, as after its retention time.
	TruncateLog(n int) error

	// SetBackend sets the state of the backend server beside a node.
	SetBackend(node string, state BackendState) error
	// Publish publishes a configuration. It returns an error if the configuration was refused.
	Publish(document []byte) error

	// StartLoad starts a load. Its name must not have been used before.
	StartLoad(l Load) error
	// StopLoad sends no more requests and returns when all have been answered or passed their deadline.
	StopLoad(name string) error
	// Report returns the counts of a load that is running or was stopped.
	Report(name string) (Report, error)

	// Now returns the current time in the environment.
	Now() time.Time
	// Advance returns after d has passed in the environment.
	Advance(d time.Duration)

	// Ownership returns the present counts of a service.
	Ownership(service string) (Ownership, error)
	// Probe sends one idempotent request to each slice of a service from a data centre and returns the answers.
	// The requests have the deadline that the configuration sets.
	Probe(service, dataCentre string) ([]request.Answer, error)
	// Executions returns how many non-idempotent requests ran at backend servers, and a description of each that ran
	// more than once.
	Executions() (ran int, twice []string)
}
