package shape

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// ioPackages are the packages of the standard library that access the network or the operating system.
var ioPackages = []string{"net", "os", "syscall", "io/fs", "io/ioutil", "path/filepath", "database", "log"}

// Guards against a listed package that was renamed or removed. The rules for it would then check nothing.
func TestListedPackagesExist(t *testing.T) {
	for _, list := range [][]string{decisionPackages, peerPackages, wiringPackages, goroutineSiteDirs()} {
		for _, dir := range list {
			if found, _ := filepath.Glob(filepath.Join(repositoryRoot, dir, "*.go")); len(found) == 0 {
				t.Errorf("%s contains no Go file: correct the lists in internal/shape", dir)
			}
		}
	}
}

// Guards against decision packages that depend on I/O or on the protocol of one peer. Such packages could not be tested
// or reused on their own.
func TestDecisionPackagesImportNoPeerAndNoIO(t *testing.T) {
	reportViolations(t, sourceFiles(t), decisionImportViolations)
}

func decisionImportViolations(f *sourceFile) []violation {
	if f.isTest() || !f.inAnyDir(decisionPackages) {
		return nil
	}
	var violations []violation
	for _, i := range f.syntax.Imports {
		imported := importPath(i)
		if enclosingPackage(imported, ioPackages) != "" {
			violations = append(violations, violation{f, i.Pos(), "a decision package does no I/O and does not import " + imported})
		}
		dir := strings.TrimPrefix(imported, modulePrefix)
		if enclosingPackage(dir, peerPackages) != "" || enclosingPackage(dir, wiringPackages) != "" {
			violations = append(violations, violation{f, i.Pos(), "a decision package imports no peer and no wiring package: " + imported})
		}
	}
	return violations
}

// Guards against a decision package that depends on a peer or wiring package through other packages.
func TestDecisionPackagesReachNoPeer(t *testing.T) {
	imports := map[string][]string{}
	for _, f := range sourceFiles(t) {
		for _, i := range f.syntax.Imports {
			if dir, inModule := strings.CutPrefix(importPath(i), modulePrefix); inModule && !f.isTest() {
				imports[f.dir()] = append(imports[f.dir()], dir)
			}
		}
	}
	for _, decision := range decisionPackages {
		for _, reached := range transitiveImports(imports, decision) {
			if enclosingPackage(reached, peerPackages) != "" || enclosingPackage(reached, wiringPackages) != "" {
				t.Errorf("%s imports %s through other packages: a decision package depends on no peer and no wiring package", decision, reached)
			}
		}
	}
}

// transitiveImports returns all packages that from imports, directly or through other packages.
func transitiveImports(imports map[string][]string, from string) []string {
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

// Guards against peer packages that call the engine to make decisions, or that mix the codecs of two peers.
func TestPeerPackagesImportNoOtherPeer(t *testing.T) {
	reportViolations(t, sourceFiles(t), peerImportViolations)
}

func peerImportViolations(f *sourceFile) []violation {
	own := enclosingPackage(f.dir(), peerPackages)
	if f.isTest() || own == "" {
		return nil
	}
	var violations []violation
	for _, i := range f.syntax.Imports {
		dir := strings.TrimPrefix(importPath(i), modulePrefix)
		other := enclosingPackage(dir, peerPackages)
		if other != "" && other != own || enclosingPackage(dir, wiringPackages) != "" {
			violations = append(violations, violation{f, i.Pos(), "a peer package imports no other peer and no wiring package: " + dir})
		}
	}
	return violations
}

// Guards against import rules that no longer detect violations.
func TestImportRulesFindViolations(t *testing.T) {
	requireViolations(t, "internal/lease/x.go", `package lease
import (
	"time"
	"net/http" // violation
	"os" // violation
	"heatherreel/internal/ledger"
	"heatherreel/internal/node/nodepb" // violation
	"heatherreel/internal/engine" // violation
)`, decisionImportViolations)
	requireViolations(t, "internal/operator/publication/x.go", `package publication
import (
	"net/http"
	"heatherreel/internal/operator"
	"heatherreel/internal/platformlog" // violation
	"heatherreel/internal/engine" // violation
)`, peerImportViolations)
	imports := map[string][]string{"a": {"b"}, "b": {"c", "a"}}
	if got := transitiveImports(imports, "a"); strings.Join(got, " ") != "b c a" {
		t.Errorf("transitiveImports = %v", got)
	}
}

// Guards against a design page whose list of peer packages differs from peerPackages.
func TestDesignPageListsPeers(t *testing.T) {
	page, err := os.ReadFile(filepath.Join(repositoryRoot, "docs/design.md"))
	if err != nil {
		t.Fatal(err)
	}
	for _, p := range peerPackages {
		if !strings.Contains(string(page), "| `"+p+"` | peer |") {
			t.Errorf("docs/design.md does not list %s as a peer", p)
		}
	}
	if got := strings.Count(string(page), "` | peer |"); got != len(peerPackages) {
		t.Errorf("docs/design.md lists %d peers, peerPackages has %d", got, len(peerPackages))
	}
}
