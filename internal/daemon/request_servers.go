package daemon

import (
	"context"
	"time"

	"heatherreel/internal/httpwire"
	"heatherreel/internal/node"
)

// callerServer is a server for the requests of callers.
type callerServer interface {
	// Shutdown closes idle connections at once and waits until the requests in progress have finished, or ctx ends.
	Shutdown(ctx context.Context) error
}

// requestServers are the servers through which a process receives requests: those for callers and for other nodes.
type requestServers[S callerServer] struct {
	callers S
	// callerListener accepts the connections of callers.
	callerListener *httpwire.Listener
	nodes          *node.Server
}

// finish waits until no request is in progress or on its way from another node, and all answers are written. The process
// refuses requests since closedAt. finish returns false if ctx ends first.
func (s requestServers[S]) finish(ctx context.Context, closedAt time.Time) bool {
	s.callerListener.CloseUnused()
	if s.callers.Shutdown(ctx) != nil {
		return false
	}
	// A request that met the end of the process could not be sent to another node, because its sender could not know
	// whether it ran.
	s.nodes.AwaitQuiet(ctx, closedAt, lingerTime)
	return s.nodes.AwaitIdle(ctx)
}

// writeAnswers waits until the answers to all requests are written, or ctx ends. The requests have been ended.
func (s requestServers[S]) writeAnswers(ctx context.Context) {
	// Without an error the answers are written; with one, their time is over.
	_ = s.callers.Shutdown(ctx)
	s.nodes.AwaitIdle(ctx)
}
