package main

import (
	"context"
	"fmt"
	"net/http/httptest"
	"os"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
	"github.com/spf13/cobra"
	"github.com/spf13/pflag"

	"heatherreel/internal/config"
	"heatherreel/internal/fake"
	"heatherreel/internal/keyspace"
	"heatherreel/internal/ledger"
	"heatherreel/internal/operator"
	"heatherreel/internal/platformlog"
	"heatherreel/internal/problem"
	"heatherreel/internal/worker"
)

// fakeLogKey is the key in testscript.Env.Values under which a script's fake log is stored.
type fakeLogKey struct{}

// Guards against an exit code, output or effect on the log that differs from the documented one, above all after
// conflicts and lost replies of the log.
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: "testdata/script",
		Setup: func(e *testscript.Env) error {
			e.Values[fakeLogKey{}] = fake.NewLog()
			e.Setenv("HEATHERREEL_LOG", "fake")
			e.Setenv("HEATHERREEL_AUTHOR", "ann")
			e.Setenv("HEATHERREEL_NODE", startOperatorServer(e))
			return nil
		},
		Cmds: map[string]func(*testscript.TestScript, bool, []string){"exits": runAndCheckExitCode, "log": controlLog},
	})
}

// runAndCheckExitCode implements the script command "exits CODE ARGUMENT...": it runs the tool in this process and
// requires the exit code.
func runAndCheckExitCode(ts *testscript.TestScript, _ bool, args []string) {
	log := ts.Value(fakeLogKey{}).(*fake.Log)
	t := &tool{
		stdout: ts.Stdout(), stderr: ts.Stderr(), getenv: ts.Getenv,
		readFile: func(path string) ([]byte, error) { return os.ReadFile(ts.MkAbs(path)) },
		openLog:  func(string, string) (platformlog.Log, error) { return log, nil },
	}
	if got := fmt.Sprint(int(t.run(context.Background(), args[1:]))); got != args[0] {
		ts.Fatalf("exit code %s, want %s", got, args[0])
	}
}

// controlLog implements the script command "log": it appends records to the fake log, injects faults into it, or
// requires its number of records.
func controlLog(ts *testscript.TestScript, _ bool, args []string) {
	log := ts.Value(fakeLogKey{}).(*fake.Log)
	switch args[0] {
	case "rival":
		base, err := strconv.ParseUint(args[1], 10, 64)
		ts.Check(err)
		ts.Check(log.InsertBeforeNextAppend(&ledger.Record{Kind: ledger.KindConfiguration, ID: "rival",
			Configuration: &ledger.Configuration{
				Base: ledger.Offset(base), Document: ts.ReadFile(args[2]), Author: "bob", Note: "take west-a out"}}))
	case "assign":
		_, err := log.Append(context.Background(), &ledger.Record{Kind: ledger.KindAssign, ID: "assign",
			Assign: &ledger.Assign{Group: keyspace.Group{Service: args[1]}, Count: 256}})
		ts.Check(err)
	case "lose-reply":
		log.FailNextAppends(fake.LoseReply)
	case "lose-request":
		log.FailNextAppends(fake.LoseRequest)
	case "refuse":
		log.FailNextAppends(fake.RefuseConnection)
	case "down":
		log.SetFaults(fake.LogFaults{Down: true})
	case "up":
		log.SetFaults(fake.LogFaults{})
	case "holds":
		if got := fmt.Sprint(log.Len()); got != args[1] {
			ts.Fatalf("the log holds %s records, want %s", got, args[1])
		}
	default:
		ts.Fatalf("unknown log command %s", args[0])
	}
}

// startOperatorServer starts the HTTP server for operators with fixed answers and returns its URL.
func startOperatorServer(e *testscript.Env) string {
	member := operator.Member{Incarnation: 7, Instance: "i-1", DataCentre: "west-a", Region: "emea-west", Service: "orders",
		Weight: 100, Slices: 255, Addresses: ledger.Addresses{Callers: "127.0.0.1:8080"}}
	position := operator.Position{Offset: 40, Freshness: operator.FreshnessBehind, HighestKnown: 42}
	source := fake.NewOperatorSource(fake.OperatorAnswers{
		Status: operator.Status{Incarnation: 7, Instance: "i-1", DataCentre: "west-a", Region: "emea-west", Service: "orders",
			Ledger: position, Revision: 30, Lease: operator.Lease{State: operator.LeaseOwning, RemainingMS: 420},
			Members: []operator.Member{member},
			Groups: []operator.Group{{Service: "orders", Home: []string{"emea-west"}, Version: 12, Slices: 256, Unowned: 1,
				Owners: []operator.Share{{Owner: 7, Instance: "i-1", Slices: 255}}}, {Service: "history", Slices: 16, Unowned: 16}}},
		Explanation: operator.Explanation{Service: "orders", Ledger: position, Revision: 30, Home: []string{"emea-west"},
			Slice: 3, Slices: 256, Owner: &member, Fence: 12, Sources: []ledger.Incarnation{5},
			Settings: []config.Explanation{{Setting: "deadline", Value: "250ms", Origin: config.FromDefaults},
				{Setting: "home_regions", Value: "[emea-west]", Origin: config.FromException, Exception: "alpha-at-home",
					Reason: "contract 12", Match: "tenant=alpha", Line: 11}}},
		Configuration: operator.Configuration{
			Current: &ledger.Revision{Revision: 30, Base: 20, Author: "bob", Note: "second",
				Document: "regions: {emea-west: {data_centres: [west-a]}}\nservices: [orders]\ndefaults: {home_regions: any}\n"},
			History: []ledger.Revision{{Revision: 20, Author: "ann", Note: "first"}}},
	})
	pool := worker.NewPool("operators", 1, 4)
	server := httptest.NewServer(operator.NewServer(source, pool, nil).Handler)
	e.Defer(func() {
		server.Close()
		pool.Stop()
	})
	return server.URL
}

