package pipeline

import (
	"net/http"
	"testing"

	"heatherreel/internal/intake"
)

// Guards against memory of expected answers that stays accounted for once they are known, and against small answers that take
// memory of others.
func TestExpectedAnswersAreCountedUntilWritten(t *testing.T) {
	limits := intake.Sizes{MemoryMB: 184, RequestMemoryMB: 1}.Limits()
	const small, large = intake.LargeAnswer - 1, 400_000
	reserved, release := make(chan bool), make(chan struct{})
	address, g, kinds := startGoverned(t, func(w http.ResponseWriter, req *http.Request) {
		size := int64(large)
		if req.URL.Path == "/small" {
			size = small
		}
		granted := w.(interface{ ReserveAnswer(int64) bool }).ReserveAnswer(size)
		reserved <- granted
		if !granted {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		<-release
	}, limits)
	var clients []*testClient
	ask := func(path string) bool {
		c := dial(t, address)
		c.send(t, "GET "+path)
		clients = append(clients, c)
		return <-reserved
	}
	for i, c := range []struct {
		path string
		fits bool
	}{{"/large", true}, {"/large", true}, {"/large", false}, {"/small", true}} {
		if got := ask(c.path); got != c.fits {
			t.Errorf("answer %d, %s: fits %v, want %v", i, c.path, got, c.fits)
		}
	}
	if used, _ := g.Used(); used < 2*large || used > limits.Bytes || kinds.get(intake.Memory) != 1 {
		t.Errorf("%d bytes of %d in use, %d refused", used, limits.Bytes, kinds.get(intake.Memory))
	}
	close(release)
	for i, c := range clients {
		status := http.StatusOK
		if i == 2 {
			status = http.StatusServiceUnavailable
		}
		c.expect(t, status, "", false)
	}
	awaitCondition(t, "the memory to be returned", func() bool { used, _ := g.Used(); return used == 0 })
}
