package httpwire

import (
	"context"
	"errors"
	"fmt"
	"net"
	"testing"
	"time"

	"heatherreel/internal/fake/oddhead"
	"heatherreel/internal/problem"
)

// Guards against a response with the head of no answer that is passed on as one, that makes the request run again, or
// that leaves the connection in a state in which a later request gets its rest, on a new and on a persistent connection.
func TestOddHeadIsNoAnswer(t *testing.T) {
	for _, odd := range oddhead.Responses {
		for _, method := range []string{"GET", "POST"} {
			for before := range int64(2) {
				t.Run(fmt.Sprintf("%s, %s, %d requests before", odd.Name, method, before), func(t *testing.T) {
					s := &oddhead.Server{Odd: odd, OddAt: before, Body: "ok"}
					listener, err := net.Listen("tcp", "127.0.0.1:0")
					if err != nil {
						t.Fatal(err)
					}
					defer listener.Close()
					go s.Serve(listener)
					transport := newTestTransport(t)
					for n := range before + 3 {
						ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
						r, err := transport.Do(ctx, newCall(method, listener.Addr().String(), nil))
						cancel()
						if n != before {
							if err != nil || string(r.Body) != "ok" {
								t.Errorf("request %d: body %q, error %v", n, r.Body, err)
							}
							continue
						}
						if !errors.Is(err, problem.Unavailable) || !errors.Is(err, problem.Malformed) || r.Status != 0 {
							t.Errorf("status %d, error %v; want unavailable because of malformed bytes", r.Status, err)
						}
						if s.Requests() != before+1 || before == 1 && s.Connections() != 1 {
							t.Errorf("%d requests on %d connections", s.Requests(), s.Connections())
						}
					}
				})
			}
		}
	}
}
