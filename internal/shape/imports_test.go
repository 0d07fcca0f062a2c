package shape

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// ioPackages are the packages of the standard library that reach the network or the operating system.
var ioPackages = []string{"net", "os", "syscall", "io/fs", "io/ioutil", "path/filepath", "database", "log"}

// Guards against a listed package that was renamed or removed, whose rules would then check nothing.
func TestListedPackagesExist(t *testing.T) {
	for _, list := range [][]string{decisionPackages, peerPackages, wiringPackages, goroutineDirs()} {
		for _, dir := range list {
			if found, _ := filepath.Glob(filepath.Join(root, dir, "*.go")); len(found) == 0 {
				t.Errorf("%s holds no Go file: correct the lists of package shape", dir)
			}
		}
	}
}

// Guards against decisions that depend on I/O or on one front end, so that they cannot be tested or reused alone.
func TestDecisionPackagesImportNoPeerAndNoIO(t *testing.T) {
	report(t, sources(t), decisionImports)
}

func decisionImports(f *sourceFile) []fault {
	if f.isTest() || !f.withinAny(decisionPackages) {
		return nil
	}
	var faults []fault
	for _, i := range f.syntax.Imports {
		imported := importPath(i)
		if ownedBy(imported, ioPackages) != "" {
			faults = append(faults, fault{f, i.Pos(), "a decision package does no I/O and does not import " + imported})
		}
		dir := strings.TrimPrefix(imported, module)
		if ownedBy(dir, peerPackages) != "" || ownedBy(dir, wiringPackages) != "" {
			faults = append(faults, fault{f, i.Pos(), "a decision package imports no peer and no wiring package: " + imported})
		}
	}
	return faults
}

// Guards against a decision package that reaches a peer through a shared package.
func TestDecisionPackagesReachNoPeer(t *testing.T) {
	imports := map[string][]string{}
	for _, f := range sources(t) {
		for _, i := range f.syntax.Imports {
			if dir, inModule := strings.CutPrefix(importPath(i), module); inModule && !f.isTest() {
				imports[f.dir()] = append(imports[f.dir()], dir)
			}
		}
	}
	for _, decision := range decisionPackages {
		for _, reached := range reachable(imports, decision) {
			if ownedBy(reached, peerPackages) != "" || ownedBy(reached, wiringPackages) != "" {
				t.Errorf("%s imports %s through other packages: a decision package reaches no peer", decision, reached)
			}
		}
	}
}

// reachable returns all packages that from imports, directly or through others.
func reachable(imports map[string][]string, from string) []string {
	seen := map[string]bool{}
	queue := []string{from}
	var found []string
	for len(queue) > 0 {
		next := queue[0]
		queue = queue[1:]
		for _, p := range imports[next] {
			if !seen[p] {
				seen[p] = true
				found = append(found, p)
				queue = append(queue, p)
			}
		}
	}
	return found
}

// Guards against peer packages that decide through the engine or mix the codecs of two peers.
func TestPeerPackagesImportNoOtherPeer(t *testing.T) {
	report(t, sources(t), peerImports)
}

func peerImports(f *sourceFile) []fault {
	own := ownedBy(f.dir(), peerPackages)
	if f.isTest() || own == "" {
		return nil
	}
	var faults []fault
	for _, i := range f.syntax.Imports {
		dir := strings.TrimPrefix(importPath(i), module)
		other := ownedBy(dir, peerPackages)
		if other != "" && other != own || ownedBy(dir, wiringPackages) != "" {
			faults = append(faults, fault{f, i.Pos(), "a peer package imports no other peer and no wiring package: " + dir})
		}
	}
	return faults
}

// Guards against rules on imports that no longer find anything.
func TestImportRulesFindFaults(t *testing.T) {
	requireFaults(t, "internal/lease/x.go", `package lease
import (
	"time"
	"net/http" // broken
	"os" // broken
	"heatherreel/internal/ledger"
	"heatherreel/internal/node/nodepb" // broken
	"heatherreel/internal/engine" // broken
)`, decisionImports)
	requireFaults(t, "internal/operator/publication/x.go", `package publication
import (
	"net/http"
	"heatherreel/internal/operator"
	"heatherreel/internal/platformlog" // broken
	"heatherreel/internal/engine" // broken
)`, peerImports)
	imports := map[string][]string{"a": {"b"}, "b": {"c", "a"}}
	if got := reachable(imports, "a"); strings.Join(got, " ") != "b c a" {
		t.Errorf("reachable = %v", got)
	}
}

// Guards against a shape page that names another list of peers than these tests.
func TestDesignPageNamesPeers(t *testing.T) {
	page, err := os.ReadFile(filepath.Join(root, "docs/design.md"))
	if err != nil {
		t.Fatal(err)
	}
	for _, p := range peerPackages {
		if !strings.Contains(string(page), "| `"+p+"` | peer |") {
			t.Errorf("docs/design.md does not list %s as a peer", p)
		}
	}
	if got := strings.Count(string(page), "` | peer |"); got != len(peerPackages) {
		t.Errorf("docs/design.md lists %d peers, package shape %d", got, len(peerPackages))
	}
}
