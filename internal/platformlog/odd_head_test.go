package platformlog_test

import (
	"context"
	"fmt"
	"net"
	"testing"
	"time"

	"heatherreel/internal/fake/oddhead"
	"heatherreel/internal/platformlog"
	"heatherreel/internal/problem"
)

// Guards against bytes with the head of no reply that are taken for a page of the log, on a new and on a persistent
// connection, and against a later read that gets their rest.
func TestOddHeadIsNoReply(t *testing.T) {
	for _, odd := range oddhead.Responses {
		for before := range int64(2) {
			t.Run(fmt.Sprintf("%s, %d reads before", odd.Name, before), func(t *testing.T) {
				s := &oddhead.Server{Odd: odd, OddAt: before, Body: `{"records":[],"next":1,"earliest":1}`}
				listener, err := net.Listen("tcp", "127.0.0.1:0")
				if err != nil {
					t.Fatal(err)
				}
				defer listener.Close()
				go s.Serve(listener)
				client := platformlog.NewClient("http://"+listener.Addr().String(), "heatherreel")
				defer client.Close()
				for n := range before + 3 {
					ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
					page, err := client.Read(ctx, 1, 10, 0)
					cancel()
					if n != before && (err != nil || page.Next != 1) {
						t.Errorf("read %d: %+v, %v", n, page, err)
					}
					if n == before && problem.KindOf(err) != problem.Unavailable {
						t.Errorf("%+v, error %v, want an unavailable one", page, err)
					}
				}
			})
		}
	}
}
