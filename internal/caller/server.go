package caller

import (
	"net/http"
	"time"

	"github.com/gorilla/mux"

	"heatherreel/internal/problem"
)

// Names of the variable parts of the path.
const (
	varService = "service"
	varKey     = "key"
)

// Bounds of a connection of a caller.
const (
	headerTimeout  = 5 * time.Second
	idleTimeout    = 2 * time.Minute
	maxHeaderBytes = 16 << 10
	// drainTimeout bounds reading the body of a request that is refused for its headers.
	drainTimeout = time.Second
)

// NewHandler returns the HTTP handler for callers.
func NewHandler(s Service) http.Handler {
	// Keys may contain slashes, dots and percent signs: paths are matched escaped and are not cleaned.
	router := mux.NewRouter().UseEncodedPath().SkipClean(true)
	router.HandleFunc("/v1/services/{service}/keys/{key}", func(w http.ResponseWriter, r *http.Request) {
		serve(w, r, s)
	})
	router.NotFoundHandler = http.HandlerFunc(notFound)
	return router
}

// NewServer returns an HTTP server with bounds for the connections of callers.
func NewServer(h http.Handler) *http.Server {
	return &http.Server{
		Handler:           h,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
}

// serve decodes one request, has it answered and encodes the answer.
func serve(w http.ResponseWriter, r *http.Request, s Service) {
	// net/http reads the rest of a body before it sends an answer. The read deadline is removed only when the body
	// is read, since a caller that never sends it would otherwise hold the connection and this goroutine for ever.
	setReadDeadline(w, time.Now().Add(drainTimeout))
	decoded, err := decode(w, r, s)
	if err != nil {
		answer, detail := refusal(err)
		encode(w, r.URL.EscapedPath(), answer, detail)
		return
	}
	setReadDeadline(w, time.Time{})
	encode(w, r.URL.EscapedPath(), s.Serve(r.Context(), decoded), "")
}

// notFound answers paths that name no service and key.
func notFound(w http.ResponseWriter, r *http.Request) {
	setReadDeadline(w, time.Now().Add(drainTimeout))
	err := problem.New(problem.Malformed, "use /v1/services/{service}/keys/{key} with a key that is not empty", "no such path")
	answer, detail := refusal(err)
	encode(w, r.URL.EscapedPath(), answer, detail)
}
