package gateway

import (
	"context"
	"errors"
	"io"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"heatherreel/internal/request"
	"heatherreel/internal/routed"
)

// sendStream sends a request with a streamed body through k0, and returns the answer and the instances it was sent to.
func (sim *simulation) sendStream(id string, body io.Reader) (routed.Answer, []string) {
	var sentTo []string
	sim.mu.Lock()
	g := sim.instances["k0"].gateway
	sim.onDispatch = func(to string, _ routed.Request) { sentTo = append(sentTo, to) }
	sim.mu.Unlock()
	a := g.Route(context.Background(), routed.Request{ID: id, Host: "h", Path: "/free/", Method: "POST", Deadline: time.Now().Add(secondSendTimeout),
		Stream: routed.NewBodyStream(-1, body, nil, func() {})})
	sim.mu.Lock()
	defer sim.mu.Unlock()
	return a, sentTo
}

// failingReader fails with an error.
type failingReader struct{ err error }

func (r failingReader) Read([]byte) (int, error) { return 0, r.err }

// Guards against a request with a streamed body that is refused although another node could run it, that is sent again after
// its body was taken, or that runs without its body.
func TestStreamIsRepeatedOnlyBeforeItsBodyIsTaken(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sim := startFleet(t)
		defer sim.close()
		a, sentTo := sim.sendStream("calm", strings.NewReader("body"))
		if a.Outcome != request.Done || len(sentTo) != 1 {
			t.Fatalf("without faults: %v %q, sent to %v", a.Outcome, a.Reason, sentTo)
		}
		first := sentTo[0]
		sim.mu.Lock()
		sim.refusals = map[string]request.Reason{first: request.LargeBodiesFull}
		sim.mu.Unlock()
		if a, sentTo := sim.sendStream("refused", strings.NewReader("body")); a.Outcome != request.Done || len(sentTo) != 2 {
			t.Errorf("refused by %s: %v %q, sent to %v", first, a.Outcome, a.Reason, sentTo)
		}
		sim.mu.Lock()
		sim.refusals = nil
		sim.mu.Unlock()
		a, sentTo = sim.sendStream("broken", failingReader{errors.New("the caller has gone")})
		if a.Outcome != request.NotRun || a.Reason != request.BodyIncomplete || len(sentTo) != 1 || sim.runs["broken"] != 0 {
			t.Errorf("without a byte of the body: %v %q, sent to %v, ran %d times", a.Outcome, a.Reason, sentTo, sim.runs["broken"])
		}
		sim.mu.Lock()
		sim.loseAnswerEvery = 1
		sim.mu.Unlock()
		a, sentTo = sim.sendStream("lost", strings.NewReader("body"))
		if a.Outcome != request.Unknown || len(sentTo) != 1 || sim.runs["lost"] != 1 {
			t.Errorf("answer lost: %v %q, sent to %v, ran %d times", a.Outcome, a.Reason, sentTo, sim.runs["lost"])
		}
	})
}

// Guards against a second send of a streamed body while the first one is silent.
func TestSilentStreamIsNotRepeated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sim := startSilentFleet(t, slowPath)
		defer sim.close()
		if a, sentTo := sim.sendStream("r", strings.NewReader("body")); a.Outcome != request.Done || len(sentTo) != 1 || sim.runs["r"] != 1 {
			t.Errorf("got %v %q, sent to %v, ran %d times", a.Outcome, a.Reason, sentTo, sim.runs["r"])
		}
	})
}

// lateReader is a body whose first byte arrives after a delay.
type lateReader struct {
	io.Reader
	delay time.Duration
}

func (r *lateReader) Read(p []byte) (int, error) {
	time.Sleep(r.delay)
	r.delay = 0
	return r.Reader.Read(p)
}

// Guards against a request that is sent to a backend server which has lost its key, or was replaced, while the first bytes of
// the body were awaited.
func TestStreamIsRefusedIfItsKeyMovesBeforeItsBodyArrives(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sim := startDirectFleet(t)
		defer sim.close()
		key := sim.ownedKey("k1", "f0")
		sim.mu.Lock()
		g := sim.instances["k1"].gateway
		sim.instances["k1"].server.draining = true
		sim.mu.Unlock()
		a := g.Route(context.Background(), routed.Request{ID: "late", Host: "h", Path: "/keyed/", Method: "POST", Keyed: true, Key: uint16(key),
			Deadline: time.Now().Add(10 * time.Second), Stream: routed.NewBodyStream(-1, &lateReader{strings.NewReader("body"), 5 * time.Second}, nil, func() {})})
		sim.mu.Lock()
		defer sim.mu.Unlock()
		if a.Outcome != request.NotRun || sim.misdirected != 0 || sim.runs["late"] != 0 {
			t.Errorf("got %v %q, sent to a backend server without the key %d times, ran %d times", a.Outcome, a.Reason, sim.misdirected, sim.runs["late"])
		}
	})
}
