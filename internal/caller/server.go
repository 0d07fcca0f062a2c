package caller

import (
	"net/http"
	"time"

	"github.com/gorilla/mux"

	"heatherreel/internal/problem"
)

// Names of the variables in the request path.
const (
	varService = "service"
	varKey     = "key"
)

// Limits of a connection of a caller.
const (
	readHeaderTimeout = 5 * time.Second
	idleTimeout       = 2 * time.Minute
	maxHeaderBytes    = 16 << 10
	// refusedBodyTimeout is the time limit for reading the body of a request that is refused because of its path or
	// headers.
	refusedBodyTimeout = time.Second
)

// NewHandler returns the HTTP handler for callers.
func NewHandler(h RequestHandler) http.Handler {
	// Keys may contain slashes, dots and percent signs, so paths are matched in escaped form and are not cleaned.
	router := mux.NewRouter().UseEncodedPath().SkipClean(true)
	router.HandleFunc("/v1/services/{service}/keys/{key}", func(w http.ResponseWriter, r *http.Request) {
		serve(w, r, h)
	})
	router.NotFoundHandler = http.HandlerFunc(notFound)
	return router
}

// NewServer returns an HTTP server with timeouts and a header limit for the connections of callers.
func NewServer(h http.Handler) *http.Server {
	return &http.Server{
		Handler:           h,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
}

// serve decodes one request, passes it to the RequestHandler and writes the answer.
func serve(w http.ResponseWriter, r *http.Request, h RequestHandler) {
	// net/http reads the rest of a body before it sends a response. The read deadline is removed only after the body is
	// read; otherwise a caller that never sends the body would block the connection and this goroutine forever.
	setReadDeadline(w, time.Now().Add(refusedBodyTimeout))
	decoded, err := decodeRequest(w, r, h)
	if err != nil {
		answer, detail := refusalAnswer(err)
		writeAnswer(w, r.URL.EscapedPath(), answer, detail)
		return
	}
	setReadDeadline(w, time.Time{})
	writeAnswer(w, r.URL.EscapedPath(), h.Serve(r.Context(), decoded), "")
}

// notFound writes the refusal of a request whose path does not name a service and a key.
func notFound(w http.ResponseWriter, r *http.Request) {
	setReadDeadline(w, time.Now().Add(refusedBodyTimeout))
	err := problem.New(problem.Malformed, "use /v1/services/{service}/keys/{key} with a key that is not empty", "no such path")
	answer, detail := refusalAnswer(err)
	writeAnswer(w, r.URL.EscapedPath(), answer, detail)
}
