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

// fakeWorld records what it is told and reports what the test sets.
type fakeWorld struct {
	calls     []string
	ownership func(elapsed time.Duration) Ownership
	served    time.Duration
	reports   Report
	ran       int
	twice     []string
	start     time.Time
}

// newFakeWorld returns a world in which everything goes well.
func newFakeWorld() *fakeWorld {
	return &fakeWorld{
		start:     time.Now(),
		ownership: func(time.Duration) Ownership { return Ownership{Owners: 1, Slices: 4} },
		reports:   Report{Sent: 1000, Done: 1000},
		ran:       5,
	}
}

func (w *fakeWorld) did(format string, args ...any) error {
	w.calls = append(w.calls, fmt.Sprintf(format, args...))
	return nil
}

func (w *fakeWorld) Start(n Node) error {
	return w.did("start %s %s %s", n.Name, n.DataCentre, n.Service)
}
func (w *fakeWorld) Stop(n string) error    { return w.did("stop %s", n) }
func (w *fakeWorld) Kill(n string) error    { return w.did("kill %s", n) }
func (w *fakeWorld) Pause(n string) error   { return w.did("pause %s", n) }
func (w *fakeWorld) Resume(n string) error  { return w.did("resume %s", n) }
func (w *fakeWorld) Cut(a, b string) error  { return w.did("cut %s %s", a, b) }
func (w *fakeWorld) Heal(a, b string) error { return w.did("heal %s %s", a, b) }
func (w *fakeWorld) SetLog(s LogState, d time.Duration) error {
	return w.did("log %d %s", s, d)
}
func (w *fakeWorld) LoseReplies(n int) error { return w.did("lose %d", n) }
func (w *fakeWorld) TruncateLog(n int) error { return w.did("forget %d", n) }
func (w *fakeWorld) SetBackend(n string, s BackendState) error {
	return w.did("backend %s %d", n, s)
}
func (w *fakeWorld) Publish(document []byte) error {
	if strings.Contains(string(document), "refuse") {
		return errors.New("refused")
	}
	return w.did("publish %s", strings.TrimSpace(string(document)))
}
func (w *fakeWorld) StartLoad(l Load) error {
	return w.did("load %s %s %t %d %s", l.Name, l.Service, l.Writes, l.Rate, l.DataCentre)
}
func (w *fakeWorld) StopLoad(n string) error       { return w.did("unload %s", n) }
func (w *fakeWorld) Report(string) (Report, error) { return w.reports, nil }
func (w *fakeWorld) Now() time.Time                { return time.Now() }
func (w *fakeWorld) Advance(d time.Duration)       { time.Sleep(d) }
func (w *fakeWorld) Executions() (int, []string)   { return w.ran, w.twice }
func (w *fakeWorld) Ownership(string) (Ownership, error) {
	return w.ownership(time.Since(w.start)), nil
}
func (w *fakeWorld) Probe(_, dc string) ([]request.Answer, error) {
	if dc == "sofia-a" {
		return []request.Answer{request.Refuse(request.WrongRegion, "")}, nil
	}
	if time.Since(w.start) < w.served {
		return []request.Answer{{Outcome: request.Done}, request.Refuse(request.NoOwner, "")}, nil
	}
	return []request.Answer{{Outcome: request.Done}}, nil
}

// Guards against a word that a script cannot use inside a bubble, or that passes its arguments in another order.
func TestEveryWordReachesTheWorld(t *testing.T) {
	world := newFakeWorld()
	// The scripts run in parallel subtests, which end before the subtest around them.
	t.Run("scripts", func(t *testing.T) {
		Run(t, "testdata", synctest.Test, func(*testing.T) World { world.start = time.Now(); return world })
	})
	want := []string{"publish regions: {}", "start a1 west-a orders", "load desk orders false 100 west-a",
		"load trades orders true 50 west-a", "pause a1", "resume a1", "cut emea-west emea-central",
		"heal emea-west emea-central", "log 2 2s", "lose 1", "forget 10", "log 1 0s", "log 0 0s", "backend a1 1",
		"backend a1 2", "backend a1 3", "backend a1 0", "kill a1", "stop a1", "unload desk", "unload trades"}
	if !slices.Equal(world.calls, want) {
		t.Errorf("calls:\n%s\nwant:\n%s", strings.Join(world.calls, "\n"), strings.Join(want, "\n"))
	}
	script, err := os.ReadFile("testdata/words.txtar")
	if err != nil {
		t.Fatal(err)
	}
	for _, w := range words {
		used := slices.ContainsFunc(strings.Split(string(script), "\n"), func(line string) bool {
			_, ok := w.arguments(strings.Fields(line))
			return ok
		})
		if !used {
			t.Errorf("the script does not use %q", w.usage)
		}
	}
}

