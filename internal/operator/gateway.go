package operator

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/gorilla/mux"
)

// GatewayState is what a gateway knows, for operators.
type GatewayState struct {
	Instance   string `json:"instance"`
	DataCentre string `json:"data_centre"`
	Region     string `json:"region"`
	Service    string `json:"service"`
	Ready      bool   `json:"ready"`
	// Revision is the configuration in force; 0 for none.
	Revision  uint64   `json:"revision"`
	Routes    int      `json:"routes"`
	Evacuated []string `json:"evacuated"`
	// LeaseLeftMS is how long the node may grant keys without reading the store.
	LeaseLeftMS int64           `json:"lease_left_ms"`
	Members     []GatewayMember `json:"members"`
	Ranges      []GatewayRange  `json:"ranges"`
	// Suspected and Lost are instances whose ownership ends, or has ended.
	Suspected []string `json:"suspected"`
	Lost      []string `json:"lost"`
}

// GatewayMember is an instance as a gateway knows it.
type GatewayMember struct {
	Instance   string `json:"instance"`
	DataCentre string `json:"data_centre"`
	Service    string `json:"service"`
	Server     string `json:"server"`
	Draining   bool   `json:"draining"`
	// Running, Waiting and Slots are those of the last report; ReportAgeMS is its age, -1 for none.
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
	// Next is the instance that the range moves to; empty while it stays.
	Next string `json:"next"`
}

const pathGateway = "/v1/gateway"

// NewGatewayHandler returns the handler of operators' questions to a gateway, and of its metrics.
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

// Gateway returns what the gateway knows.
func (c *Client) Gateway(ctx context.Context) (GatewayState, error) {
	return get[GatewayState](ctx, c, pathGateway, nil)
}
