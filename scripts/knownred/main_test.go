package main

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// asCommand is the environment variable that makes the test binary act as the command.
const asCommand = "KNOWNRED_AS_COMMAND"

func TestMain(m *testing.M) {
	if os.Getenv(asCommand) != "" {
		main()
		return
	}
	os.Exit(m.Run())
}

const goodEntry = `test: pkg TestRed/case_1
command: go test ./pkg
seed: none
seen: fails
issue: 7
`

// Guards against an incomplete entry that hides a test without saying how to repeat the failure.
func TestReadEntriesRefuses(t *testing.T) {
	for name, text := range map[string]string{
		"a missing line":        strings.Replace(goodEntry, "seed: none\n", "", 1),
		"an empty text":         strings.Replace(goodEntry, "seed: none", "seed:", 1),
		"another order":         strings.Replace(goodEntry, "seed: none\nseen: fails", "seen: fails\nseed: none", 1),
		"an unknown line":       strings.Replace(goodEntry, "seed:", "flag:", 1),
		"two entries as one":    goodEntry + goodEntry,
		"a test without a name": strings.Replace(goodEntry, " TestRed/case_1", "", 1),
		"a pattern":             strings.Replace(goodEntry, "TestRed/case_1", "Test.* x", 1),
	} {
		if entries, err := readEntries(strings.NewReader(text)); err == nil {
			t.Errorf("%s: accepted as %v", name, entries)
		}
	}
}

// Guards against a good file that is refused, or read with other content.
func TestReadEntries(t *testing.T) {
	entries, err := readEntries(strings.NewReader("# a comment\n\n" + goodEntry + "\n\n" + strings.TrimSpace(goodEntry)))
	want := entry{pkg: "pkg", test: "TestRed/case_1", command: "go test ./pkg", seed: "none", seen: "fails", issue: "7"}
	if err != nil || len(entries) != 2 || entries[0] != want || entries[1] != want {
		t.Errorf("entries %v, %v", entries, err)
	}
	if entries, err := readEntries(strings.NewReader("\n# nothing\n")); err != nil || len(entries) != 0 {
		t.Errorf("empty file: %v, %v", entries, err)
	}
}

// testSources is a module with failing tests.
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

// runIn runs the command in a new module whose list of known failures has the text.
func runIn(t *testing.T, list string) (output string, err error) {
	t.Helper()
	dir := t.TempDir()
	files := map[string]string{listName: list}
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
	command.Env = append(os.Environ(), asCommand+"=1")
	out, err := command.CombinedOutput()
	return string(out), err
}

// Guards against a list that hides more than the listed tests, or hides them without a word.
func TestPassesOverExactlyTheListed(t *testing.T) {
	out, err := runIn(t, goodEntry)
	if err != nil {
		t.Fatalf("%v:\n%s", err, out)
	}
	for _, want := range []string{"second ran", "third ran", "ok  \texample/good", "known red, not run: pkg TestRed/case_1"} {
		if !strings.Contains(out, want) {
			t.Errorf("the output lacks %q:\n%s", want, out)
		}
	}
}

// Guards against a run that passes although a test fails that is not listed.
func TestFailsWithUnlistedFailure(t *testing.T) {
	for name, list := range map[string]string{
		"empty list":            "",
		"entry of another test": strings.Replace(goodEntry, "TestRed/case_1", "TestRed/case_10", 1),
		"same test elsewhere":   strings.Replace(goodEntry, "pkg TestRed/case_1", "good TestRed", 1),
	} {
		if out, err := runIn(t, list); err == nil || !strings.Contains(out, "first") {
			t.Errorf("%s: error %v, want the failure of the first case:\n%s", name, err, out)
		}
	}
}

// Guards against an entry that outlives its test.
func TestFailsWithEntryWithoutTest(t *testing.T) {
	for gone, message := range map[string]string{
		"pkg TestGone":      "pkg TestGone, which does not exist",
		"gone TestRed/case": "package that does not exist",
	} {
		out, err := runIn(t, goodEntry+"\n"+strings.Replace(goodEntry, "pkg TestRed/case_1", gone, 1))
		if err == nil || !strings.Contains(out, message) {
			t.Errorf("%s: error %v:\n%s", gone, err, out)
		}
	}
}