// documentedRows returns the table rows in the section of docs/heatherreelctl.md whose first cell is formatted as code.
func documentedRows(t *testing.T, section string) []string {
	t.Helper()
	page, err := os.ReadFile("../../docs/heatherreelctl.md")
	if err != nil {
		t.Fatal(err)
	}
	_, rest, found := strings.Cut(string(page), "\n## "+section+"\n")
	if !found {
		t.Fatalf("the page has no section %q", section)
	}
	rest, _, _ = strings.Cut(rest, "\n## ")
	return regexp.MustCompile("(?m)^\\| `.*$").FindAllString(rest, -1)
}

// requireSameRows requires that got and want hold the same rows, in any order. It sorts both.
func requireSameRows(t *testing.T, got, want []string) {
	t.Helper()
	slices.Sort(got)
	slices.Sort(want)
	if !slices.Equal(got, want) {
		t.Errorf("the page has\n%s\nwant\n%s", strings.Join(got, "\n"), strings.Join(want, "\n"))
	}
}

// Guards against exit codes that differ from the documented ones, on which scripts of operators rely.
func TestExitCodesMatchDocs(t *testing.T) {
	var want []string
	for _, e := range exitCodes {
		want = append(want, fmt.Sprintf("| `%d` | %s | %s |", e.code, e.name, e.meaning))
	}
	requireSameRows(t, documentedRows(t, "Exit codes"), want)
}

// Guards against commands and flags that are missing in the documentation, and documented ones that do not exist.
func TestCommandsAndFlagsMatchDocs(t *testing.T) {
	root := (&tool{}).rootCommand()
	var commandRows, flagRows []string
	describe := func(c *cobra.Command, scope string) func(*pflag.Flag) {
		return func(f *pflag.Flag) {
			text, _, _ := strings.Cut(f.Usage, " [")
			defaultValue := f.DefValue
			if f.Name == "author" {
				defaultValue = "the current user"
			}
			flagRows = append(flagRows, fmt.Sprintf("| `--%s` | %s | `%s` | %s | %s |", f.Name, scope, envName(f.Name), orDash(defaultValue), text))
		}
	}
	root.PersistentFlags().VisitAll(describe(root, "all"))
	for _, c := range root.Commands() {
		commandRows = append(commandRows, fmt.Sprintf("| `%s` | %s |", c.Use, c.Short))
		c.LocalNonPersistentFlags().VisitAll(describe(c, c.Name()))
		for _, sub := range c.Commands() {
			commandRows = append(commandRows, fmt.Sprintf("| `%s %s` | %s |", c.Name(), sub.Use, sub.Short))
			sub.LocalNonPersistentFlags().VisitAll(describe(sub, c.Name()+" "+sub.Name()))
		}
	}
	requireSameRows(t, documentedRows(t, "Commands"), commandRows)
	requireSameRows(t, documentedRows(t, "Flags"), flagRows)
}

// largeRecordsLog is a log of which a page may have at most two records, as they are large.
type largeRecordsLog struct{ *fake.Log }

func (l largeRecordsLog) Read(ctx context.Context, from ledger.Offset, max int, wait time.Duration) (platformlog.Page, error) {
	page, err := l.Log.Read(ctx, from, max, wait)
	if err == nil && len(page.Entries) > 2 {
		return platformlog.Page{}, problem.New(problem.TooLarge, "read fewer records at once", "the page is too large")
	}
	return page, err
}

// Guards against a log that cannot be read, and so no configuration that can be published, because its records are too
// large for one reply.
func TestLargePageIsReadInParts(t *testing.T) {
	log := largeRecordsLog{fake.NewLog()}
	for range 7 {
		if _, err := log.Append(t.Context(), &ledger.Record{Kind: ledger.KindLeave, ID: "r", Leave: &ledger.Leave{Incarnation: 7}}); err != nil {
			t.Fatal(err)
		}
	}
	if _, next, err := replayLog(t.Context(), log, 100); err != nil || next != 8 {
		t.Errorf("the next offset is %d, error %v; want 8", next, err)
	}
}
