package fake

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"slices"
	"testing"
	"time"

	"go.uber.org/goleak"

	"heatherreel/internal/backendserver"
	"heatherreel/internal/keyspace"
	"heatherreel/internal/ledger"
	"heatherreel/internal/problem"
	"heatherreel/internal/request"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

var testSlice = keyspace.SliceID{Group: keyspace.Group{Service: "s"}, Index: 1}

func startBackend(t *testing.T, o BackendOptions) (*BackendServer, *backendserver.Client) {
	t.Helper()
	o.Service, o.Incarnation, o.Connections, o.Weight = "s", "i", 10, 100
	o.Slots = max(o.Slots, 1)
	b := NewBackendServer(o)
	if err := b.Listen("127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	client := backendserver.NewClient(10, 1024)
	t.Cleanup(func() { client.Close(); b.Close() })
	return b, client
}

func postRequest(id string, timeout time.Duration) request.Request {
	return request.Request{Tenant: "t", Key: "k/1", ID: id, Method: "POST", Body: []byte("+"), Deadline: time.Now().Add(timeout)}
}

// Guards against a fault of the fake backend server that no longer has the effect that other tests rely on: the outcome
// that the node sees, and whether the request ran.
func TestBackendFaults(t *testing.T) {
	cases := []struct {
		name    string
		faults  BackendFaults
		outcome request.Outcome
		reason  request.Reason
		ran     int
	}{
		{"no faults", BackendFaults{}, request.Done, "", 1},
		{"reply dropped", BackendFaults{DropReplies: 1}, request.Unknown, request.ConnectionLost, 1},
		{"answer truncated", BackendFaults{TruncateReplies: 1}, request.Unknown, request.ConnectionLost, 1},
		{"silent", BackendFaults{Silent: true}, request.Unknown, request.DeadlineExceeded, 1},
		{"frozen", BackendFaults{Frozen: true}, request.Unknown, request.DeadlineExceeded, 0},
		{"cold, deadline passed", BackendFaults{ColdRequests: 1, ColdMS: 1000}, request.Unknown, request.DeadlineExceeded, 0},
		{"cold", BackendFaults{ColdRequests: 1, ColdMS: 1}, request.Done, "", 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			b, client := startBackend(t, BackendOptions{})
			b.SetFaults(c.faults)
			a := client.Execute(t.Context(), b.Address(), testSlice, 1, postRequest("a", 100*time.Millisecond))
			if a.Outcome != c.outcome || a.Reason != c.reason || b.Store().Executions("a") != c.ran {
				t.Errorf("answer %+v, ran %d times", a, b.Store().Executions("a"))
			}
			b.SetFaults(BackendFaults{})
			if a := client.Execute(t.Context(), b.Address(), testSlice, 1, postRequest("b", time.Second)); a.Outcome != request.Done {
				t.Errorf("after the faults were removed: %+v", a)
			}
		})
	}
}

// Guards against duplicate executions that the store does not report.
func TestStoreReportsDuplicates(t *testing.T) {
	b, client := startBackend(t, BackendOptions{})
	for range 2 {
		client.Execute(t.Context(), b.Address(), testSlice, 1, postRequest("a", time.Second))
	}
	client.Execute(t.Context(), b.Address(), testSlice, 1, postRequest("b", time.Second))
	if got := b.Store().Duplicates(); !slices.Equal(got, []string{"a"}) || b.Store().TotalExecutions() != 3 {
		t.Errorf("duplicates %v, total %d", got, b.Store().TotalExecutions())
	}
	if value, _ := b.Store().Value("t", "k/1"); string(value) != "+++" {
		t.Errorf("value %q, want +++", value)
	}
}

// Guards against a request that runs under an old fence, at the same backend server or at another with the same store.
func TestGrantsAreChecked(t *testing.T) {
	store := NewBackendStore()
	old, client := startBackend(t, BackendOptions{ChecksGrants: true, Store: store})
	next, _ := startBackend(t, BackendOptions{ChecksGrants: true, Store: store})
	execute := func(b *BackendServer, fence ledger.Offset) request.Answer {
		return client.Execute(t.Context(), b.Address(), testSlice, fence, postRequest("", time.Second))
	}
	grant := func(b *BackendServer, fence ledger.Offset) {
		if err := client.Grant(t.Context(), b.Address(), grantsForTestSlice(fence, time.Minute)); err != nil {
			t.Fatal(err)
		}
	}
	if a := execute(old, 5); a.Reason != request.BackendRefused {
		t.Errorf("without grant: %+v", a)
	}
	grant(old, 5)
	if a := execute(old, 5); a.Outcome != request.Done {
		t.Errorf("with grant: %+v", a)
	}
	grant(next, 6)
	if a := execute(next, 6); a.Outcome != request.Done {
		t.Errorf("new owner: %+v", a)
	}
	if a := execute(old, 5); a.Reason != request.BackendRefused {
		t.Errorf("old owner: %+v", a)
	}
	grant(next, 4)
	if a := execute(next, 4); a.Reason != request.BackendRefused {
		t.Errorf("grant with a lower fence: %+v", a)
	}
}

// Guards against a request that runs for a node whose lease has expired.
func TestExpiredGrantIsRefused(t *testing.T) {
	b, client := startBackend(t, BackendOptions{ChecksGrants: true})
	if err := client.Grant(t.Context(), b.Address(), grantsForTestSlice(5, -time.Millisecond)); err != nil {
		t.Fatal(err)
	}
	if a := client.Execute(t.Context(), b.Address(), testSlice, 5, postRequest("", time.Second)); a.Reason != request.BackendRefused {
		t.Errorf("expired grant: %+v", a)
	}
}

