package operator_test

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"reflect"
	"strings"
	"testing"
	"time"

	"go.uber.org/goleak"

	"heatherreel/internal/config"
	"heatherreel/internal/fake"
	"heatherreel/internal/ledger"
	"heatherreel/internal/operator"
	"heatherreel/internal/problem"
	"heatherreel/internal/worker"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// answers hold a value in the fields that encoding or decoding could lose.
var answers = fake.OperatorAnswers{
	Health: operator.Health{Reason: "joining"},
	Status: operator.Status{Incarnation: 7, Instance: "i-1", DataCentre: "west-a", Region: "emea-west", Service: "orders",
		Draining: true, Ledger: operator.Position{Offset: 40, Freshness: operator.FreshnessBehind, HighestKnown: 42}, Revision: 3,
		Lease: operator.Lease{State: operator.LeaseOwning, RemainingMS: 420, WitnessSetVersion: 9,
			Witnesses: []operator.Witness{{Incarnation: 8, AnswerAgeMS: 12, Marked: true}}},
		Members: []operator.Member{{Incarnation: 7, Instance: "i-1", Weight: 100, Slices: 256, TakenOut: true,
			Addresses: ledger.Addresses{Callers: "127.0.0.1:1"}}},
		Groups: []operator.Group{{Service: "orders", Home: []string{"emea-west"}, Version: 12, Slices: 256, Unowned: 1,
			Unsettled: 2, Owners: []operator.Share{{Owner: 7, Instance: "i-1", Slices: 255}}}}},
	Explanation: operator.Explanation{Service: "orders", Tenant: "alpha", Slice: 3, Slices: 256, Fence: 12,
		Owner: &operator.Member{Incarnation: 7}, Sources: []ledger.Incarnation{5},
		Settings: []config.Explanation{{Setting: "deadline", Value: "1s", Origin: config.FromException, Exception: "e", Reason: "r", Line: 4}}},
	Configuration: operator.Configuration{Current: &ledger.Revision{Revision: 3, Document: "regions: {}"},
		History: []ledger.Revision{{Revision: 1, Author: "ann"}}},
}

// startServer serves the answers, with one worker in the pool.
func startServer(t *testing.T) (*httptest.Server, *fake.OperatorSource, *worker.Pool) {
	t.Helper()
	source := fake.NewOperatorSource(answers)
	pool := worker.NewPool("operators", 1, 4)
	metrics := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.Write([]byte("a_metric 1\n")) })
	server := httptest.NewServer(operator.NewServer(source, pool, metrics).Handler)
	t.Cleanup(func() {
		server.Close()
		pool.Stop()
		http.DefaultClient.CloseIdleConnections()
		http.DefaultTransport.(*http.Transport).CloseIdleConnections()
	})
	return server, source, pool
}

// Guards against fields that are lost between the server of a node and the client.
func TestClientReadsWhatServerWrites(t *testing.T) {
	server, _, _ := startServer(t)
	client, ctx := operator.NewClient(server.URL), context.Background()
	status, err := client.Status(ctx)
	if err != nil || !reflect.DeepEqual(status, answers.Status) {
		t.Errorf("status: %v\n%+v", err, status)
	}
	explanation, err := client.Explain(ctx, operator.ExplainQuery{Service: "orders", Tenant: "alpha", Key: "a/b ?&"})
	if err != nil || !reflect.DeepEqual(explanation, answers.Explanation) {
		t.Errorf("explanation: %v\n%+v", err, explanation)
	}
	configuration, err := client.Configuration(ctx)
	if err != nil || !reflect.DeepEqual(configuration, answers.Configuration) {
		t.Errorf("configuration: %v\n%+v", err, configuration)
	}
}

// Guards against errors that reach the operator without their kind or remedy, and against showing the key in them.
func TestProblemsKeepKindAndRemedy(t *testing.T) {
	server, _, pool := startServer(t)
	client, ctx := operator.NewClient(server.URL), context.Background()
	_, err := client.Explain(ctx, operator.ExplainQuery{Service: "other", Key: "k"})
	if !errors.Is(err, problem.UnknownService) || !strings.Contains(problem.RemedyOf(err), "service of the configuration") {
		t.Errorf("unknown service: %v", err)
	}
	if _, err := client.Explain(ctx, operator.ExplainQuery{Service: "orders"}); !errors.Is(err, problem.Malformed) {
		t.Errorf("no key: %v", err)
	}
	pool.Stop()
	if _, err := client.Status(ctx); !errors.Is(err, problem.Unavailable) {
		t.Errorf("stopped pool: %v", err)
	}
	server.Close()
	if _, err := client.Explain(ctx, operator.ExplainQuery{Service: "orders", Key: "secret-key"}); !errors.Is(err, problem.Unavailable) ||
		strings.Contains(err.Error(), "secret-key") {
		t.Errorf("closed server: %v", err)
	}
}

// Guards against accepting the response of a server that is not a node.
func TestClientRejectsResponsesOfOtherServers(t *testing.T) {
	for _, code := range []int{http.StatusOK, http.StatusBadGateway} {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(code)
			w.Write([]byte("<html>"))
		}))
		if _, err := operator.NewClient(server.URL).Status(context.Background()); !errors.Is(err, problem.Malformed) {
			t.Errorf("status %d: %v", code, err)
		}
		http.DefaultTransport.(*http.Transport).CloseIdleConnections()
		server.Close()
	}
}

// Guards against a health check that reports a node as ready too early, and against a POST that is accepted although
// the interface is read-only.
func TestHealthMetricsAndMethods(t *testing.T) {
	server, source, _ := startServer(t)
	statusCode := func(method, path string) int {
		request, _ := http.NewRequest(method, server.URL+path, nil)
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			t.Fatal(err)
		}
		response.Body.Close()
		return response.StatusCode
	}
	if got := statusCode(http.MethodGet, "/healthz"); got != http.StatusServiceUnavailable {
		t.Errorf("not ready: %d", got)
	}
	source.Set(fake.OperatorAnswers{Health: operator.Health{Ready: true}})
	if got := statusCode(http.MethodGet, "/healthz"); got != http.StatusOK {
		t.Errorf("ready: %d", got)
	}
	if got := statusCode(http.MethodGet, "/metrics"); got != http.StatusOK {
		t.Errorf("metrics: %d", got)
	}
	if got := statusCode(http.MethodPost, "/v1/configuration"); got != http.StatusMethodNotAllowed {
		t.Errorf("post: %d", got)
	}
}

// Guards against a command that does not end with its timeout because the address is that of a server that switches
// protocols.
func TestSwitchedProtocolEndsRead(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		conn, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			t.Error(err)
			return
		}
		defer conn.Close()
		_, _ = io.WriteString(conn, "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: x\r\n\r\n")
		_, _ = io.Copy(io.Discard, conn)
	}))
	defer server.Close()
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	ended := make(chan error, 1)
	go func() {
		_, err := operator.NewClient(server.URL).Status(ctx)
		ended <- err
	}()
	select {
	case err := <-ended:
		if problem.KindOf(err) != problem.Malformed {
			t.Errorf("got error %v, want a malformed one", err)
		}
	case <-time.After(3 * time.Second):
		t.Error("the read has not ended 2 s after its timeout")
		server.CloseClientConnections()
	}
}
