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

// AnnounceInterval is the usual interval between announcements.
const AnnounceInterval = time.Second

// announceTimeout bounds one announcement. It is shorter than AnnounceInterval, so that one ends before the next is
// due.
const announceTimeout = 800 * time.Millisecond

// Announcement returns the present announcement of the server. It has the server's address only after Listen.
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

// SetDraining sets whether the server reports in announcements and health that it is draining.
func (b *BackendServer) SetDraining(draining bool) { b.draining.Store(draining) }

// Announcer sends periodic announcements of a backend server to the node beside it.
type Announcer struct {
	backend     *BackendServer
	nodeAddress string
	transport   *httpwire.Transport
	pool        *worker.Pool
	stopTimer   func()
}

// NewAnnouncer starts to announce b to the node at nodeAddress, at once and then at each interval, until Stop. If an
// announcement fails, onError is called unless it is nil; the next one is sent at the next interval.
func NewAnnouncer(b *BackendServer, nodeAddress string, interval time.Duration, onError func(error)) *Announcer {
	a := &Announcer{
		backend:     b,
		nodeAddress: nodeAddress,
		transport:   httpwire.NewTransport(httpwire.Options{MaxConnections: 1, DialTimeout: announceTimeout, IdleTimeout: time.Minute}),
		pool:        worker.NewPool("announce", 1, 4),
	}
	announce := func() {
		if err := a.Announce(); err != nil && onError != nil {
			onError(err)
		}
	}
	// Submit cannot fail: the queue of a new pool is empty.
	_ = a.pool.Submit(announce)
	a.stopTimer = a.pool.Every(interval, announce)
	return a
}

// Announce sends one announcement and waits for the response. It does nothing if the server has the fault Frozen.
// Errors of the HTTP call have a kind of package problem.
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
		Method: http.MethodPut, Address: a.nodeAddress, Path: backendserver.AnnouncementPath, Body: body, MaxResponseBytes: maxAnnouncementResponse,
	})
	if err != nil {
		return err
	}
	if response.Status != http.StatusNoContent {
		return problem.New(problem.Invalid, "correct the announcement", "the node answered %d: %s", response.Status, response.Body)
	}
	return nil
}

// maxAnnouncementResponse bounds the body of the response to an announcement, in bytes.
const maxAnnouncementResponse = 8 << 10

// Stop ends the announcements without announcing a drain, as a crash of the process does.
func (a *Announcer) Stop() {
	a.stopTimer()
	a.pool.Stop()
	a.transport.Close()
}
