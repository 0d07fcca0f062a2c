package shape

import (
	"fmt"
	"go/ast"
	"strings"
	"testing"
)

// goroutineSite is a directory or a function that may start goroutines.
type goroutineSite struct {
	// location is a directory, or a file and a function as "file.go:function".
	location string
	// reason says why this code starts goroutines of its own.
	reason string
}

// goroutineSites lists all sites that may start goroutines. All other code submits jobs to a pool.
var goroutineSites = []goroutineSite{
	{"internal/worker", "the workers of the pools and the timers that enqueue jobs"},
	{"internal/engine/engine.go:Start", "one reader blocks in the long poll of the log"},
	{"internal/gateway/gateway.go:startReader", "one reader blocks in the long poll of each topic of the store"},
	{"internal/daemon/gateway.go:goServe", "accept loops block in the operating system"},
	{"internal/daemon/daemon.go:goServe", "accept loops and the datagram reader block in the operating system"},
	{"internal/pipeline/server.go:Serve", "one reader blocks on each connection of a caller"},
	{"internal/pipeline/conn.go:readRequests", "the handler of a request runs while further requests are read"},
	{"internal/gateway/stream.go:beginStream", "ends the reading of a streamed body when its request ends; there are at most large_bodies"},
	{"internal/node/stream_client.go:exchange", "one sender blocks on the connection of each streamed body, of which there are at most large_bodies"},
	{"internal/node/stream_client.go:run", "one reader blocks on the caller of each streamed body"},
	{"internal/node/stream_server.go:startReceiving", "one reader blocks on the connection of each streamed body"},
	{"internal/fake", "fakes serve and announce outside the node that is tested"},
	{"cmd/heatherreel-standin/log.go:runLog", "closes the server of the stand-in when its context ends"},
	{"internal/launch", "waits for the end of each process that the demo or the measuring program starts"},
	{"cmd/heatherreel-demo", "the demo waits for processes and acts as many callers"},
	{"cmd/heatherreel-measure", "the measuring program waits for processes and acts as many callers"},
}

// goroutineSiteDirs returns the directories in goroutineSites.
func goroutineSiteDirs() []string {
	var dirs []string
	for _, site := range goroutineSites {
		if !isFunction(site.location) {
			dirs = append(dirs, site.location)
		}
	}
	return dirs
}

// isFunction reports whether location names a function.
func isFunction(location string) bool { return strings.Contains(location, ":") }

// goroutineStart is an expression or a statement that starts a goroutine.
type goroutineStart struct {
	node        ast.Node
	function    string
	description string
}

// goroutineStarts returns where f starts goroutines: go statements, uses of time.AfterFunc and context.AfterFunc, and
// calls of a method Go, such as that of sync.WaitGroup.
func goroutineStarts(f *sourceFile) []goroutineStart {
	var found []goroutineStart
	for _, d := range f.syntax.Decls {
		name := ""
		if function, ok := d.(*ast.FuncDecl); ok {
			name = function.Name.Name
		}
		ast.Inspect(d, func(n ast.Node) bool {
			if description := describeStart(f, n); description != "" {
				found = append(found, goroutineStart{n, name, description})
			}
			return true
		})
	}
	return found
}

// describeStart describes how a node starts a goroutine. It returns "" if the node starts none.
func describeStart(f *sourceFile, n ast.Node) string {
	switch n := n.(type) {
	case *ast.GoStmt:
		return "go statement"
	case *ast.CallExpr:
		if s, ok := n.Fun.(*ast.SelectorExpr); ok && s.Sel.Name == "Go" {
			return "call of a method Go"
		}
	case *ast.SelectorExpr:
		for _, imported := range []string{"time", "context"} {
			if local := f.importName(imported); local != "" && n.Sel.Name == "AfterFunc" && isIdentifier(n.X, local) {
				return imported + ".AfterFunc"
			}
		}
	}
	return ""
}

// allowingSite returns the location of the entry of goroutineSites that allows a start in f, or "".
func allowingSite(f *sourceFile, s goroutineStart) string {
	for _, site := range goroutineSites {
		if f.inDir(site.location) || f.relPath+":"+s.function == site.location {
			return site.location
		}
	}
	return ""
}

// goroutineViolations returns the starts that no entry of goroutineSites allows. Tests may start goroutines; goleak
// detects those that are leaked.
func goroutineViolations(f *sourceFile) []violation {
	if f.isTest() {
		return nil
	}
	var violations []violation
	for _, s := range goroutineStarts(f) {
		if allowingSite(f, s) == "" {
			rule := fmt.Sprintf("goroutines run in pools of internal/worker; submit a job instead of a %s", s.description)
			violations = append(violations, violation{f, s.node.Pos(), rule})
		}
	}
	return violations
}

// Guards against work outside the pools. No queue bounds it, so it can delay the renewal of the lease.
func TestGoroutinesStartAtListedSites(t *testing.T) {
	reportViolations(t, sourceFiles(t), goroutineViolations)
}

// Guards against sites that no longer start a goroutine and would allow a new one without review.
func TestGoroutineSitesAreUsed(t *testing.T) {
	used := map[string]int{}
	for _, f := range sourceFiles(t) {
		for _, s := range goroutineStarts(f) {
			if !f.isTest() {
				used[allowingSite(f, s)]++
			}
		}
	}
	for _, site := range goroutineSites {
		if used[site.location] == 0 {
			t.Errorf("nothing starts a goroutine in %s: remove it from goroutineSites", site.location)
		}
		if isFunction(site.location) && used[site.location] > 1 {
			t.Errorf("%s starts %d goroutines, want one: %s", site.location, used[site.location], site.reason)
		}
	}
}

// Guards against a goroutine rule that no longer detects violations.
func TestGoroutineRuleFindsViolations(t *testing.T) {
	requireViolations(t, "internal/engine/engine.go", `package engine
import (
	"context"
	"sync"
	"time"
)
func Start() {
	go wait()
}
func other(ctx context.Context) {
	go wait() // violation
	var g sync.WaitGroup
	g.Go(wait) // violation
	time.AfterFunc(1, wait) // violation
	defer context.AfterFunc(ctx, wait)() // violation
}`, goroutineViolations)
}
