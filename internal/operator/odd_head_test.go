package operator_test

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"heatherreel/internal/fake/oddhead"
	"heatherreel/internal/operator"
)

// Guards against a command that shows bytes with the head of no response as what a node reports.
func TestOddHeadIsNoResponse(t *testing.T) {
	for _, odd := range oddhead.Responses {
		t.Run(odd.Name, func(t *testing.T) {
			s := &oddhead.Server{Odd: odd, Body: "{}"}
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer listener.Close()
			go s.Serve(listener)
			defer http.DefaultTransport.(*http.Transport).CloseIdleConnections()
			for n := range 2 {
				ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
				status, err := operator.NewClient(listener.Addr().String()).Status(ctx)
				cancel()
				if odd := n == 0; odd != (err != nil) {
					t.Errorf("response %d: %+v, error %v", n, status, err)
				}
			}
		})
	}
}
