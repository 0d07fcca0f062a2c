package fake

import (
	"context"
	"net/http"
	"time"

	"heatherreel/internal/backendserver"
)

// BackendFaults are the active faults of a BackendServer. With the zero value the server has no faults.
type BackendFaults struct {
	// ColdRequests is the number of slow requests that remain before the server is warm.
	ColdRequests int `json:"cold_requests"`
	// ColdMS is the additional service time of a request on a cold server, in milliseconds.
	ColdMS int `json:"cold_ms"`
	// ColdSlots is the number of concurrent requests that a cold server sustains. With more running, ColdMS is
	// multiplied by the square of running/ColdSlots and the request does not count towards ColdRequests, so that a full
	// load keeps the server cold. Zero means no limit.
	ColdSlots int `json:"cold_slots"`
	// Frozen blocks requests, control calls of the node and announcements; connections stay open.
	Frozen bool `json:"frozen"`
	// Health and Load, if not nil, replace the true values in responses.
	Health *backendserver.Health `json:"health"`
	Load   *backendserver.Load   `json:"load"`
	// ShedsLoad makes the server refuse requests when all slots are occupied, instead of queueing them.
	ShedsLoad bool `json:"sheds"`
	// DropReplies is the number of upcoming requests that run, but whose connection is closed without a response.
	DropReplies int `json:"drop_replies"`
	// TruncateReplies is the number of upcoming responses whose body ends before its Content-Length.
	TruncateReplies int `json:"cut_answers"`
	// Silent makes the server run requests without responding.
	Silent bool `json:"silent"`
	// IgnoresCancellation makes the server run requests that were canceled or whose deadline has passed, unless they
	// still wait for a slot.
	IgnoresCancellation bool `json:"ignores_cancellation"`
}

// SetFaults replaces the faults.
func (b *BackendServer) SetFaults(f BackendFaults) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.faults = f
	close(b.faultsChanged)
	b.faultsChanged = make(chan struct{})
}

// currentFaults returns the active faults.
func (b *BackendServer) currentFaults() BackendFaults {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.faults
}

// waitWhileFrozen blocks while the fault Frozen is set. When ctx ends meanwhile, it aborts the handler, so that the
// request does not run, unless the fault IgnoresCancellation is set.
func (b *BackendServer) waitWhileFrozen(ctx context.Context) {
	for {
		b.mu.Lock()
		frozen, faultsChanged, ignores := b.faults.Frozen, b.faultsChanged, b.faults.IgnoresCancellation
		b.mu.Unlock()
		if !frozen {
			return
		}
		done := ctx.Done()
		if ignores {
			done = nil
		}
		select {
		case <-faultsChanged:
		case <-done:
			panic(http.ErrAbortHandler)
		}
	}
}

// coldDelay returns the additional service time of the next request. It decrements ColdRequests if the request counts
// towards warming the server.
func (b *BackendServer) coldDelay() time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.faults.ColdRequests == 0 {
		return 0
	}
	delay := time.Duration(b.faults.ColdMS) * time.Millisecond
	running, coldSlots := b.running.Load(), int64(b.faults.ColdSlots)
	if coldSlots > 0 && running > coldSlots {
		return delay * time.Duration(running*running) / time.Duration(coldSlots*coldSlots)
	}
	b.faults.ColdRequests--
	return delay
}

// consumeFault decrements a counter of BackendFaults. It returns false if the counter is zero.
func (b *BackendServer) consumeFault(counter func(*BackendFaults) *int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	remaining := counter(&b.faults)
	if *remaining == 0 {
		return false
	}
	*remaining--
	return true
}
