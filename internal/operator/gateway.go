package operator

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/gorilla/mux"
)

// GatewayState is the state of a gateway as shown to operators.
type GatewayState struct {
	Instance   string `json:"instance"`
	DataCentre string `json:"data_centre"`
	Region     string `json:"region"`
	Service    string `json:"service"`
	Ready      bool   `json:"ready"`
	// Revision is the revision of the configuration in force; 0 if there is none.
	Revision  uint64   `json:"revision"`
	Routes    int      `json:"routes"`
	Evacuated []string `json:"evacuated"`
	// LeaseLeftMS is the time in milliseconds for which the gateway may grant keys without reading the store again.
	LeaseLeftMS int64           `json:"lease_left_ms"`
	Members     []GatewayMember `json:"members"`
	Ranges      []GatewayRange  `json:"ranges"`
	// Suspected are instances whose ownership is being ended; Lost are instances whose ownership has ended.
	Suspected []string `json:"suspected"`
	Lost      []string `json:"lost"`
	// Sources are where the gateway reads the topics of the store from.
	Sources []GatewaySource `json:"sources"`
	// Grants is the state of the grants by calls; nil if keys are granted in the replies to heartbeats.
	Grants *GatewayGrants `json:"grants,omitempty"`
}

// GatewayGrants is the state of the grants that a gateway makes by calls to its backend server. The counts are those of
// calls since the start of the process.
type GatewayGrants struct {
	// Spans is the number of spans of keys that the backend server holds for certain. The first of their holds ends in
	// HoldLeftMS milliseconds; MinHoldLeftMS is the shortest time that was left of one when it was renewed.
	Spans         int   `json:"spans"`
	HoldLeftMS    int64 `json:"hold_left_ms"`
	MinHoldLeftMS int64 `json:"min_hold_left_ms"`
	Granted       int64 `json:"granted"`
	Released      int64 `json:"released"`
	Refused       int64 `json:"refused"`
	Unanswered    int64 `json:"unanswered"`
	NotSent       int64 `json:"not_sent"`
}

// GatewaySource is where a gateway reads a topic from.
type GatewaySource struct {
	Topic string `json:"topic"`
	// Instance is the instance that reads the topic for the gateway; empty if the gateway reads it from the store.
	Instance string `json:"instance"`
	// SinceMS is for how long that has been the case, in milliseconds.
	SinceMS int64 `json:"since_ms"`
}

// GatewayMember is the state of an instance as recorded by a gateway.
type GatewayMember struct {
	Instance   string `json:"instance"`
	DataCentre string `json:"data_centre"`
	Service    string `json:"service"`
	Server     string `json:"server"`
	Draining   bool   `json:"draining"`
	// Running, Waiting and Slots are from the latest load report; ReportAgeMS is its age in milliseconds, -1 if there
	// is none.
	Running     int   `json:"running"`
	Waiting     int   `json:"waiting"`
	Slots       int   `json:"slots"`
	ReportAgeMS int64 `json:"report_age_ms"`
	Failures    int   `json:"failures"`
}

// GatewayRange is a range of keys and its owner.
type GatewayRange struct {
	Service  string `json:"service"`
	From     uint16 `json:"from"`
	To       uint16 `json:"to"`
	Fence    uint64 `json:"fence"`
	Instance string `json:"instance"`
	Server   string `json:"server"`
	// Next is the instance that the range is moving to; empty if it is not moving.
	Next string `json:"next"`
}

const pathGateway = "/v1/gateway"

// NewGatewayHandler returns the HTTP handler for the state and the metrics of a gateway.
func NewGatewayHandler(state func() GatewayState, metrics http.Handler) http.Handler {
	router := mux.NewRouter()
	router.Handle("/metrics", metrics).Methods(http.MethodGet)
	router.HandleFunc(pathGateway, func(w http.ResponseWriter, _ *http.Request) {
		data, err := json.Marshal(state())
		if err != nil {
			http.Error(w, err.Error(), http.StatusInternalServerError)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		_, _ = w.Write(data)
	}).Methods(http.MethodGet)
	return router
}

// Gateway returns the state of the gateway.
func (c *Client) Gateway(ctx context.Context) (GatewayState, error) {
	return get[GatewayState](ctx, c, pathGateway, nil)
}
