package main

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// runAsCommandVariable is the environment variable that makes the test binary run as the command knownred.
const runAsCommandVariable = "KNOWNRED_AS_COMMAND"

func TestMain(m *testing.M) {
	if os.Getenv(runAsCommandVariable) != "" {
		main()
		return
	}
	os.Exit(m.Run())
}

const validEntry = `test: pkg TestRed/case_1
command: go test ./pkg
seed: none
seen: fails
issue: 7
`

// Guards against an incomplete entry that skips a test without saying how to reproduce its failure.
func TestParseEntriesRejectsInvalidEntries(t *testing.T) {
	for name, text := range map[string]string{
		"a missing line":        strings.Replace(validEntry, "seed: none\n", "", 1),
		"an empty text":         strings.Replace(validEntry, "seed: none", "seed:", 1),
		"another order":         strings.Replace(validEntry, "seed: none\nseen: fails", "seen: fails\nseed: none", 1),
		"an unknown line":       strings.Replace(validEntry, "seed:", "flag:", 1),
		"two entries as one":    validEntry + validEntry,
		"a test without a name": strings.Replace(validEntry, " TestRed/case_1", "", 1),
		"a pattern":             strings.Replace(validEntry, "TestRed/case_1", "Test.* x", 1),
	} {
		if entries, err := parseEntries(strings.NewReader(text)); err == nil {
			t.Errorf("%s: accepted as %v", name, entries)
		}
	}
}

// Guards against a valid file that is rejected or parsed incorrectly.
func TestParseEntries(t *testing.T) {
	entries, err := parseEntries(strings.NewReader("# a comment\n\n" + validEntry + "\n\n" + strings.TrimSpace(validEntry)))
	want := entry{pkg: "pkg", test: "TestRed/case_1", command: "go test ./pkg", seed: "none", seen: "fails", issue: "7"}
	if err != nil || len(entries) != 2 || entries[0] != want || entries[1] != want {
		t.Errorf("entries %v, %v", entries, err)
	}
	if entries, err := parseEntries(strings.NewReader("\n# nothing\n")); err != nil || len(entries) != 0 {
		t.Errorf("empty file: %v, %v", entries, err)
	}
}

// testSources are the files of a module in which TestRed/case_1 of package pkg fails.
var testSources = map[string]string{
	"go.mod":         "module example\n\ngo 1.26\n",
	"good/a_test.go": "package good\n\nimport \"testing\"\n\nfunc TestRed(t *testing.T) {}\n",
	"pkg/a_test.go": `package pkg

import "testing"

func TestRed(t *testing.T) {
	t.Run("case 1", func(t *testing.T) { t.Error("first") })
	t.Run("case 10", func(t *testing.T) { t.Log("second ran") })
}

func TestRedAgain(t *testing.T) { t.Log("third ran") }
`,
}

// runCommand runs the command in a new module with this list of known failures.
func runCommand(t *testing.T, list string) (output string, err error) {
	t.Helper()
	dir := t.TempDir()
	files := map[string]string{listFile: list}
	for name, text := range testSources {
		files[name] = text
	}
	for name, text := range files {
		path := filepath.Join(dir, name)
		if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path, []byte(text), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	command := exec.Command(os.Args[0], "-v", "--", "./...")
	command.Dir = dir
	command.Env = append(os.Environ(), runAsCommandVariable+"=1")
	out, err := command.CombinedOutput()
	return string(out), err
}

// Guards against skipping tests that are not listed, and against skipping tests without printing them.
func TestSkipsExactlyTheListedTests(t *testing.T) {
	out, err := runCommand(t, validEntry)
	if err != nil {
		t.Fatalf("%v:\n%s", err, out)
	}
	for _, want := range []string{"second ran", "third ran", "ok  \texample/good", "known red, not run: pkg TestRed/case_1"} {
		if !strings.Contains(out, want) {
			t.Errorf("the output lacks %q:\n%s", want, out)
		}
	}
}

// Guards against a run that passes although an unlisted test fails.
func TestFailsWithUnlistedFailure(t *testing.T) {
	for name, list := range map[string]string{
		"empty list":            "",
		"entry of another test": strings.Replace(validEntry, "TestRed/case_1", "TestRed/case_10", 1),
		"same test elsewhere":   strings.Replace(validEntry, "pkg TestRed/case_1", "good TestRed", 1),
	} {
		if out, err := runCommand(t, list); err == nil || !strings.Contains(out, "first") {
			t.Errorf("%s: error %v, want the failure of the first case:\n%s", name, err, out)
		}
	}
}

// Guards against an entry that remains after its test was removed.
func TestFailsIfListedTestDoesNotExist(t *testing.T) {
	for missing, message := range map[string]string{
		"pkg TestGone":      "pkg TestGone, which does not exist",
		"gone TestRed/case": "package that does not exist",
	} {
		out, err := runCommand(t, validEntry+"\n"+strings.Replace(validEntry, "pkg TestRed/case_1", missing, 1))
		if err == nil || !strings.Contains(out, message) {
			t.Errorf("%s: error %v:\n%s", missing, err, out)
		}
	}
}
