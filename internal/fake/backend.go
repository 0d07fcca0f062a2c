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

// BackendOptions are the properties of a backend server.
type BackendOptions struct {
	Service     string
	Incarnation string
	// Slots is the number of requests that it runs at once.
	Slots       uint32
	Connections uint32
	Weight      uint32
	// ChecksGrants makes it refuse a request without a grant of the same fence.
	ChecksGrants bool
	// ServiceTime is how long one request takes in a slot.
	ServiceTime time.Duration
	// Store holds the values. Backend servers of a service may share one; nil makes a new one.
	Store *Store
	// Received, if not nil, records every byte that arrives at Listen's address.
	Received *Recorder
}

// BackendServer is a small stand-in of a backend server.
//
// mu guards faults, changed, grants, validUntil and server. Slots are tokens in slots.
type BackendServer struct {
	options  BackendOptions
	store    *Store
	router   *mux.Router
	slots    chan struct{}
	running  atomic.Int64
	queued   atomic.Int64
	draining atomic.Bool
	// lastUse is when a request last arrived or ended, in nanoseconds since 1970.
	lastUse atomic.Int64
	// nodeStops is set when the node beside the server has sent PUT /drain.
	nodeStops atomic.Bool

	mu     sync.Mutex
	faults Faults
	// changed is closed when faults change.
	changed chan struct{}
	grants  grantTable
	// validUntil is when the grants expire.
	validUntil time.Time
	server     *http.Server
	address    string
	finished   chan struct{}
}

// NewBackendServer returns a backend server that serves over ServeHTTP or Listen.
func NewBackendServer(o BackendOptions) *BackendServer {
	b := &BackendServer{
		options: o,
		store:   o.Store,
		slots:   make(chan struct{}, o.Slots),
		changed: make(chan struct{}),
		grants:  grantTable{},
	}
	b.noteUse()
	if b.store == nil {
		b.store = NewStore()
	}
	b.router = mux.NewRouter().UseEncodedPath().SkipClean(true)
	b.router.HandleFunc(backendserver.KeysPath+"{key}", b.serveKey)
	b.addControlRoutes()
	return b
}

// Store returns the values and executions.
func (b *BackendServer) Store() *Store { return b.store }

// Running returns the number of requests in slots.
func (b *BackendServer) Running() int { return int(b.running.Load()) }

// noteUse records that a request arrived or ended.
func (b *BackendServer) noteUse() { b.lastUse.Store(time.Now().UnixNano()) }

// Drained reports whether the server holds no grant, runs no request and had none for the time quiet. The time is
// needed because a node need not send grants to a server that does not check them.
func (b *BackendServer) Drained(quiet time.Duration) bool {
	b.mu.Lock()
	granted := len(b.grants)
	b.mu.Unlock()
	busy := b.running.Load() + b.queued.Load()
	return granted == 0 && busy == 0 && time.Since(time.Unix(0, b.lastUse.Load())) >= quiet
}

// ServeHTTP implements http.Handler.
func (b *BackendServer) ServeHTTP(w http.ResponseWriter, r *http.Request) { b.router.ServeHTTP(w, r) }

// Listen serves at address, an IP address and port, until Close.
func (b *BackendServer) Listen(address string) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.address = listener.Addr().String()
	if b.options.Received != nil {
		listener = b.options.Received.Wrap(listener)
	}
	b.server = &http.Server{Handler: b, ReadHeaderTimeout: time.Minute}
	b.finished = make(chan struct{})
	go func(server *http.Server) {
		defer close(b.finished)
		_ = server.Serve(listener)
	}(b.server)
	return nil
}

// Address returns the address that Listen serves.
func (b *BackendServer) Address() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.address
}

// Close drops all connections, as the loss of the process would.
func (b *BackendServer) Close() {
	b.mu.Lock()
	server, finished := b.server, b.finished
	b.mu.Unlock()
	if server == nil {
		return
	}
	_ = server.Close()
	<-finished
}

