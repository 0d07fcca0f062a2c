package daemon

import (
	"context"
	"net/http/httptest"
	"net/netip"
	"net/url"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/rs/zerolog"

	"heatherreel/internal/caller"
	"heatherreel/internal/fake"
	"heatherreel/internal/ledger"
	"heatherreel/internal/node"
	"heatherreel/internal/operator"
	"heatherreel/internal/request"
	"heatherreel/internal/settings"
)

// testSlices is the number of slices in testConfiguration.
const testSlices = 4

// testConfiguration is the configuration of the node of a test.
const testConfiguration = `regions:
  emea-west: {data_centres: [west-a]}
services: [orders]
tenants: [t]
defaults:
  home_regions: any
  deadline: 2s
  max_deadline: 30s
  slices: 4
  concurrency_limit: 1
  max_body: 16MiB
`

// ownerNode is a running node that owns slices, with its backend server and a caller.
type ownerNode struct {
	*daemon
	stopServing context.CancelFunc
	log         *logBuffer
	backend     *fake.BackendServer
	client      *caller.Client
}

// startLog starts a log with testConfiguration and returns its URL.
func startLog(t *testing.T) *url.URL {
	t.Helper()
	log := fake.NewLog()
	server := httptest.NewServer(fake.NewLogHandler(log))
	t.Cleanup(server.Close)
	logURL, err := url.Parse(server.URL)
	if err != nil {
		t.Fatal(err)
	}
	record := &ledger.Record{Kind: ledger.KindConfiguration, ID: "c", Configuration: &ledger.Configuration{Document: testConfiguration, Author: "test"}}
	if _, err := log.Append(t.Context(), record); err != nil {
		t.Fatal(err)
	}
	return logURL
}

