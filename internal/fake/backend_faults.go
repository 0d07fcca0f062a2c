package fake

import (
	"context"
	"net/http"
	"time"

	"heatherreel/internal/backendserver"
)

// Faults are the faults of a backend server that are switched on. The zero value is a sound server.
type Faults struct {
	// ColdRequests is how many requests are still slow before the server is warm.
	ColdRequests int `json:"cold_requests"`
	// ColdMS is by how many milliseconds a cold request is slower.
	ColdMS int `json:"cold_ms"`
	// ColdSlots is the number of requests that a cold server bears at once. Above it, a cold request is slower by the
	// square of the excess and does not warm the server, so that a full load keeps it cold. Zero sets no bound.
	ColdSlots int `json:"cold_slots"`
	// Frozen stops all work and all answers; connections stay open.
	Frozen bool `json:"frozen"`
	// Health and Load replace the true statements.
	Health *backendserver.Health `json:"health"`
	Load   *backendserver.Load   `json:"load"`
	// Sheds refuses requests above the slots; otherwise they queue.
	Sheds bool `json:"sheds"`
	// DropReplies is for how many requests the connection is closed after running them.
	DropReplies int `json:"drop_replies"`
	// CutAnswers is how many answers end early.
	CutAnswers int `json:"cut_answers"`
	// Silent runs requests and never answers.
	Silent bool `json:"silent"`
	// IgnoresCancellation runs requests that were cancelled or are past their deadline.
	IgnoresCancellation bool `json:"ignores_cancellation"`
}

// SetFaults replaces the faults.
func (b *BackendServer) SetFaults(f Faults) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.faults = f
	close(b.changed)
	b.changed = make(chan struct{})
}

// currentFaults returns the faults that are switched on.
func (b *BackendServer) currentFaults() Faults {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.faults
}

// thaw waits while the server is frozen. Requests that were cancelled meanwhile do not run.
func (b *BackendServer) thaw(ctx context.Context) {
	for {
		b.mu.Lock()
		frozen, changed, ignores := b.faults.Frozen, b.changed, b.faults.IgnoresCancellation
		b.mu.Unlock()
		if !frozen {
			return
		}
		done := ctx.Done()
		if ignores {
			done = nil
		}
		select {
		case <-changed:
		case <-done:
			panic(http.ErrAbortHandler)
		}
	}
}

// coldTime returns by how much the next request is slower, and counts it if it warms the server.
func (b *BackendServer) coldTime() time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.faults.ColdRequests == 0 {
		return 0
	}
	slower := time.Duration(b.faults.ColdMS) * time.Millisecond
	running, bears := b.running.Load(), int64(b.faults.ColdSlots)
	if bears > 0 && running > bears {
		return slower * time.Duration(running*running) / time.Duration(bears*bears)
	}
	b.faults.ColdRequests--
	return slower
}

// spend reduces a counter of faults. It returns false if the counter was zero.
func (b *BackendServer) spend(counter func(*Faults) *int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := counter(&b.faults)
	if *n == 0 {
		return false
	}
	*n--
	return true
}