// serveKey runs one request for one key.
func (b *BackendServer) serveKey(w http.ResponseWriter, r *http.Request) {
	call, ok := decodeCall(w, r)
	if !ok {
		return
	}
	b.noteUse()
	defer b.noteUse()
	ctx, cancel := context.WithTimeout(r.Context(), call.deadline)
	defer cancel()
	defer awaitCaller(ctx, r)
	b.thaw(ctx)
	if b.refusesFence(call) {
		refuse(w, http.StatusConflict, httpwire.RefusedFence)
		return
	}
	if !b.takeSlot(ctx) {
		refuse(w, http.StatusServiceUnavailable, httpwire.RefusedOverload)
		return
	}
	defer b.giveSlot()
	b.work(ctx)
	if b.refusesFence(call) {
		refuse(w, http.StatusConflict, httpwire.RefusedFence)
		return
	}
	result := b.store.apply(call, b.options.ChecksGrants)
	if result.refused {
		refuse(w, http.StatusConflict, httpwire.RefusedFence)
		return
	}
	b.reply(r.Context(), w, call, result)
}

// awaitCaller is deferred. It keeps the connection of a request that was given up at its deadline until the node
// closes it, because the deadline sent is rounded down and the node would see a lost connection shortly before its own.
func awaitCaller(ctx context.Context, r *http.Request) {
	cause := recover()
	if cause == nil {
		return
	}
	if ctx.Err() == context.DeadlineExceeded {
		<-r.Context().Done()
	}
	panic(cause)
}

// decodeCall returns the request, or answers 400 and returns false.
func decodeCall(w http.ResponseWriter, r *http.Request) (call, bool) {
	key, keyErr := httpwire.UnescapeKey(mux.Vars(r)["key"])
	fence, fenceErr := strconv.ParseUint(r.Header.Get(httpwire.HeaderFence), 10, 64)
	ms, deadlineErr := strconv.ParseUint(r.Header.Get(httpwire.HeaderDeadline), 10, 31)
	body, bodyErr := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBackendBody))
	if keyErr != nil || fenceErr != nil || deadlineErr != nil || bodyErr != nil {
		w.WriteHeader(http.StatusBadRequest)
		return call{}, false
	}
	return call{
		method:   r.Method,
		key:      StoreKey{Tenant: r.Header.Get(httpwire.HeaderTenant), Key: key},
		id:       r.Header.Get(httpwire.HeaderRequestID),
		slice:    r.Header.Get(httpwire.HeaderSlice),
		fence:    fence,
		deadline: min(time.Duration(ms)*time.Millisecond, untilUnixMS(r.Header.Get(httpwire.HeaderNotAfter))),
		body:     body,
	}, true
}

// untilUnixMS returns the time left until a wall clock time in milliseconds; a long time if none is stated.
func untilUnixMS(text string) time.Duration {
	ms, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		return time.Hour
	}
	return time.Until(time.UnixMilli(ms))
}

// refuse states that the request did not run.
func refuse(w http.ResponseWriter, status int, reason string) {
	w.Header().Set(httpwire.HeaderRefused, reason)
	w.WriteHeader(status)
}

// takeSlot waits for a slot. It returns false if the server sheds load instead.
func (b *BackendServer) takeSlot(ctx context.Context) bool {
	select {
	case b.slots <- struct{}{}:
		b.running.Add(1)
		return true
	default:
	}
	if b.currentFaults().Sheds {
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

// giveSlot frees a slot.
func (b *BackendServer) giveSlot() {
	b.running.Add(-1)
	<-b.slots
}

// work takes the time of one request. A request that is cancelled or misses its deadline does not run.
func (b *BackendServer) work(ctx context.Context) {
	timer := time.NewTimer(b.options.ServiceTime + b.coldTime())
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
		if !b.currentFaults().IgnoresCancellation {
			panic(http.ErrAbortHandler)
		}
	}
	b.thaw(ctx)
}

// reply sends the result, unless a fault prevents it. connection ends when the client closes its connection; a silent
// server leaves the connection open beyond the deadline.
func (b *BackendServer) reply(connection context.Context, w http.ResponseWriter, c call, result result) {
	if b.currentFaults().Silent {
		<-connection.Done()
		panic(http.ErrAbortHandler)
	}
	if b.spend(func(f *Faults) *int { return &f.DropReplies }) {
		panic(http.ErrAbortHandler)
	}
	cut := b.spend(func(f *Faults) *int { return &f.CutAnswers })
	if c.id != "" {
		w.Header().Set(httpwire.HeaderRequestID, c.id)
	}
	w.Header().Set(httpwire.HeaderContentType, "application/octet-stream")
	if cut {
		w.Header().Set("Content-Length", strconv.Itoa(len(result.body)+1))
	}
	w.WriteHeader(result.status)
	_, _ = w.Write(result.body)
	if cut {
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
}
