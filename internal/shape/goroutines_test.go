package shape

import (
	"fmt"
	"go/ast"
	"strings"
	"testing"
)

// goroutinePlace is a directory or a function that may start goroutines, and why.
type goroutinePlace struct {
	// place is a directory, or a file and a function as "file.go:function".
	place  string
	reason string
}

// goroutinePlaces are all places that may start goroutines. Everything else submits jobs to a pool.
var goroutinePlaces = []goroutinePlace{
	{"internal/worker", "the workers of the pools and the timers that enqueue jobs"},
	{"internal/engine/engine.go:Start", "one reader blocks in the long poll of the log"},
	{"internal/gateway/gateway.go:startReader", "one reader blocks in the long poll of each topic of the store"},
	{"internal/daemon/gateway.go:goServe", "accept loops block in the operating system"},
	{"internal/daemon/daemon.go:goServe", "accept loops and the datagram reader block in the operating system"},
	{"internal/fake", "stand-ins serve and announce outside the node that is tested"},
	{"cmd/heatherreel-standin/log.go:runLog", "closes the server of the stand-in when its context ends"},
	{"internal/launch", "waits for the end of each process that the demo or the measuring program starts"},
	{"cmd/heatherreel-demo", "the demo waits for processes and acts as many callers"},
	{"cmd/heatherreel-measure", "the measuring program waits for processes and acts as many callers"},
}

// goroutineDirs returns the directories of goroutinePlaces.
func goroutineDirs() []string {
	var dirs []string
	for _, p := range goroutinePlaces {
		if !isFunction(p.place) {
			dirs = append(dirs, p.place)
		}
	}
	return dirs
}

// isFunction reports whether place names a function.
func isFunction(place string) bool { return strings.Contains(place, ":") }

// start is a place that starts a goroutine.
type start struct {
	at       ast.Node
	function string
	what     string
}

// starts returns where f starts goroutines: go statements, functions that run in a goroutine of a timer or context,
// and the method Go of groups.
func starts(f *sourceFile) []start {
	var found []start
	for _, d := range f.syntax.Decls {
		name := ""
		if function, ok := d.(*ast.FuncDecl); ok {
			name = function.Name.Name
		}
		ast.Inspect(d, func(n ast.Node) bool {
			if what := startOf(f, n); what != "" {
				found = append(found, start{n, name, what})
			}
			return true
		})
	}
	return found
}

// startOf describes how a node starts a goroutine; "" if it does not.
func startOf(f *sourceFile, n ast.Node) string {
	switch n := n.(type) {
	case *ast.GoStmt:
		return "go statement"
	case *ast.CallExpr:
		if s, ok := n.Fun.(*ast.SelectorExpr); ok && s.Sel.Name == "Go" {
			return "call of a method Go"
		}
	case *ast.SelectorExpr:
		for _, imported := range []string{"time", "context"} {
			if local := f.localName(imported); local != "" && n.Sel.Name == "AfterFunc" && isName(n.X, local) {
				return imported + ".AfterFunc"
			}
		}
	}
	return ""
}

// allowedPlace returns the entry of goroutinePlaces that allows a start in f, or "".
func allowedPlace(f *sourceFile, s start) string {
	for _, p := range goroutinePlaces {
		if f.within(p.place) || f.name+":"+s.function == p.place {
			return p.place
		}
	}
	return ""
}

// goroutines returns the starts that no entry allows. Tests may start goroutines; goleak finds those that stay.
func goroutines(f *sourceFile) []fault {
	if f.isTest() {
		return nil
	}
	var faults []fault
	for _, s := range starts(f) {
		if allowedPlace(f, s) == "" {
			rule := fmt.Sprintf("goroutines run in pools of internal/worker; submit a job instead of a %s", s.what)
			faults = append(faults, fault{f, s.at.Pos(), rule})
		}
	}
	return faults
}

// Guards against work outside the pools, which no queue bounds and which can starve the lease.
func TestGoroutinesStartInNamedPlaces(t *testing.T) {
	report(t, sources(t), goroutines)
}

// Guards against exceptions that outlive their reason, and that would let other goroutines in unseen.
func TestGoroutinePlacesAreUsed(t *testing.T) {
	used := map[string]int{}
	for _, f := range sources(t) {
		for _, s := range starts(f) {
			if !f.isTest() {
				used[allowedPlace(f, s)]++
			}
		}
	}
	for _, p := range goroutinePlaces {
		if used[p.place] == 0 {
			t.Errorf("nothing starts a goroutine in %s: remove it from goroutinePlaces", p.place)
		}
		if isFunction(p.place) && used[p.place] > 1 {
			t.Errorf("%s starts %d goroutines, want one: %s", p.place, used[p.place], p.reason)
		}
	}
}

// Guards against a rule on goroutines that no longer finds anything.
func TestGoroutineRuleFindsFaults(t *testing.T) {
	requireFaults(t, "internal/engine/engine.go", `package engine
import (
	"context"
	"sync"
	"time"
)
func Start() {
	go wait()
}
func other(ctx context.Context) {
	go wait() // broken
	var g sync.WaitGroup
	g.Go(wait) // broken
	time.AfterFunc(1, wait) // broken
	defer context.AfterFunc(ctx, wait)() // broken
}`, goroutines)
}
