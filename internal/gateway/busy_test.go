package gateway

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"heatherreel/internal/admission"
	"heatherreel/internal/request"
)

// Guards against requests that wait at a backend server whose slots are all taken, while another one of the region has free
// slots. The nodes that send them have no report of either.
func TestBusyServerDivertsRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sim := startOneRegion(t, 2, 8)
		defer sim.close()
		sim.setServiceTime("f0", 400*time.Millisecond)
		busy := sim.instances["f0"].gateway
		busy.server.mu.Lock()
		now := time.Now()
		measured := busy.server.queue.Offer(now, admission.Job{Deadline: now.Add(time.Minute)})
		busy.server.queue.Release(now.Add(400*time.Millisecond), measured.Ticket, true)
		for range 16 {
			busy.server.queue.Offer(now, admission.Job{Deadline: now.Add(900 * time.Millisecond)})
		}
		busy.server.mu.Unlock()
		// The jobs that wait at f0 expire after 500 ms.
		for i := range 4 {
			started := time.Now()
			a := sim.sendRequest(fmt.Sprintf("k%d", i), fmt.Sprintf("r-%d", i), "/free/", -1, time.Second)
			if a.Outcome != request.Done || a.Instance != "f1" {
				t.Errorf("request %d: %v %q by %s after %v", i, a.Outcome, a.Reason, a.Instance, time.Since(started))
			}
		}
	})
}
