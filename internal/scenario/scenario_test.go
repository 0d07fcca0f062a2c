package scenario

import (
	"errors"
	"fmt"
	"os"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"heatherreel/internal/request"
)

// fakeEnvironment records the calls that it receives and reports what the test sets.
type fakeEnvironment struct {
	calls       []string
	ownership   func(elapsed time.Duration) Ownership
	servedAfter time.Duration
	report      Report
	ran         int
	twice       []string
	start       time.Time
}

// newFakeEnvironment returns an environment in which all expectations hold.
func newFakeEnvironment() *fakeEnvironment {
	return &fakeEnvironment{
		start:     time.Now(),
		ownership: func(time.Duration) Ownership { return Ownership{Owners: 1, Slices: 4} },
		report:    Report{Sent: 1000, Done: 1000},
		ran:       5,
	}
}

func (e *fakeEnvironment) record(format string, args ...any) error {
	e.calls = append(e.calls, fmt.Sprintf(format, args...))
	return nil
}

func (e *fakeEnvironment) Start(n Node) error {
	return e.record("start %s %s %s", n.Name, n.DataCentre, n.Service)
}
func (e *fakeEnvironment) Stop(n string) error    { return e.record("stop %s", n) }
func (e *fakeEnvironment) Kill(n string) error    { return e.record("kill %s", n) }
func (e *fakeEnvironment) Pause(n string) error   { return e.record("pause %s", n) }
func (e *fakeEnvironment) Resume(n string) error  { return e.record("resume %s", n) }
func (e *fakeEnvironment) Cut(a, b string) error  { return e.record("cut %s %s", a, b) }
func (e *fakeEnvironment) Heal(a, b string) error { return e.record("heal %s %s", a, b) }
func (e *fakeEnvironment) SetLog(s LogState, d time.Duration) error {
	return e.record("log %d %s", s, d)
}
func (e *fakeEnvironment) LoseReplies(n int) error { return e.record("lose %d", n) }
func (e *fakeEnvironment) TruncateLog(n int) error { return e.record("forget %d", n) }
func (e *fakeEnvironment) SetBackend(n string, s BackendState) error {
	return e.record("backend %s %d", n, s)
}
func (e *fakeEnvironment) Publish(document []byte) error {
	if strings.Contains(string(document), "refuse") {
		return errors.New("refused")
	}
	return e.record("publish %s", strings.TrimSpace(string(document)))
}
func (e *fakeEnvironment) StartLoad(l Load) error {
	return e.record("load %s %s %t %d %s", l.Name, l.Service, l.Writes, l.Rate, l.DataCentre)
}
func (e *fakeEnvironment) StopLoad(n string) error       { return e.record("unload %s", n) }
func (e *fakeEnvironment) Report(string) (Report, error) { return e.report, nil }
func (e *fakeEnvironment) Now() time.Time                { return time.Now() }
func (e *fakeEnvironment) Advance(d time.Duration)       { time.Sleep(d) }
func (e *fakeEnvironment) Executions() (int, []string)   { return e.ran, e.twice }
func (e *fakeEnvironment) Ownership(string) (Ownership, error) {
	return e.ownership(time.Since(e.start)), nil
}
func (e *fakeEnvironment) Probe(_, dc string) ([]request.Answer, error) {
	if dc == "sofia-a" {
		return []request.Answer{request.Refuse(request.WrongRegion, "")}, nil
	}
	if time.Since(e.start) < e.servedAfter {
		return []request.Answer{{Outcome: request.Done}, request.Refuse(request.NoOwner, "")}, nil
	}
	return []request.Answer{{Outcome: request.Done}}, nil
}

// Guards against a statement that fails inside a synctest bubble or passes its arguments in the wrong order.
func TestEveryStatementCallsEnvironment(t *testing.T) {
	env := newFakeEnvironment()
	// Run starts parallel subtests. The enclosing subtest waits for them, so that all calls are recorded after it.
	t.Run("scripts", func(t *testing.T) {
		Run(t, "testdata", synctest.Test, func(*testing.T) Environment { env.start = time.Now(); return env })
	})
	want := []string{"publish regions: {}", "start a1 west-a orders", "load desk orders false 100 west-a",
		"load trades orders true 50 west-a", "pause a1", "resume a1", "cut emea-west emea-central",
		"heal emea-west emea-central", "log 2 2s", "lose 1", "forget 10", "log 1 0s", "log 0 0s", "backend a1 1",
		"backend a1 2", "backend a1 3", "backend a1 0", "kill a1", "stop a1", "unload desk", "unload trades"}
	if !slices.Equal(env.calls, want) {
		t.Errorf("calls:\n%s\nwant:\n%s", strings.Join(env.calls, "\n"), strings.Join(want, "\n"))
	}
	script, err := os.ReadFile("testdata/every_statement.txtar")
	if err != nil {
		t.Fatal(err)
	}
	for _, s := range statements {
		used := slices.ContainsFunc(strings.Split(string(script), "\n"), func(line string) bool {
			_, ok := s.arguments(strings.Fields(line))
			return ok
		})
		if !used {
			t.Errorf("the script does not use %q", s.usage)
		}
	}
}

