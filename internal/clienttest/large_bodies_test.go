package clienttest

import (
	"fmt"
	"hash/crc32"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"heatherreel/internal/registry"
)

const (
	// largestBody is the limit of a request body in the reference configuration, and largeBody the size that must be served.
	largestBody = 64 << 20
	largeBody   = 60 << 20
	// largeBodies is the number of clients that send such bodies at the same time.
	largeBodies = 200
)

// startPair starts two gateways: callers send to the first, whose requests the backend server of the second one executes.
func startPair(t *testing.T) (ingress, owner *gatewayProcess) {
	t.Helper()
	a, b := freeAddresses(t), freeAddresses(t)
	backend := startBackend(t, b.heartbeats)
	members := []registry.Member{{Instance: "i-2", Incarnation: 1, Address: b.nodes, DataCentre: "west-a", Region: "emea-west",
		Service: "orders", Server: registry.Server{ID: "s-1", Slots: 64, Ready: true}}}
	owner = startProcess(t, b, writeSettings(t, b, "i-2", "orders", backend, startStore(t, configuration(largestBody))))
	if err := owner.awaitAnswer(startLimit); err != nil {
		t.Fatalf("the executing gateway does not serve: %v", err)
	}
	ingress = startProcess(t, a, writeSettings(t, a, "i-1", "front", "127.0.0.1:1", startStore(t, configuration(largestBody), members...)))
	if err := ingress.awaitAnswer(startLimit); err != nil {
		t.Fatalf("the first gateway does not serve through the second one: %v", err)
	}
	return ingress, owner
}

// checkPeak checks the memory that a process has used at most.
func (p *gatewayProcess) checkPeak(t *testing.T, name string) {
	t.Helper()
	_, peak, err := p.memory()
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("%s: memory %.1f MB at most", name, float64(peak)/(1<<20))
	if peak > memoryMB<<20 {
		t.Errorf("%s used %.1f MB, limit %d", name, float64(peak)/(1<<20), memoryMB)
	}
}

// Guards against a body of 60 MiB that is refused in calm conditions, that arrives with other bytes, or that the processes on
// its way hold in memory.
func TestLargestBodyThroughTwoNodes(t *testing.T) {
	ingress, owner := startPair(t)
	body := strings.Repeat("0123456789abcdef<>", largeBody/18+1)[:largeBody]
	sum := strconv.Itoa(int(crc32.ChecksumIEEE([]byte(body))))
	client := &http.Client{Timeout: 30 * time.Second, Transport: &http.Transport{}}
	for _, length := range []int64{largeBody, -1} {
		req, err := http.NewRequest(http.MethodPost, "http://"+ingress.callers+"/a", io.NopCloser(strings.NewReader(body)))
		if err != nil {
			t.Fatal(err)
		}
		req.Host, req.ContentLength = routeHost, length
		req.Header.Set("Heatherreel-Request-Id", fmt.Sprint("large", length))
		req.Header.Set("Heatherreel-Deadline-Ms", "30000")
		began := time.Now()
		resp, err := client.Do(req)
		if err != nil {
			t.Fatalf("length %d: %v", length, err)
		}
		_ = resp.Body.Close()
		t.Logf("length %d: status %d after %v", length, resp.StatusCode, time.Since(began))
		if got := resp.Header.Get(bodySum); resp.StatusCode != http.StatusOK || got != sum {
			t.Errorf("length %d: status %d (%s), checksum %s, sent %s", length, resp.StatusCode, resp.Header.Get("Heatherreel-Reason"), got, sum)
		}
	}
	client.CloseIdleConnections()
	ingress.checkPeak(t, "ingress")
	owner.checkPeak(t, "owner")
}

// Guards against processes that exceed their memory because many clients send the largest bodies at the same time, and against
// serving none of them then.
func TestManyLargestBodies(t *testing.T) {
	ingress, owner := startPair(t)
	g := target{method: "POST", host: routeHost, path: "/a"}
	piece := strings.Repeat("x", 64<<10)
	statuses := checkCrowdAt(t, ingress, ingress, ingress.callers, largeBodies, func(i int) clientScript {
		if i%2 == 0 {
			return clientScript{sends: append([]string{g.head(i, contentLength(largeBody))}, slices.Repeat([]string{piece}, largeBody/len(piece))...)}
		}
		pieces := slices.Repeat([]string{chunk(len(piece))}, largeBody/len(piece))
		return clientScript{sends: append(append([]string{g.head(i, chunked)}, pieces...), "0\r\n\r\n")}
	})
	owner.checkPeak(t, "owner")
	t.Logf("clients by the status of their answer: %v", statuses)
	if statuses["200"] == 0 {
		t.Errorf("none of %d bodies was served: %v", largeBodies, statuses)
	}
	if !owner.isAlive() {
		t.Errorf("the owner has ended: %v", owner.command.ProcessState)
	}
}
