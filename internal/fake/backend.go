package fake

import (
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gorilla/mux"

	"heatherreel/internal/backendserver"
	"heatherreel/internal/httpwire"
)

// maxBackendBody bounds the body of one request to a backend server, in bytes.
const maxBackendBody = 16 << 20

// BackendOptions configure a BackendServer.
type BackendOptions struct {
	Service     string
	Incarnation string
	// Slots is the number of requests that run concurrently.
	Slots uint32
	// Connections and Weight are announced to the node and have no other effect.
	Connections uint32
	Weight      uint32
	// ChecksGrants makes the server refuse a request unless its slice is granted under the same fence.
	ChecksGrants bool
	// ServiceTime is how long one request occupies a slot.
	ServiceTime time.Duration
	// Store holds the values. Backend servers of one service may share a store; if nil, a new one is created.
	Store *BackendStore
	// ReceivedBytes, if not nil, records all bytes received on the address of Listen.
	ReceivedBytes *Recorder
}

// BackendServer is a fake backend server that serves keys from a BackendStore.
//
// mu guards the fields below it. A request in progress holds one element of the channel slots.
type BackendServer struct {
	options  BackendOptions
	store    *BackendStore
	router   *mux.Router
	slots    chan struct{}
	running  atomic.Int64
	queued   atomic.Int64
	draining atomic.Bool
	// lastActivity is when a request last arrived or ended, in Unix nanoseconds.
	lastActivity atomic.Int64
	// nodeStopping is set once the node beside the server has sent PUT /drain.
	nodeStopping atomic.Bool

	mu     sync.Mutex
	faults BackendFaults
	// faultsChanged is closed and replaced when faults change.
	faultsChanged chan struct{}
	grants        grantTable
	// validUntil is when the grants expire.
	validUntil time.Time
	server     *http.Server
	address    string
	// serveDone is closed when server has stopped serving.
	serveDone chan struct{}
}

// NewBackendServer returns a backend server. It serves requests passed to ServeHTTP, and those on a socket after
// Listen.
func NewBackendServer(o BackendOptions) *BackendServer {
	b := &BackendServer{
		options:       o,
		store:         o.Store,
		slots:         make(chan struct{}, o.Slots),
		faultsChanged: make(chan struct{}),
		grants:        grantTable{},
	}
	b.recordActivity()
	if b.store == nil {
		b.store = NewBackendStore()
	}
	b.router = mux.NewRouter().UseEncodedPath().SkipClean(true)
	b.router.HandleFunc(backendserver.KeysPath+"{key}", b.serveKey)
	b.addControlRoutes()
	return b
}

// Store returns the store with the values and the counts of executions.
func (b *BackendServer) Store() *BackendStore { return b.store }

// Running returns the number of requests that occupy a slot.
func (b *BackendServer) Running() int { return int(b.running.Load()) }

// recordActivity sets lastActivity to the present time.
func (b *BackendServer) recordActivity() { b.lastActivity.Store(time.Now().UnixNano()) }

// Drained reports whether the server holds no grants, has no running or queued requests, and has been idle for at least
// quiet. The idle time is required because a node may send no grants to a server that does not check them.
func (b *BackendServer) Drained(quiet time.Duration) bool {
	b.mu.Lock()
	grantCount := len(b.grants)
	b.mu.Unlock()
	requests := b.running.Load() + b.queued.Load()
	return grantCount == 0 && requests == 0 && time.Since(time.Unix(0, b.lastActivity.Load())) >= quiet
}

// ServeHTTP implements http.Handler.
func (b *BackendServer) ServeHTTP(w http.ResponseWriter, r *http.Request) { b.router.ServeHTTP(w, r) }

// Listen starts to serve on address, an IP address and port, until Close.
func (b *BackendServer) Listen(address string) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.address = listener.Addr().String()
	if b.options.ReceivedBytes != nil {
		listener = b.options.ReceivedBytes.Wrap(listener)
	}
	b.server = &http.Server{Handler: b, ReadHeaderTimeout: time.Minute}
	b.serveDone = make(chan struct{})
	go func(server *http.Server) {
		defer close(b.serveDone)
		_ = server.Serve(listener)
	}(b.server)
	return nil
}

// Address returns the address on which Listen serves.
func (b *BackendServer) Address() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.address
}

// Close closes the listener and all connections without draining, as a crash of the process does.
func (b *BackendServer) Close() {
	b.mu.Lock()
	server, serveDone := b.server, b.serveDone
	b.mu.Unlock()
	if server == nil {
		return
	}
	_ = server.Close()
	<-serveDone
}

// serveKey serves one request for one key. It checks the fence before the request waits for a slot, after the service
// time and when the request executes, since ownership may change in between.
func (b *BackendServer) serveKey(w http.ResponseWriter, r *http.Request) {
	req, ok := decodeKeyRequest(w, r)
	if !ok {
		return
	}
	b.recordActivity()
	defer b.recordActivity()
	ctx, cancel := context.WithTimeout(r.Context(), req.timeout)
	defer cancel()
	defer awaitNodeClose(ctx, r)
	b.waitWhileFrozen(ctx)
	if b.refusesFence(req) {
		writeRefusal(w, http.StatusConflict, httpwire.RefusedFence)
		return
	}
	if !b.acquireSlot(ctx) {
		writeRefusal(w, http.StatusServiceUnavailable, httpwire.RefusedOverload)
		return
	}
	defer b.releaseSlot()
	b.simulateWork(ctx)
	if b.refusesFence(req) {
		writeRefusal(w, http.StatusConflict, httpwire.RefusedFence)
		return
	}
	result := b.store.execute(req, b.options.ChecksGrants)
	if result.refused {
		writeRefusal(w, http.StatusConflict, httpwire.RefusedFence)
		return
	}
	b.writeResponse(r.Context(), w, req, result)
}

