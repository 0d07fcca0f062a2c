// Package shape tests the source code against the architecture rules in docs/design.md: which package may import which,
// where goroutines may start, which packages may not read the clock, which mutexes need a rank in the lock order, and
// where the names of the platform's protocols may occur. It also compares docs/glossary.md with the code.
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

// repositoryRoot is the root of the repository, relative to this package.
const repositoryRoot = "../.."

// modulePrefix precedes the directory in the import paths of this module.
const modulePrefix = "heatherreel/"

// sourceFile is one parsed Go file.
type sourceFile struct {
	// relPath is the path relative to the root of the repository, with slashes.
	relPath string
	syntax  *ast.File
	fileSet *token.FileSet
}

// violation is a place in a file that violates a rule.
type violation struct {
	file *sourceFile
	pos  token.Pos
	rule string
}

// String returns file, line and rule.
func (v violation) String() string {
	return fmt.Sprintf("%s:%d: %s", v.file.relPath, v.file.fileSet.Position(v.pos).Line, v.rule)
}

// parseFile parses a file. If source is nil, it reads the file from disk.
func parseFile(relPath string, source any) (*sourceFile, error) {
	f := &sourceFile{relPath: relPath, fileSet: token.NewFileSet()}
	var err error
	f.syntax, err = parser.ParseFile(f.fileSet, filepath.Join(repositoryRoot, relPath), source, parser.SkipObjectResolution)
	return f, err
}

// parseModule parses the Go files of the module once.
var parseModule = sync.OnceValues(func() ([]*sourceFile, error) {
	var files []*sourceFile
	add := func(p string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || !strings.HasSuffix(p, ".go") {
			return err
		}
		name, err := filepath.Rel(repositoryRoot, p)
		if err != nil {
			return err
		}
		f, err := parseFile(filepath.ToSlash(name), nil)
		files = append(files, f)
		return err
	}
	err := errors.Join(filepath.WalkDir(filepath.Join(repositoryRoot, "cmd"), add),
		filepath.WalkDir(filepath.Join(repositoryRoot, "internal"), add),
		filepath.WalkDir(filepath.Join(repositoryRoot, "platform"), add))
	return files, err
})

// sourceFiles returns all Go files of the module.
func sourceFiles(t *testing.T) []*sourceFile {
	t.Helper()
	files, err := parseModule()
	if err != nil {
		t.Fatal(err)
	}
	if len(files) < 100 {
		t.Fatalf("only %d Go files found: the walk does not cover the repository", len(files))
	}
	return files
}

// reportViolations fails the test for each violation that rule returns.
func reportViolations(t *testing.T, files []*sourceFile, rule func(*sourceFile) []violation) {
	t.Helper()
	for _, f := range files {
		for _, v := range rule(f) {
			t.Error(v)
		}
	}
}

// requireViolations fails the test unless rule returns violations in exactly the lines of source that contain
// "// violation".
func requireViolations(t *testing.T, relPath, source string, rule func(*sourceFile) []violation) {
	t.Helper()
	f, err := parseFile(relPath, source)
	if err != nil {
		t.Fatal(err)
	}
	found := map[int]bool{}
	for _, v := range rule(f) {
		found[f.fileSet.Position(v.pos).Line] = true
	}
	for i, line := range strings.Split(source, "\n") {
		if want := strings.Contains(line, "// violation"); found[i+1] != want {
			t.Errorf("line %q: violation found %v, want %v", line, found[i+1], want)
		}
	}
}

// isTest reports whether f is a test file.
func (f *sourceFile) isTest() bool { return strings.HasSuffix(f.relPath, "_test.go") }

// dir returns the directory of f, which is also the path of its package in the module.
func (f *sourceFile) dir() string { return path.Dir(f.relPath) }

// inDir reports whether f is in the directory or below it.
func (f *sourceFile) inDir(dir string) bool { return strings.HasPrefix(f.relPath, dir+"/") }

// inAnyDir reports whether f is in one of the directories or below it.
func (f *sourceFile) inAnyDir(dirs []string) bool {
	for _, dir := range dirs {
		if f.inDir(dir) {
			return true
		}
	}
	return false
}

// importPath returns the path that an import declaration names.
func importPath(i *ast.ImportSpec) string {
	p, err := strconv.Unquote(i.Path.Value)
	if err != nil {
		panic(err)
	}
	return p
}

// importName returns the name under which f imports the package with this path, or "" if f does not import it.
func (f *sourceFile) importName(imported string) string {
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

// references returns the expressions in f that refer to one of the identifiers of an imported package.
func (f *sourceFile) references(imported string, identifiers ...string) []*ast.SelectorExpr {
	local := f.importName(imported)
	if local == "" {
		return nil
	}
	var found []*ast.SelectorExpr
	ast.Inspect(f.syntax, func(n ast.Node) bool {
		if s, ok := n.(*ast.SelectorExpr); ok && isIdentifier(s.X, local) {
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

// isIdentifier reports whether e is this identifier.
func isIdentifier(e ast.Expr, identifier string) bool {
	i, ok := e.(*ast.Ident)
	return ok && i.Name == identifier
}

// Guards against an import under "." or "_", which would hide references from the rules of this package.
func TestNoHiddenImports(t *testing.T) {
	reportViolations(t, sourceFiles(t), func(f *sourceFile) []violation {
		var violations []violation
		for _, i := range f.syntax.Imports {
			if i.Name != nil && (i.Name.Name == "." || i.Name.Name == "_") {
				violations = append(violations, violation{f, i.Pos(), "no import under . or _"})
			}
		}
		return violations
	})
}