// Guards against a fake backend server that runs more requests than it has slots, or loses queued requests.
func TestSlots(t *testing.T) {
	b, client := startBackend(t, BackendOptions{Slots: 1, ServiceTime: 50 * time.Millisecond})
	run := func() (answers []request.Answer) {
		results := make(chan request.Answer, 3)
		for range 3 {
			go func() {
				results <- client.Execute(context.Background(), b.Address(), testSlice, 1, postRequest("", 5*time.Second))
			}()
		}
		for range 3 {
			answers = append(answers, <-results)
		}
		return answers
	}
	for _, a := range run() {
		if a.Outcome != request.Done {
			t.Errorf("queued request: %+v", a)
		}
	}
	b.SetFaults(BackendFaults{ShedsLoad: true})
	refused := 0
	for _, a := range run() {
		if a.Outcome == request.NotRun && a.Reason == request.QueueFull {
			refused++
		}
	}
	if refused == 0 {
		t.Error("no request was refused while all slots were occupied")
	}
}

// Guards against a fake backend server that warms up under a load that it cannot sustain while cold. A test of
// concurrency limits would then pass without them.
func TestOverloadedColdServerStaysCold(t *testing.T) {
	b := NewBackendServer(BackendOptions{Slots: 9})
	b.SetFaults(BackendFaults{ColdRequests: 2, ColdMS: 10, ColdSlots: 3})
	for _, c := range []struct {
		running, slower int64
	}{{9, 90}, {6, 40}, {3, 10}, {9, 90}, {1, 10}, {9, 0}} {
		b.running.Store(c.running)
		if got := b.coldDelay().Milliseconds(); got != c.slower {
			t.Errorf("%d running: %d ms slower, want %d", c.running, got, c.slower)
		}
	}
}

// Guards against health and load that ignore the values set as faults, and against health that reports a cold server as
// warm.
func TestHealthAndLoad(t *testing.T) {
	b, client := startBackend(t, BackendOptions{Slots: 7})
	b.SetFaults(BackendFaults{ColdRequests: 1})
	if h, err := client.Health(t.Context(), b.Address()); err != nil || h.Warm || !h.Healthy {
		t.Errorf("health %+v, error %v", h, err)
	}
	b.SetFaults(BackendFaults{Health: &backendserver.Health{Warm: true}, Load: &backendserver.Load{Running: 9}})
	if h, err := client.Health(t.Context(), b.Address()); err != nil || !h.Warm || h.Healthy {
		t.Errorf("health %+v, error %v", h, err)
	}
	if l, err := client.Load(t.Context(), b.Address()); err != nil || l.Running != 9 {
		t.Errorf("load %+v, error %v", l, err)
	}
	if err := client.Drain(t.Context(), b.Address()); err != nil || !b.NodeStopping() {
		t.Errorf("drain error %v, node stopping %v", err, b.NodeStopping())
	}
}

// Guards against a recorder that does not find bytes that were received.
func TestRecorder(t *testing.T) {
	recorder := NewRecorder(1 << 16)
	b, client := startBackend(t, BackendOptions{ReceivedBytes: recorder})
	r := postRequest("a", time.Second)
	r.Body = []byte("secret")
	client.Execute(t.Context(), b.Address(), testSlice, 1, r)
	if !recorder.Contains([]byte("secret")) || !recorder.Contains([]byte("k%2F1")) || recorder.Contains([]byte("other")) {
		t.Error("the recorder does not contain the bytes that were sent")
	}
}

// announcementChannel sends the announcements that it receives to a channel.
type announcementChannel chan backendserver.Announcement

func (c announcementChannel) Announce(_ context.Context, a backendserver.Announcement) error {
	c <- a
	return nil
}

// Guards against an announcer that stops announcing, does not announce the drain, or does not report a refused
// announcement.
func TestAnnouncer(t *testing.T) {
	announcements := make(announcementChannel, 100)
	node := httptest.NewServer(backendserver.NewHandler(announcements))
	defer node.Close()
	b, _ := startBackend(t, BackendOptions{})
	a := NewAnnouncer(b, node.Listener.Addr().String(), 10*time.Millisecond, func(err error) { t.Error(err) })
	defer a.Stop()
	if got := <-announcements; got.Address != b.Address() || got.Draining {
		t.Errorf("announcement %+v", got)
	}
	b.SetDraining(true)
	for !(<-announcements).Draining {
	}
	refusing := httptest.NewServer(http.NotFoundHandler())
	defer refusing.Close()
	failures := make(chan error, 100)
	other := NewAnnouncer(b, refusing.Listener.Addr().String(), time.Hour, func(err error) { failures <- err })
	defer other.Stop()
	if err := <-failures; !errors.Is(err, problem.Invalid) {
		t.Errorf("error %v, want invalid", err)
	}
}

// grantsForTestSlice returns a grant of testSlice that expires after validFor.
func grantsForTestSlice(fence ledger.Offset, validFor time.Duration) backendserver.Grants {
	slices := []ledger.SliceFence{{Slice: testSlice, Fence: fence}}
	return backendserver.Grants{Slices: slices, ValidUntilUnixMS: time.Now().Add(validFor).UnixMilli()}
}
