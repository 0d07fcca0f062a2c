package operator

import (
	"encoding/json"
	"errors"
	"net/http"
	"time"

	"github.com/gorilla/mux"

	"heatherreel/internal/problem"
	"heatherreel/internal/worker"
)

// Paths of the interface.
const (
	pathHealth        = "/healthz"
	pathMetrics       = "/metrics"
	pathStatus        = "/v1/status"
	pathExplain       = "/v1/explain"
	pathConfiguration = "/v1/configuration"
)

// Media types of responses.
const (
	contentTypeJSON    = "application/json"
	contentTypeProblem = "application/problem+json"
)

// Timeouts of the server. The status of a large fleet is a few hundred kilobytes.
const (
	// readTimeout bounds the arrival of a whole request. Requests need no body, but net/http reads one to its end before the
	// connection can be used again.
	readTimeout  = 5 * time.Second
	writeTimeout = 30 * time.Second
	idleTimeout  = time.Minute
)

// handler serves the interface. It reads source in jobs of pool.
type handler struct {
	source Source
	pool   *worker.Pool
}

// NewServer returns an HTTP server for operators that is not listening yet. It reads source in jobs of pool. metrics
// serves /metrics; if it is nil, the path does not exist.
func NewServer(source Source, pool *worker.Pool, metrics http.Handler) *http.Server {
	return &http.Server{
		Handler:      newHandler(source, pool, metrics),
		ReadTimeout:  readTimeout,
		WriteTimeout: writeTimeout,
		IdleTimeout:  idleTimeout,
	}
}

// newHandler returns the HTTP handler with all routes.
func newHandler(source Source, pool *worker.Pool, metrics http.Handler) http.Handler {
	h := &handler{source: source, pool: pool}
	router := mux.NewRouter()
	router.HandleFunc(pathHealth, h.health).Methods(http.MethodGet)
	router.HandleFunc(pathStatus, h.status).Methods(http.MethodGet)
	router.HandleFunc(pathExplain, h.explain).Methods(http.MethodGet)
	router.HandleFunc(pathConfiguration, h.configuration).Methods(http.MethodGet)
	if metrics != nil {
		router.Handle(pathMetrics, metrics).Methods(http.MethodGet)
	}
	return router
}

func (h *handler) health(w http.ResponseWriter, r *http.Request) {
	health, err := submit(h, r, func() (Health, error) { return h.source.Health(), nil })
	if err != nil {
		writeProblem(w, err)
		return
	}
	code := http.StatusOK
	if !health.Ready {
		code = http.StatusServiceUnavailable
	}
	writeJSON(w, code, health)
}

func (h *handler) status(w http.ResponseWriter, r *http.Request) {
	respond(w, h, r, func() (Status, error) { return h.source.Status(), nil })
}

func (h *handler) configuration(w http.ResponseWriter, r *http.Request) {
	respond(w, h, r, func() (Configuration, error) { return h.source.Configuration(), nil })
}

func (h *handler) explain(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	q := ExplainQuery{Service: query.Get("service"), Tenant: query.Get("tenant"), Key: query.Get("key")}
	if q.Service == "" || q.Key == "" {
		writeProblem(w, problem.New(problem.Malformed, "name service and key in the query",
			"the query lacks service or key"))
		return
	}
	respond(w, h, r, func() (Explanation, error) { return h.source.Explain(q) })
}

// respond runs job in the pool and writes its result or its error as the response.
func respond[T any](w http.ResponseWriter, h *handler, r *http.Request, job func() (T, error)) {
	result, err := submit(h, r, job)
	if err != nil {
		writeProblem(w, err)
		return
	}
	writeJSON(w, http.StatusOK, result)
}

// submit runs job in the pool and waits for its result or for the end of the HTTP request.
func submit[T any](h *handler, r *http.Request, job func() (T, error)) (T, error) {
	type outcome struct {
		result T
		err    error
	}
	done := make(chan outcome, 1)
	err := h.pool.Submit(func() {
		result, err := job()
		done <- outcome{result, err}
	})
	if err != nil {
		var zero T
		return zero, err
	}
	select {
	case o := <-done:
		return o.result, o.err
	case <-r.Context().Done():
		var zero T
		return zero, problem.New(problem.Unavailable, "ask again", "the request ended first: %w", r.Context().Err())
	}
}

// writeJSON writes value as JSON. A write error means that the client has closed the connection, so it is ignored.
func writeJSON(w http.ResponseWriter, code int, value any) {
	w.Header().Set("Content-Type", contentTypeJSON)
	w.WriteHeader(code)
	_ = json.NewEncoder(w).Encode(value)
}

// problemBody is the body of an error response (RFC 9457).
type problemBody struct {
	Type   string `json:"type"`
	Status int    `json:"status"`
	Detail string `json:"detail"`
	Remedy string `json:"remedy"`
}

// writeProblem writes err as a problem body, with the HTTP status of its kind.
func writeProblem(w http.ResponseWriter, err error) {
	body := problemBody{Type: string(problem.KindOf(err)), Status: problem.HTTPStatus(err), Detail: err.Error()}
	var typed *problem.Error
	if errors.As(err, &typed) {
		body.Detail, body.Remedy = typed.Detail, typed.Remedy
	}
	w.Header().Set("Content-Type", contentTypeProblem)
	w.WriteHeader(body.Status)
	_ = json.NewEncoder(w).Encode(body)
}