// awaitNodeClose must be deferred. If the handler was aborted because the deadline passed, it keeps the connection open
// until the node closes it: the deadline that the node sends is rounded down, so closing at once would look to the node
// like a connection lost shortly before the deadline.
func awaitNodeClose(ctx context.Context, r *http.Request) {
	panicked := recover()
	if panicked == nil {
		return
	}
	if ctx.Err() == context.DeadlineExceeded {
		<-r.Context().Done()
	}
	panic(panicked)
}

// decodeKeyRequest decodes a request. If it is malformed, it responds with 400 and returns false.
func decodeKeyRequest(w http.ResponseWriter, r *http.Request) (keyRequest, bool) {
	key, keyErr := httpwire.UnescapeKey(mux.Vars(r)["key"])
	fence, fenceErr := strconv.ParseUint(r.Header.Get(httpwire.HeaderFence), 10, 64)
	deadlineMS, deadlineErr := strconv.ParseUint(r.Header.Get(httpwire.HeaderDeadline), 10, 31)
	body, bodyErr := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBackendBody))
	if keyErr != nil || fenceErr != nil || deadlineErr != nil || bodyErr != nil {
		w.WriteHeader(http.StatusBadRequest)
		return keyRequest{}, false
	}
	return keyRequest{
		method:  r.Method,
		key:     BackendStoreKey{Tenant: r.Header.Get(httpwire.HeaderTenant), Key: key},
		id:      r.Header.Get(httpwire.HeaderRequestID),
		slice:   r.Header.Get(httpwire.HeaderSlice),
		fence:   fence,
		timeout: min(time.Duration(deadlineMS)*time.Millisecond, timeUntilUnixMS(r.Header.Get(httpwire.HeaderNotAfter))),
		body:    body,
	}, true
}

// timeUntilUnixMS returns the time until the wall clock time in text, in Unix milliseconds. If text is not a number, it
// returns an hour, which does not shorten the timeout of usual requests.
func timeUntilUnixMS(text string) time.Duration {
	ms, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		return time.Hour
	}
	return time.Until(time.UnixMilli(ms))
}

// writeRefusal responds that the request did not run.
func writeRefusal(w http.ResponseWriter, status int, reason string) {
	w.Header().Set(httpwire.HeaderRefused, reason)
	w.WriteHeader(status)
}

// acquireSlot waits for a free slot. If none is free and the fault ShedsLoad is set, it returns false at once. It
// aborts the handler when ctx ends.
func (b *BackendServer) acquireSlot(ctx context.Context) bool {
	select {
	case b.slots <- struct{}{}:
		b.running.Add(1)
		return true
	default:
	}
	if b.currentFaults().ShedsLoad {
		return false
	}
	b.queued.Add(1)
	defer b.queued.Add(-1)
	select {
	case b.slots <- struct{}{}:
		b.running.Add(1)
		return true
	case <-ctx.Done():
		panic(http.ErrAbortHandler)
	}
}

func (b *BackendServer) releaseSlot() {
	b.running.Add(-1)
	<-b.slots
}

// simulateWork waits for the service time of a request, and for the delay of a cold server. When ctx ends first, it
// aborts the handler, so that the request does not run; with the fault IgnoresCancellation, the request runs at once
// instead.
func (b *BackendServer) simulateWork(ctx context.Context) {
	timer := time.NewTimer(b.options.ServiceTime + b.coldDelay())
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
		if !b.currentFaults().IgnoresCancellation {
			panic(http.ErrAbortHandler)
		}
	}
	b.waitWhileFrozen(ctx)
}

// writeResponse responds with the result of an executed request, unless a fault prevents it. connCtx ends when the
// client closes its connection; the fault Silent keeps the connection open until then, past the deadline of the
// request.
func (b *BackendServer) writeResponse(
	connCtx context.Context, w http.ResponseWriter, req keyRequest, result executionResult,
) {
	if b.currentFaults().Silent {
		<-connCtx.Done()
		panic(http.ErrAbortHandler)
	}
	if b.consumeFault(func(f *BackendFaults) *int { return &f.DropReplies }) {
		panic(http.ErrAbortHandler)
	}
	truncate := b.consumeFault(func(f *BackendFaults) *int { return &f.TruncateReplies })
	if req.id != "" {
		w.Header().Set(httpwire.HeaderRequestID, req.id)
	}
	w.Header().Set(httpwire.HeaderContentType, "application/octet-stream")
	if truncate {
		w.Header().Set("Content-Length", strconv.Itoa(len(result.body)+1))
	}
	w.WriteHeader(result.status)
	_, _ = w.Write(result.body)
	if truncate {
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
}
