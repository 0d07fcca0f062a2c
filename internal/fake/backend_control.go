package fake

import (
	"encoding/json"
	"net/http"
	"time"

	"heatherreel/internal/backendserver"
	"heatherreel/internal/httpwire"
	"heatherreel/internal/ledger"
)

// Paths that only the stand-in has, for tests and the demo.
const (
	FaultsPath = "/standin/faults"
	ReportPath = "/standin/report"
)

// Report is what a stand-in counted.
type Report struct {
	Executed   int      `json:"executed"`
	Duplicates []string `json:"duplicates"`
}

// grantTable holds the granted fences by the text of the slice.
type grantTable map[string]ledger.Offset

// addControlRoutes adds the paths other than those of keys.
func (b *BackendServer) addControlRoutes() {
	b.router.HandleFunc(backendserver.GrantsPath, b.serveGrants).Methods(http.MethodPut)
	b.router.HandleFunc(backendserver.DrainPath, b.serveDrain).Methods(http.MethodPut)
	b.router.HandleFunc(backendserver.HealthPath, b.serveHealth).Methods(http.MethodGet)
	b.router.HandleFunc(backendserver.LoadPath, b.serveLoad).Methods(http.MethodGet)
	b.router.HandleFunc(FaultsPath, b.serveFaults).Methods(http.MethodPut)
	b.router.HandleFunc(ReportPath, b.serveReport).Methods(http.MethodGet)
}

// serveGrants replaces the grants. A fence never falls, so that a paused node cannot restore an old grant.
func (b *BackendServer) serveGrants(w http.ResponseWriter, r *http.Request) {
	var grants backendserver.Grants
	if !decodeBody(w, r, &grants) {
		return
	}
	b.thaw(r.Context())
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

// refusesFence reports whether the server checks grants and holds none for the call, or one that has expired.
func (b *BackendServer) refusesFence(c call) bool {
	if !b.options.ChecksGrants {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	fence, granted := b.grants[c.slice]
	return !granted || uint64(fence) != c.fence || !time.Now().Before(b.validUntil)
}

// serveDrain notes that the node beside the server stops.
func (b *BackendServer) serveDrain(_ http.ResponseWriter, r *http.Request) {
	b.thaw(r.Context())
	b.nodeStops.Store(true)
}

// NodeStops reports whether the node beside the server said that it stops.
func (b *BackendServer) NodeStops() bool { return b.nodeStops.Load() }

// serveHealth states the health, or what the fault says.
func (b *BackendServer) serveHealth(w http.ResponseWriter, r *http.Request) {
	b.thaw(r.Context())
	f := b.currentFaults()
	health := backendserver.Health{Healthy: true, Warm: f.ColdRequests == 0, Draining: b.draining.Load()}
	if f.Health != nil {
		health = *f.Health
	}
	writeJSON(w, health)
}

// serveLoad states the load, or what the fault says.
func (b *BackendServer) serveLoad(w http.ResponseWriter, r *http.Request) {
	b.thaw(r.Context())
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
	var f Faults
	if decodeBody(w, r, &f) {
		b.SetFaults(f)
	}
}

// serveReport states what was counted.
func (b *BackendServer) serveReport(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, Report{Executed: b.store.Total(), Duplicates: b.store.Duplicates()})
}

// decodeBody decodes a JSON body, or answers 400 and returns false.
func decodeBody(w http.ResponseWriter, r *http.Request, value any) bool {
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBackendBody))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(value); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

// writeJSON sends a JSON body.
func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set(httpwire.HeaderContentType, httpwire.ContentTypeJSON)
	_ = json.NewEncoder(w).Encode(value)
}