// Guards against expectations that pass although they do not hold, and against malformed lines that are ignored.
func TestLinesThatMustFail(t *testing.T) {
	twoOwnersBriefly := func(elapsed time.Duration) Ownership {
		if elapsed >= 20*time.Millisecond && elapsed < 30*time.Millisecond {
			return Ownership{Owners: 2, Slices: 4, MultiplyOwned: 1}
		}
		return Ownership{Owners: 2, Slices: 4, Unserved: 1}
	}
	for name, c := range map[string]struct {
		line   string
		change func(e *fakeEnvironment)
		want   string
	}{
		"served too late":       {"expect served orders from west-a within 1s", func(e *fakeEnvironment) { e.servedAfter = 1020 * time.Millisecond }, "1 of 2 slices gave another answer, such as not-run no_owner"},
		"refused otherwise":     {"expect refused orders from sofia-a as no_owner", nil, "such as not-run wrong_region"},
		"done, not refused":     {"expect refused orders from west-a as no_owner", nil, "such as done"},
		"two owners for a time": {"expect owners orders 2 within 1s", func(e *fakeEnvironment) { e.ownership = twoOwnersBriefly }, "more than one owner"},
		"unserved slices": {"expect owners orders 1 within 1s", func(e *fakeEnvironment) {
			e.ownership = func(time.Duration) Ownership { return Ownership{Owners: 1, Slices: 4, Unserved: 1} }
		}, "1 of 4 slices unserved"},
		"no slices":             {"expect owners orders 1 within 1s", func(e *fakeEnvironment) { e.ownership = func(time.Duration) Ownership { return Ownership{Owners: 1} } }, "0 of 0"},
		"ran twice":             {"expect once", func(e *fakeEnvironment) { e.twice = []string{"r1"} }, "such as r1"},
		"nothing ran":           {"expect once", func(e *fakeEnvironment) { e.ran = 0 }, "no non-idempotent request ran"},
		"too few done":          {"expect done desk 99.9", func(e *fakeEnvironment) { e.report.Done = 998 }, "99.800%"},
		"nothing sent":          {"expect done desk 0", func(e *fakeEnvironment) { e.report = Report{} }, "sent no request"},
		"long gap":              {"expect gap desk 1s", func(e *fakeEnvironment) { e.report.LongestGap = 2 * time.Second }, "2s"},
		"! not allowed":         {"! node kill a1", nil, "does not allow"},
		"accepted publication":  {"! publish good", nil, "accepted"},
		"refused publication":   {"publish refuse", nil, "refused"},
		"misspelt literal":      {"expect served orders at west-a within 1s", nil, "the forms are"},
		"missing argument":      {"node kill", nil, "the forms are"},
		"duration without unit": {"advance 5", nil, "not a positive duration"},
		"unknown state":         {"backend a1 warm", nil, "not a state"},
		"unknown kind":          {"load start desk updates orders at 1 from west-a", nil, "not a kind of load"},
		"rate of zero":          {"load start desk reads orders at 0 from west-a", nil, "not a positive integer"},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				env := newFakeEnvironment()
				if c.change != nil {
					c.change(env)
				}
				r := &lineRunner{env: env, readFile: func(name string) string { return name }}
				parts := strings.Fields(strings.TrimPrefix(c.line, "! "))
				err := r.runLine(parts[0], strings.HasPrefix(c.line, "!"), parts[1:])
				if err == nil || !strings.Contains(err.Error(), c.want) {
					t.Errorf("error = %v, want one with %q", err, c.want)
				}
			})
		})
	}
}

// Guards against a scenarios page that lacks a statement, describes it differently, or keeps a removed one.
func TestScenariosPageMatches(t *testing.T) {
	page, err := os.ReadFile("../../docs/scenarios.md")
	if err != nil {
		t.Fatal(err)
	}
	var rows, want []string
	for line := range strings.Lines(string(page)) {
		if strings.HasPrefix(line, "| `") {
			rows = append(rows, strings.TrimSpace(line))
		}
	}
	for _, s := range statements {
		want = append(want, fmt.Sprintf("| `%s` | %s |", s.usage, s.meaning))
	}
	if !slices.Equal(rows, want) {
		t.Errorf("docs/scenarios.md has these rows:\n%s\nthe code has:\n%s", strings.Join(rows, "\n"), strings.Join(want, "\n"))
	}
}
