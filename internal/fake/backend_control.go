package fake

import (
	"encoding/json"
	"net/http"
	"time"

	"heatherreel/internal/backendserver"
	"heatherreel/internal/httpwire"
	"heatherreel/internal/ledger"
)

// Paths of the fake backend server that real backend servers do not have, for tests and the demo.
const (
	FaultsPath = "/standin/faults"
	ReportPath = "/standin/report"
)

// Report is the response body of ReportPath: the number of executed requests, and the ids of those that ran more than
// once.
type Report struct {
	Executed   int      `json:"executed"`
	Duplicates []string `json:"duplicates"`
}

// grantTable maps the text form of a slice to the fence under which it is granted.
type grantTable map[string]ledger.Offset

// addControlRoutes registers the handlers of all paths except those of keys.
func (b *BackendServer) addControlRoutes() {
	b.router.HandleFunc(backendserver.GrantsPath, b.serveGrants).Methods(http.MethodPut)
	b.router.HandleFunc(backendserver.DrainPath, b.serveDrain).Methods(http.MethodPut)
	b.router.HandleFunc(backendserver.HealthPath, b.serveHealth).Methods(http.MethodGet)
	b.router.HandleFunc(backendserver.LoadPath, b.serveLoad).Methods(http.MethodGet)
	b.router.HandleFunc(FaultsPath, b.serveFaults).Methods(http.MethodPut)
	b.router.HandleFunc(ReportPath, b.serveReport).Methods(http.MethodGet)
}

// serveGrants replaces the grants. The fence of a slice that stays granted never decreases, so that a paused node
// cannot restore an old grant.
func (b *BackendServer) serveGrants(w http.ResponseWriter, r *http.Request) {
	var grants backendserver.Grants
	if !decodeBody(w, r, &grants) {
		return
	}
	b.waitWhileFrozen(r.Context())
	b.mu.Lock()
	defer b.mu.Unlock()
	next := make(grantTable, len(grants.Slices))
	for _, g := range grants.Slices {
		name := g.Slice.String()
		next[name] = max(g.Fence, b.grants[name])
	}
	b.grants = next
	b.validUntil = time.UnixMilli(grants.ValidUntilUnixMS)
}

// refusesFence reports whether the server checks grants and has no valid grant for the slice and fence of the request.
func (b *BackendServer) refusesFence(req keyRequest) bool {
	if !b.options.ChecksGrants {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	fence, granted := b.grants[req.slice]
	return !granted || uint64(fence) != req.fence || !time.Now().Before(b.validUntil)
}

// serveDrain records that the node beside the server is stopping.
func (b *BackendServer) serveDrain(_ http.ResponseWriter, r *http.Request) {
	b.waitWhileFrozen(r.Context())
	b.nodeStopping.Store(true)
}

// NodeStopping reports whether the node beside the server has sent PUT /drain.
func (b *BackendServer) NodeStopping() bool { return b.nodeStopping.Load() }

// serveHealth responds with the health, or with the value that the fault Health sets.
func (b *BackendServer) serveHealth(w http.ResponseWriter, r *http.Request) {
	b.waitWhileFrozen(r.Context())
	f := b.currentFaults()
	health := backendserver.Health{Healthy: true, Warm: f.ColdRequests == 0, Draining: b.draining.Load()}
	if f.Health != nil {
		health = *f.Health
	}
	writeJSON(w, health)
}

// serveLoad responds with the load, or with the value that the fault Load sets.
func (b *BackendServer) serveLoad(w http.ResponseWriter, r *http.Request) {
	b.waitWhileFrozen(r.Context())
	load := backendserver.Load{
		Running: uint32(b.running.Load()), Queued: uint32(b.queued.Load()), Slots: b.options.Slots,
	}
	if f := b.currentFaults(); f.Load != nil {
		load = *f.Load
	}
	writeJSON(w, load)
}

// serveFaults replaces the faults.
func (b *BackendServer) serveFaults(w http.ResponseWriter, r *http.Request) {
	var f BackendFaults
	if decodeBody(w, r, &f) {
		b.SetFaults(f)
	}
}

// serveReport responds with the Report.
func (b *BackendServer) serveReport(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, Report{Executed: b.store.TotalExecutions(), Duplicates: b.store.Duplicates()})
}

// decodeBody decodes a JSON body into value. If the body is malformed, it responds with 400 and returns false.
func decodeBody(w http.ResponseWriter, r *http.Request, value any) bool {
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBackendBody))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(value); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

// writeJSON responds with value in JSON.
func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set(httpwire.HeaderContentType, httpwire.ContentTypeJSON)
	_ = json.NewEncoder(w).Encode(value)
}
