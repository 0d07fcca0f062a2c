package daemon

import (
	"fmt"
	"net/http"
	"testing"

	"heatherreel/internal/fake/oddhead"
)

// Guards against a response with the head of no answer that reaches the caller as an answer, from the node beside the
// backend server or through another one, on a new and on a persistent connection, and against a later caller that gets its
// rest.
func TestOddHeadReachesNoCaller(t *testing.T) {
	for _, odd := range oddhead.Responses {
		for before := range int64(2) {
			for _, relayed := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s, %d requests before, through a node %v", odd.Name, before, relayed), func(t *testing.T) {
					s := &oddhead.Server{Odd: odd, OddAt: before, Body: "ok", Fields: func(req *http.Request) string {
						return "Heatherreel-Request-Id: " + req.Header.Get("Heatherreel-Request-Id") + "\r\nHeatherreel-Response-Signature: s\r\n"
					}}
					address := startHops(t, serveTCP(t, s.Serve), relayed)
					for n := range before + 3 {
						status, body := exchangeRaw(t, address, fmt.Sprintf("id-%d", n))
						if n != before && (status != http.StatusOK || body != "ok") {
							t.Errorf("request %d: status %d, body %q", n, status, body)
						}
						if n == before && (status != http.StatusBadGateway || body != "" || s.Requests() != before+1) {
							t.Errorf("status %d, body %q after %d requests; want 502 without a body after %d", status, body, s.Requests(), before+1)
						}
					}
				})
			}
		}
	}
}
