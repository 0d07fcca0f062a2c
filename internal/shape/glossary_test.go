package shape

import (
	"go/ast"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// termsOutsideCode maps the terms of the glossary that no identifier needs to contain to the reasons.
var termsOutsideCode = map[string]string{
	"invariant":       "a property of the whole system",
	"rendezvous hash": "the method behind the ranks in internal/placement/rendezvous.go",
}

// tableRow matches a row of a two-column table in the glossary and captures its first cell.
var tableRow = regexp.MustCompile(`(?m)^\| ([^|]+) \| [^|]+ \|$`)

// glossaryTerms returns the terms of docs/glossary.md. A row may list several terms.
func glossaryTerms(t *testing.T) []string {
	t.Helper()
	page, err := os.ReadFile(filepath.Join(repositoryRoot, "docs/glossary.md"))
	if err != nil {
		t.Fatal(err)
	}
	var terms []string
	for _, match := range tableRow.FindAllStringSubmatch(string(page), -1) {
		for _, term := range strings.Split(match[1], ", ") {
			if term != "word" && term != "term" && term != "---" {
				terms = append(terms, term)
			}
		}
	}
	if len(terms) < 50 {
		t.Fatalf("only %d terms found in the glossary", len(terms))
	}
	return terms
}

// identifiers returns all identifiers and directories of the code outside of tests, in lower case, one per line. Each
// identifier is listed alone and with the package name in front, such as "retrybudget" for retry.Budget.
func identifiers(t *testing.T) string {
	t.Helper()
	seen := map[string]bool{}
	for _, f := range sourceFiles(t) {
		if f.isTest() {
			continue
		}
		seen[f.dir()] = true
		pkg := f.syntax.Name.Name
		ast.Inspect(f.syntax, func(n ast.Node) bool {
			if i, ok := n.(*ast.Ident); ok {
				seen[strings.ToLower(i.Name)] = true
				seen[strings.ToLower(pkg+i.Name)] = true
			}
			return true
		})
	}
	var all strings.Builder
	for name := range seen {
		all.WriteString(name + "\n")
	}
	return all.String()
}

// Guards against a glossary whose terms the code no longer uses, so that readers search for names that do not exist.
func TestGlossaryTermsExistInCode(t *testing.T) {
	names := identifiers(t)
	for _, term := range glossaryTerms(t) {
		joined := strings.ToLower(strings.NewReplacer(" ", "", "-", "").Replace(term))
		reason, excepted := termsOutsideCode[term]
		switch found := strings.Contains(names, joined); {
		case !found && !excepted:
			t.Errorf("docs/glossary.md explains %q, but no identifier contains %q", term, joined)
		case found && excepted:
			t.Errorf("the code now contains %q; remove it from termsOutsideCode (%s)", term, reason)
		}
	}
}
