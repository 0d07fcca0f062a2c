// Package shape holds tests of the rules in docs/design.md that concern the form of the code: which package imports
// which, where goroutines start, who reads the clock, and which mutexes the tables use.
package shape

import (
	"errors"
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
)

// root is the root of the repository, relative to this package.
const root = "../.."

// module is the path of this module.
const module = "heatherreel/"

// sourceFile is one parsed Go file.
type sourceFile struct {
	// name is the path from the root of the repository, with slashes.
	name   string
	syntax *ast.File
	set    *token.FileSet
}

// fault is a place where a rule is broken.
type fault struct {
	file *sourceFile
	at   token.Pos
	rule string
}

// String returns file, line and rule.
func (f fault) String() string {
	return fmt.Sprintf("%s:%d: %s", f.file.name, f.file.set.Position(f.at).Line, f.rule)
}

// parse parses a file; source may be nil to read it from the disk.
func parse(name string, source any) (*sourceFile, error) {
	f := &sourceFile{name: name, set: token.NewFileSet()}
	var err error
	f.syntax, err = parser.ParseFile(f.set, filepath.Join(root, name), source, parser.SkipObjectResolution)
	return f, err
}

// parseAll parses the Go files of the module once.
var parseAll = sync.OnceValues(func() ([]*sourceFile, error) {
	var files []*sourceFile
	add := func(p string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || !strings.HasSuffix(p, ".go") {
			return err
		}
		name, err := filepath.Rel(root, p)
		if err != nil {
			return err
		}
		f, err := parse(filepath.ToSlash(name), nil)
		files = append(files, f)
		return err
	}
	err := errors.Join(filepath.WalkDir(filepath.Join(root, "cmd"), add),
		filepath.WalkDir(filepath.Join(root, "internal"), add),
		filepath.WalkDir(filepath.Join(root, "platform"), add))
	return files, err
})

// sources returns all Go files of the module.
func sources(t *testing.T) []*sourceFile {
	t.Helper()
	files, err := parseAll()
	if err != nil {
		t.Fatal(err)
	}
	if len(files) < 100 {
		t.Fatalf("only %d files found: the walk does not see the repository", len(files))
	}
	return files
}

// report fails the test for each fault that rule finds.
func report(t *testing.T, files []*sourceFile, rule func(*sourceFile) []fault) {
	t.Helper()
	for _, f := range files {
		for _, broken := range rule(f) {
			t.Error(broken)
		}
	}
}

// requireFaults fails the test unless rule finds faults in exactly the lines of source that hold "// broken".
func requireFaults(t *testing.T, name, source string, rule func(*sourceFile) []fault) {
	t.Helper()
	f, err := parse(name, source)
	if err != nil {
		t.Fatal(err)
	}
	found := map[int]bool{}
	for _, broken := range rule(f) {
		found[f.set.Position(broken.at).Line] = true
	}
	for i, line := range strings.Split(source, "\n") {
		if want := strings.Contains(line, "// broken"); found[i+1] != want {
			t.Errorf("line %q: fault found %v, want %v", line, found[i+1], want)
		}
	}
}

// isTest reports whether f is a test file.
func (f *sourceFile) isTest() bool { return strings.HasSuffix(f.name, "_test.go") }

// dir returns the directory of f, which is also its package's path in the module.
func (f *sourceFile) dir() string { return path.Dir(f.name) }

// within reports whether f is in the directory or below it.
func (f *sourceFile) within(dir string) bool { return strings.HasPrefix(f.name, dir+"/") }

// withinAny reports whether f is in one of the directories or below it.
func (f *sourceFile) withinAny(dirs []string) bool {
	for _, dir := range dirs {
		if f.within(dir) {
			return true
		}
	}
	return false
}

// importPath returns the path that a declaration imports.
func importPath(i *ast.ImportSpec) string {
	p, err := strconv.Unquote(i.Path.Value)
	if err != nil {
		panic(err)
	}
	return p
}

// localName returns the name under which f imports the package with the path, or "" if it does not.
func (f *sourceFile) localName(imported string) string {
	for _, i := range f.syntax.Imports {
		if importPath(i) != imported {
			continue
		}
		if i.Name != nil {
			return i.Name.Name
		}
		return path.Base(imported)
	}
	return ""
}

// uses returns the places where f names one of the identifiers of an imported package.
func (f *sourceFile) uses(imported string, identifiers ...string) []*ast.SelectorExpr {
	local := f.localName(imported)
	if local == "" {
		return nil
	}
	var found []*ast.SelectorExpr
	ast.Inspect(f.syntax, func(n ast.Node) bool {
		if s, ok := n.(*ast.SelectorExpr); ok && isName(s.X, local) {
			for _, identifier := range identifiers {
				if s.Sel.Name == identifier {
					found = append(found, s)
				}
			}
		}
		return true
	})
	return found
}

// isName reports whether e is the identifier.
func isName(e ast.Expr, identifier string) bool {
	i, ok := e.(*ast.Ident)
	return ok && i.Name == identifier
}

// Guards against an import under "." or "_", which would hide uses from the rules of this package.
func TestNoHiddenImports(t *testing.T) {
	report(t, sources(t), func(f *sourceFile) []fault {
		var faults []fault
		for _, i := range f.syntax.Imports {
			if i.Name != nil && (i.Name.Name == "." || i.Name.Name == "_") {
				faults = append(faults, fault{f, i.Pos(), "no import under . or _"})
			}
		}
		return faults
	})
}