// Guards against expectations that pass although they do not hold, and against misspelt lines that are passed over.
func TestLinesThatMustFail(t *testing.T) {
	shared := func(elapsed time.Duration) Ownership {
		if elapsed >= 20*time.Millisecond && elapsed < 30*time.Millisecond {
			return Ownership{Owners: 2, Slices: 4, Shared: 1}
		}
		return Ownership{Owners: 2, Slices: 4, Unserved: 1}
	}
	for name, c := range map[string]struct {
		line   string
		change func(w *fakeWorld)
		want   string
	}{
		"served too late":       {"expect served orders from west-a within 1s", func(w *fakeWorld) { w.served = 1020 * time.Millisecond }, "1 of 2 slices answer otherwise, such as not-run no_owner"},
		"refused otherwise":     {"expect refused orders from sofia-a as no_owner", nil, "such as not-run wrong_region"},
		"done, not refused":     {"expect refused orders from west-a as no_owner", nil, "such as done"},
		"two owners for a time": {"expect owners orders 2 within 1s", func(w *fakeWorld) { w.ownership = shared }, "more than one owner"},
		"unserved slices": {"expect owners orders 1 within 1s", func(w *fakeWorld) {
			w.ownership = func(time.Duration) Ownership { return Ownership{Owners: 1, Slices: 4, Unserved: 1} }
		}, "1 of 4 slices unserved"},
		"no slices":             {"expect owners orders 1 within 1s", func(w *fakeWorld) { w.ownership = func(time.Duration) Ownership { return Ownership{Owners: 1} } }, "0 of 0"},
		"ran twice":             {"expect once", func(w *fakeWorld) { w.twice = []string{"r1"} }, "such as r1"},
		"nothing ran":           {"expect once", func(w *fakeWorld) { w.ran = 0 }, "no non-idempotent request ran"},
		"too few done":          {"expect done desk 99.9", func(w *fakeWorld) { w.reports.Done = 998 }, "99.800%"},
		"nothing sent":          {"expect done desk 0", func(w *fakeWorld) { w.reports = Report{} }, "sent no request"},
		"long gap":              {"expect gap desk 1s", func(w *fakeWorld) { w.reports.LongestGap = 2 * time.Second }, "2s"},
		"refusal of a word":     {"! node kill a1", nil, "does not allow"},
		"accepted publication":  {"! publish good", nil, "accepted"},
		"refused publication":   {"publish refuse", nil, "refused"},
		"misspelt literal":      {"expect served orders at west-a within 1s", nil, "the forms are"},
		"missing argument":      {"node kill", nil, "the forms are"},
		"duration without unit": {"advance 5", nil, "not a duration"},
		"unknown state":         {"backend a1 warm", nil, "not a state"},
		"unknown kind":          {"load start desk updates orders at 1 from west-a", nil, "not a kind of load"},
		"rate of zero":          {"load start desk reads orders at 0 from west-a", nil, "not a number from 1"},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				world := newFakeWorld()
				if c.change != nil {
					c.change(world)
				}
				r := &run{world: world, readFile: func(name string) string { return name }}
				parts := strings.Fields(strings.TrimPrefix(c.line, "! "))
				err := r.line(parts[0], strings.HasPrefix(c.line, "!"), parts[1:])
				if err == nil || !strings.Contains(err.Error(), c.want) {
					t.Errorf("error = %v, want one with %q", err, c.want)
				}
			})
		})
	}
}

// Guards against a scenarios page that lacks a word, describes another one, or keeps a removed one.
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
	for _, w := range words {
		want = append(want, fmt.Sprintf("| `%s` | %s |", w.usage, w.meaning))
	}
	if !slices.Equal(rows, want) {
		t.Errorf("docs/scenarios.md has these rows:\n%s\nthe code has:\n%s", strings.Join(rows, "\n"), strings.Join(want, "\n"))
	}
}
