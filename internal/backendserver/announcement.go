// Package backendserver implements the HTTP protocol between a node and the backend server on the same instance: the
// server that receives announcements, and the client that sends requests, grants and the drain command, and reads
// health and load. It makes no decisions.
package backendserver

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/netip"
	"time"

	"github.com/gorilla/mux"

	"heatherreel/internal/httpwire"
	"heatherreel/internal/problem"
)

// AnnouncementPath is the path to which a backend server sends its announcement, on the node of the same instance.
const AnnouncementPath = "/v1/announcement"

// Limits of an announcement. maxFieldValue applies to slots, connections and weight.
const (
	maxAnnouncementBytes = 4 << 10
	maxNameBytes         = 128
	maxFieldValue        = 100_000
)

// Announcement is what a backend server states about itself every second.
type Announcement struct {
	// Address is the IP address and port at which it accepts requests.
	Address string `json:"address"`
	Service string `json:"service"`
	// Incarnation identifies one run of the backend server; it changes with each restart.
	Incarnation string `json:"incarnation"`
	// Slots is the number of requests that it runs concurrently.
	Slots uint32 `json:"slots"`
	// Connections is the number of connections that it accepts.
	Connections uint32 `json:"connections"`
	// Weight is its relative share of slices; 100 is the usual value.
	Weight uint32 `json:"weight"`
	// Draining is true if it is about to stop and accepts no new requests.
	Draining bool `json:"draining"`
}

// AnnouncementHandler receives announcements.
type AnnouncementHandler interface {
	// Announce is called for each valid announcement. An error, of package problem, rejects the announcement.
	Announce(ctx context.Context, a Announcement) error
}

// NewHandler returns the HTTP handler for announcements.
func NewHandler(h AnnouncementHandler) http.Handler {
	router := mux.NewRouter()
	router.HandleFunc(AnnouncementPath, func(w http.ResponseWriter, r *http.Request) {
		if err := handleAnnouncement(w, r, h); err != nil {
			httpwire.WriteProblem(w, httpwire.ErrorProblem(err))
			return
		}
		w.WriteHeader(http.StatusNoContent)
	}).Methods(http.MethodPut)
	return router
}

// Limits of a connection that carries announcements. They are sent every second, so five seconds without the rest of
// a request mean a fault.
const (
	readTimeout       = 5 * time.Second
	serverIdleTimeout = time.Minute
	maxHeaderBytes    = 8 << 10
)

// NewServer returns an HTTP server with timeouts and a header limit for the connections that carry announcements.
func NewServer(h http.Handler) *http.Server {
	return &http.Server{Handler: h, ReadTimeout: readTimeout, IdleTimeout: serverIdleTimeout, MaxHeaderBytes: maxHeaderBytes}
}

// handleAnnouncement decodes one announcement and passes it to h.
func handleAnnouncement(w http.ResponseWriter, r *http.Request, h AnnouncementHandler) error {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxAnnouncementBytes))
	var maxBytesError *http.MaxBytesError
	if errors.As(err, &maxBytesError) {
		return problem.New(problem.TooLarge, "send a smaller announcement", "the body is over %d bytes", maxAnnouncementBytes)
	}
	if err != nil {
		return problem.New(problem.Malformed, "send the whole body", "the body is incomplete")
	}
	a, err := decodeAnnouncement(body)
	if err != nil {
		return err
	}
	return h.Announce(r.Context(), a)
}

// decodeAnnouncement decodes and validates an announcement. It rejects unknown fields, because these are more often
// misspelt than new.
func decodeAnnouncement(body []byte) (Announcement, error) {
	var a Announcement
	decoder := json.NewDecoder(bytes.NewReader(body))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&a); err != nil {
		return a, problem.New(problem.Malformed, "send the fields that the design page names", "bad announcement: %w", err)
	}
	if _, err := decoder.Token(); err != io.EOF {
		return a, problem.New(problem.Malformed, "send one JSON object", "data after the announcement")
	}
	return a, a.validate()
}

// validate returns a problem.Invalid error if a value is out of range.
func (a Announcement) validate() error {
	address, err := netip.ParseAddrPort(a.Address)
	if err != nil || address.Port() == 0 || address.Addr().IsUnspecified() {
		return problem.New(problem.Invalid, "announce an IP address and port", "field address is not valid")
	}
	if a.Service == "" || len(a.Service) > maxNameBytes {
		return problem.New(problem.Invalid, "announce the service", "field service is empty or over %d bytes", maxNameBytes)
	}
	if a.Incarnation == "" || len(a.Incarnation) > maxNameBytes {
		return problem.New(problem.Invalid, "announce a text that differs for each run", "field incarnation is empty or over %d bytes", maxNameBytes)
	}
	for _, field := range []struct {
		name  string
		value uint32
	}{{"slots", a.Slots}, {"connections", a.Connections}, {"weight", a.Weight}} {
		if field.value == 0 || field.value > maxFieldValue {
			return problem.New(problem.Invalid, "announce a positive number", "field %s is not within 1 to %d", field.name, maxFieldValue)
		}
	}
	return nil
}
