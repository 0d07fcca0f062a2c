// Package scenario is a small test language for scripted scenarios on whole nodes.
//
// A script is a testscript file. Its words cause faults, load and changes in a World and state what must hold. The
// package decides whether an expectation holds; a World only acts and reports. docs/scenarios.md lists the words.
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

// LogState is a state of the stand-in log.
type LogState uint8

// States of the stand-in log.
const (
	// LogUp answers at once.
	LogUp LogState = iota
	// LogDown refuses or drops every call.
	LogDown
	// LogSlow answers after Delay.
	LogSlow
)

// BackendState is a state of the stand-in backend server beside a node.
type BackendState uint8

// States of a stand-in backend server.
const (
	// BackendNormal answers and announces itself.
	BackendNormal BackendState = iota
	// BackendCold answers slowly, as one with empty caches does.
	BackendCold
	// BackendFrozen accepts connections but answers nothing and announces nothing.
	BackendFrozen
	// BackendSilent answers, but announces nothing.
	BackendSilent
)

// Load is a steady stream of requests with keys drawn over the whole hash range.
type Load struct {
	Name    string
	Service string
	// Writes are non-idempotent requests with request ids; otherwise the requests are idempotent reads.
	Writes bool
	// Rate is in requests a second.
	Rate int
	// DataCentre is where the callers are.
	DataCentre string
}

// Report counts what the callers of one load learned.
type Report struct {
	// Sent counts the requests; Done, NotRun and Unknown those answered so.
	Sent, Done, NotRun, Unknown int
	// LongestGap is the longest time during which no request to some slice was done while requests to it were sent.
	LongestGap time.Duration
}

// Ownership describes who can serve a service at one moment.
type Ownership struct {
	// Owners is the number of nodes that serve at least one slice.
	Owners int
	// Slices is the number of slices; Unserved of them no node serves.
	Slices, Unserved int
	// Shared is the number of slices that more than one node would serve. It must always be zero.
	Shared int
}

// World is a fleet with its log, backend servers, network and callers. Methods that act return once the change is in
// effect or its work was started, without waiting for the fleet's reaction. An error means that the script is wrong,
// such as an unknown name.
type World interface {
	// Start starts a node and its backend server. A node that ran before starts as a new incarnation.
	Start(n Node) error
	// Stop begins a graceful shutdown.
	Stop(node string) error
	// Kill ends a node at once.
	Kill(node string) error
	// Pause stops all activity of a node until Resume, as a frozen process does.
	Pause(node string) error
	// Resume continues a paused node.
	Resume(node string) error

	// Cut drops all traffic between two places. A place is a region, a data centre, a node or "log".
	Cut(a, b string) error
	// Heal undoes Cut of the same places.
	Heal(a, b string) error

	// SetLog changes the state of the log; delay is for LogSlow.
	SetLog(state LogState, delay time.Duration) error
	// LoseReplies makes the next n appends take effect without a reply.
	LoseReplies(n int) error
	// TruncateLog removes all records of the log but the last n.
	TruncateLog(n int) error

	// SetBackend changes the state of the backend server beside a node.
	SetBackend(node string, state BackendState) error
	// Publish publishes a configuration. The error tells that it was refused.
	Publish(document []byte) error

	// StartLoad starts a load. Its name is new.
	StartLoad(l Load) error
	// StopLoad sends no more requests and returns when all have been answered or passed their deadline.
	StopLoad(name string) error
	// Report returns the counts of a load that runs or was stopped.
	Report(name string) (Report, error)

	// Now returns the time of the world.
	Now() time.Time
	// Advance lets time pass.
	Advance(d time.Duration)

	// Ownership reports who serves a service now.
	Ownership(service string) (Ownership, error)
	// Probe sends one idempotent request to each slice of a service from a data centre and returns the answers.
	// The requests have the deadline of the configuration.
	Probe(service, dataCentre string) ([]request.Answer, error)
	// Executions returns how many non-idempotent requests ran at backend servers, and a description of each that ran
	// more than once.
	Executions() (ran int, twice []string)
}
