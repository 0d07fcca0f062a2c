// Command knownred runs go test and passes over exactly the tests that KNOWN-RED.txt lists. It prints them. Arguments
// are flags of go test, then "--", then package patterns. The environment variable GO names the go command.
package main

import (
	"cmp"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"os/exec"
	"slices"
	"strings"
)

// listName is the file of known failures, in the directory where the command runs.
const listName = "KNOWN-RED.txt"

func main() {
	split := slices.Index(os.Args, "--")
	if split < 0 {
		fmt.Fprintln(os.Stderr, "usage: knownred [flag of go test]... -- package...")
		os.Exit(2)
	}
	if err := run(os.Args[1:split], os.Args[split+1:]); err != nil {
		fmt.Fprintln(os.Stderr, "knownred:", err)
		os.Exit(1)
	}
}

// run tests the packages with the flags.
func run(flags, patterns []string) error {
	entries, err := readList()
	if err != nil {
		return err
	}
	if len(entries) == 0 {
		return goTest(flags, patterns)
	}
	packages, err := listPackages(patterns)
	if err != nil {
		return err
	}
	byPackage := group(entries)
	for p := range byPackage {
		if _, err := os.Stat(p); err != nil {
			return fmt.Errorf("%s lists a test of a package that does not exist: %w", listName, err)
		}
	}
	clean := slices.DeleteFunc(slices.Clone(packages), func(p string) bool { return byPackage[p] != nil })
	var failed error
	if len(clean) > 0 {
		failed = goTest(flags, clean)
	}
	for _, p := range packages {
		if byPackage[p] != nil {
			failed = errors.Join(failed, testPackage(flags, p, byPackage[p]))
		}
	}
	return failed
}

// readList reads the file of known failures; without one the list is empty.
func readList() ([]entry, error) {
	file, err := os.Open(listName)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	defer file.Close()
	entries, err := readEntries(file)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", listName, err)
	}
	return entries, nil
}

// group returns the entries by the directory of their package, as "./internal/lease".
func group(entries []entry) map[string][]entry {
	byPackage := map[string][]entry{}
	for _, e := range entries {
		byPackage["./"+e.pkg] = append(byPackage["./"+e.pkg], e)
	}
	return byPackage
}

// testPackage tests one package without its known failures.
func testPackage(flags []string, pkg string, entries []entry) error {
	var patterns []string
	for _, e := range entries {
		if err := requireTest(flags, pkg, e); err != nil {
			return err
		}
		patterns = append(patterns, e.pattern())
		fmt.Println(e)
	}
	return goTest(append(slices.Clone(flags), "-skip", strings.Join(patterns, "|")), []string{pkg})
}

// requireTest returns an error if the package has no such test, so that entries do not outlive their tests.
func requireTest(flags []string, pkg string, e entry) error {
	arguments := slices.Concat([]string{"test", pkg}, flags, []string{"-list", "^" + e.topLevel() + "$"})
	out, err := goCommand(arguments...).Output()
	if err != nil {
		return fmt.Errorf("cannot list the tests of %s: %w", pkg, err)
	}
	if !slices.Contains(strings.Fields(string(out)), e.topLevel()) {
		return fmt.Errorf("%s lists %s %s, which does not exist: remove the entry", listName, e.pkg, e.test)
	}
	return nil
}

// listPackages returns the directories of the packages, relative to the module.
func listPackages(patterns []string) ([]string, error) {
	arguments := append([]string{"list", "-f", "{{.ImportPath}} {{.Module.Path}}"}, patterns...)
	out, err := goCommand(arguments...).Output()
	if err != nil {
		return nil, fmt.Errorf("go list: %w", err)
	}
	var dirs []string
	for line := range strings.Lines(string(out)) {
		importPath, module, _ := strings.Cut(strings.TrimSpace(line), " ")
		dirs = append(dirs, "."+strings.TrimPrefix(importPath, module))
	}
	return dirs, nil
}

// goTest runs go test. The packages come first, because go test takes everything after a flag of a test binary, such as
// -rapid.seed, for arguments of the binary.
func goTest(flags, packages []string) error {
	command := goCommand(slices.Concat([]string{"test"}, packages, flags)...)
	command.Stdout = os.Stdout
	if err := command.Run(); err != nil {
		return fmt.Errorf("go test: %w", err)
	}
	return nil
}

// goCommand returns a call of the go command that shows its errors.
func goCommand(arguments ...string) *exec.Cmd {
	command := exec.Command(cmp.Or(os.Getenv("GO"), "go"), arguments...)
	command.Stderr = os.Stderr
	return command
}
