package fake

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"heatherreel/internal/backendserver"
	"heatherreel/internal/httpwire"
	"heatherreel/internal/problem"
	"heatherreel/internal/worker"
)

// AnnounceInterval is the time between two announcements.
const AnnounceInterval = time.Second

// announceTimeout leaves time before the next announcement.
const announceTimeout = 800 * time.Millisecond

// Announcement returns what the backend server states about itself. It must listen.
func (b *BackendServer) Announcement() backendserver.Announcement {
	return backendserver.Announcement{
		Address:     b.Address(),
		Service:     b.options.Service,
		Incarnation: b.options.Incarnation,
		Slots:       b.options.Slots,
		Connections: b.options.Connections,
		Weight:      b.options.Weight,
		Draining:    b.draining.Load(),
	}
}

// SetDraining sets what later announcements state.
func (b *BackendServer) SetDraining(draining bool) { b.draining.Store(draining) }

// Announcer sends the announcements of a backend server to the node beside it.
type Announcer struct {
	backend   *BackendServer
	node      string
	transport *httpwire.Transport
	pool      *worker.Pool
	stop      func()
}

// NewAnnouncer announces b to the node at the address, at once and each interval, until Stop. A failed announcement
// is passed to failed, which may be nil, and sent again at the next interval.
func NewAnnouncer(b *BackendServer, node string, interval time.Duration, failed func(error)) *Announcer {
	a := &Announcer{
		backend:   b,
		node:      node,
		transport: httpwire.NewTransport(httpwire.Options{MaxConnections: 1, DialTimeout: announceTimeout, IdleTimeout: time.Minute}),
		pool:      worker.NewPool("announce", 1, 4),
	}
	announce := func() {
		if err := a.Announce(); err != nil && failed != nil {
			failed(err)
		}
	}
	// The queue of a new pool has room.
	_ = a.pool.Submit(announce)
	a.stop = a.pool.Every(interval, announce)
	return a
}

// Announce sends one announcement and waits for its answer. Errors are of package problem.
func (a *Announcer) Announce() error {
	if a.backend.currentFaults().Frozen {
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), announceTimeout)
	defer cancel()
	body, err := json.Marshal(a.backend.Announcement())
	if err != nil {
		return err
	}
	response, err := a.transport.Do(ctx, httpwire.Call{
		Method: http.MethodPut, Address: a.node, Path: backendserver.AnnouncementPath, Body: body, MaxAnswer: maxAnnouncementAnswer,
	})
	if err != nil {
		return err
	}
	if response.Status != http.StatusNoContent {
		return problem.New(problem.Invalid, "correct the announcement", "the node answered %d: %s", response.Status, response.Body)
	}
	return nil
}

// maxAnnouncementAnswer bounds the answer to an announcement, in bytes.
const maxAnnouncementAnswer = 8 << 10

// Stop ends the announcements, as the loss of the process would.
func (a *Announcer) Stop() {
	a.stop()
	a.pool.Stop()
	a.transport.Close()
}