// startOwnerNode starts a node with a backend server and waits until it owns slices.
func startOwnerNode(t *testing.T, instance string, logURL *url.URL, shutdownTimeout time.Duration, o fake.BackendOptions) *ownerNode {
	t.Helper()
	n := &ownerNode{log: &logBuffer{}, client: caller.NewClient(4)}
	t.Cleanup(n.client.Close)
	var err error
	n.daemon, err = build(settings.Settings{
		Instance: instance, DataCentre: "west-a", Region: "emea-west", Address: netip.MustParseAddr("127.0.0.1"),
		CallersAddress: unusedAddress(t), NodesAddress: unusedAddress(t), LeasesAddress: unusedAddress(t),
		BackendAddress: unusedAddress(t), OperatorsAddress: unusedAddress(t),
		LogURL: logURL, LogStream: settings.DefaultLogStream, LogRetention: settings.DefaultLogRetention,
		Ingress:       settings.PoolSize{Workers: 16, Queue: 64},
		Owner:         settings.PoolSize{Workers: 16, Queue: 64},
		Lease:         settings.PoolSize{Workers: settings.DefaultLeaseWorkers, Queue: settings.DefaultLeaseQueue},
		Ledger:        settings.PoolSize{Workers: settings.DefaultLedgerWorkers, Queue: settings.DefaultLedgerQueue},
		RequestIDSkew: settings.DefaultRequestIDSkew, ShutdownTimeout: shutdownTimeout,
		LogLevel: zerolog.InfoLevel, TraceOutput: settings.TraceNone,
	}, n.log)
	if err != nil {
		t.Fatal(err)
	}
	ctx, stopServing := context.WithCancel(context.Background())
	n.stopServing = stopServing
	if err := n.listen(ctx); err != nil {
		t.Fatal(err)
	}
	n.engine.Start()
	o.Service, o.Incarnation, o.Slots, o.Connections, o.Weight = "orders", "1", 4, 64, 100
	n.backend = fake.NewBackendServer(o)
	if err := n.backend.Listen("127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(n.backend.Close)
	announcer := fake.NewAnnouncer(n.backend, n.settings.BackendAddress.String(), fake.AnnounceInterval/10, nil)
	t.Cleanup(announcer.Stop)
	await(t, "the node to own slices", func() bool {
		status := n.engine.Status()
		if len(status.Groups) != 1 || status.Groups[0].Unowned > 0 || status.Groups[0].Unsettled > 0 {
			return false
		}
		return slices.ContainsFunc(status.Groups[0].Owners, func(s operator.Share) bool { return s.Instance == instance })
	})
	return n
}

// await waits until the condition holds.
func await(t *testing.T, what string, condition func() bool) {
	t.Helper()
	ticker := time.NewTicker(5 * time.Millisecond)
	defer ticker.Stop()
	timeout := time.After(15 * time.Second)
	for !condition() {
		select {
		case <-ticker.C:
		case <-timeout:
			t.Fatalf("waited 15 s for %s", what)
		}
	}
}

// callerResult is what a caller received.
type callerResult struct {
	answer request.Answer
	err    error
}

// send sends a request of a caller, idempotent for the method GET, and returns its result later.
func (n *ownerNode) send(method, key string, timeout time.Duration) <-chan callerResult {
	results := make(chan callerResult, 1)
	go func() {
		answer, err := n.client.Do(context.Background(), n.settings.CallersAddress.String(), request.Request{
			Service: "orders", Tenant: "t", Key: key, ID: uuid.Must(uuid.NewV7()).String(), Method: method,
			Idempotent: method == "GET", Deadline: time.Now().Add(timeout),
		})
		results <- callerResult{answer, err}
	}()
	return results
}

// awaitRunning waits until the backend server works on a request.
func (n *ownerNode) awaitRunning(t *testing.T) {
	t.Helper()
	await(t, "a request to reach the backend server", func() bool { return n.backend.Running() > 0 })
}

// Guards against a caller whose connection is closed without an answer because the shutdown timeout of the node ends
// while its request runs or waits.
func TestCallersAreAnsweredBeforeShutdownTimeout(t *testing.T) {
	t.Parallel()
	const shutdownTimeout = 1500 * time.Millisecond
	n := startOwnerNode(t, "i-1", startLog(t), shutdownTimeout, fake.BackendOptions{ServiceTime: 10 * time.Second})
	running := n.send("PUT", "a", 8*time.Second)
	n.awaitRunning(t)
	// The concurrency limit is 1, so that these requests wait.
	waitingWrite, waitingRead := n.send("PUT", "b", 25*time.Second), n.send("GET", "c", 25*time.Second)
	began := time.Now()
	if n.drain() {
		t.Error("the node reports that no request was in progress")
	}
	if took := time.Since(began); took > shutdownTimeout+200*time.Millisecond {
		t.Errorf("the stop took %v, want at most %v", took, shutdownTimeout)
	}
	n.close(n.stopServing)
	if got := <-running; got.err != nil || got.answer.Outcome != request.Unknown {
		t.Errorf("running request: got %v %q, error %v; want an answer with an unknown outcome", got.answer.Outcome, got.answer.Reason, got.err)
	}
	if got := <-waitingWrite; got.err != nil {
		t.Errorf("waiting write: got %v %q, error %v; want an answer", got.answer.Outcome, got.answer.Reason, got.err)
	}
	if got := <-waitingRead; got.err != nil || got.answer.Outcome != request.NotRun {
		t.Errorf("waiting read: got %v %q, error %v; want a refusal", got.answer.Outcome, got.answer.Reason, got.err)
	}
}

// Guards against an answer to another node that is lost because it takes longer to write than a node that has left waits
// for requests.
func TestStopAwaitsAnswerToAnotherNode(t *testing.T) {
	t.Parallel()
	const delay = 4 * time.Second
	logURL := startLog(t)
	stopping := startOwnerNode(t, "i-1", logURL, 20*time.Second, fake.BackendOptions{})
	next := startOwnerNode(t, "i-2", logURL, time.Second, fake.BackendOptions{})
	defer next.close(next.stopServing)
	// Otherwise the slice of the key could move before the request arrives.
	await(t, "the slices to be spread", func() bool {
		return !slices.ContainsFunc(stopping.engine.Status().Groups[0].Owners, func(s operator.Share) bool { return s.Slices != testSlices/2 })
	})
	relay, err := fake.NewRelay(stopping.settings.NodesAddress.String())
	if err != nil {
		t.Fatal(err)
	}
	defer relay.Close()
	relay.Delay(0, delay)
	// The backend server answers with the body, which fills the buffers of the connection, so that writing it blocks.
	body := make([]byte, 15<<20)
	results := make(chan callerResult, 1)
	go func() {
		client := node.NewClient()
		defer client.Close()
		answer, err := client.Forward(context.Background(), relay.Address(), node.ForwardedRequest{Request: request.Request{
			Service: "orders", Tenant: "t", Key: stopping.ownedKey(t), ID: uuid.Must(uuid.NewV7()).String(), Method: "PUT",
			Deadline: time.Now().Add(15 * time.Second), Body: body,
		}})
		results <- callerResult{answer, err}
	}()
	await(t, "the request to run", func() bool { return stopping.backend.Store().TotalExecutions() > 0 })
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		if !stopping.drain() {
			t.Error("the stop did not await the answer")
		}
		stopping.close(stopping.stopServing)
	}()
	await(t, "the node to leave", func() bool { return stopping.log.countEvents("left") > 0 })
	<-time.After(lingerTime + 300*time.Millisecond)
	relay.EndDelay()
	if got := <-results; got.err != nil || got.answer.Outcome != request.Done || len(got.answer.Body) != len(body) {
		t.Errorf("got %v %q with %d bytes, error %v; want the answer of the backend server with %d bytes",
			got.answer.Outcome, got.answer.Reason, len(got.answer.Body), got.err, len(body))
	}
	<-ended
}

// ownedKey returns a key that the node owns.
func (n *ownerNode) ownedKey(t *testing.T) string {
	t.Helper()
	for i := range 1000 {
		key := strconv.Itoa(i)
		explanation, err := n.engine.Explain(operator.ExplainQuery{Service: "orders", Tenant: "t", Key: key})
		if err == nil && explanation.Owner != nil && explanation.Owner.Instance == n.settings.Instance {
			return key
		}
	}
	t.Error("the node owns no key")
	return ""
}
