// Command knownred runs go test, skips exactly the tests that KNOWN-RED.txt lists, and prints each skipped test. The
// arguments are flags of go test, then "--", then package patterns. The environment variable GO names the go command.
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

// listFile lists the known failures. It is in the working directory of the command.
const listFile = "KNOWN-RED.txt"

func main() {
	separator := slices.Index(os.Args, "--")
	if separator < 0 {
		fmt.Fprintln(os.Stderr, "usage: knownred [flag of go test]... -- package...")
		os.Exit(2)
	}
	if err := run(os.Args[1:separator], os.Args[separator+1:]); err != nil {
		fmt.Fprintln(os.Stderr, "knownred:", err)
		os.Exit(1)
	}
}

// run tests the packages that match the patterns, without the known failures.
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
	byPackage := groupByPackage(entries)
	for p := range byPackage {
		if _, err := os.Stat(p); err != nil {
			return fmt.Errorf("%s lists a test of a package that does not exist: %w", listFile, err)
		}
	}
	unlisted := slices.DeleteFunc(slices.Clone(packages), func(p string) bool { return byPackage[p] != nil })
	var failures error
	if len(unlisted) > 0 {
		failures = goTest(flags, unlisted)
	}
	for _, p := range packages {
		if byPackage[p] != nil {
			failures = errors.Join(failures, testPackage(flags, p, byPackage[p]))
		}
	}
	return failures
}

// readList reads listFile. If the file does not exist, the list is empty.
func readList() ([]entry, error) {
	file, err := os.Open(listFile)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	defer file.Close()
	entries, err := parseEntries(file)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", listFile, err)
	}
	return entries, nil
}

// groupByPackage groups the entries by the directory of their package, such as "./internal/lease".
func groupByPackage(entries []entry) map[string][]entry {
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

// requireTest returns an error if the package has no such test, so that an entry is removed together with its test.
func requireTest(flags []string, pkg string, e entry) error {
	arguments := slices.Concat([]string{"test", pkg}, flags, []string{"-list", "^" + e.topLevelTest() + "$"})
	out, err := goCommand(arguments...).Output()
	if err != nil {
		return fmt.Errorf("cannot list the tests of %s: %w", pkg, err)
	}
	if !slices.Contains(strings.Fields(string(out)), e.topLevelTest()) {
		return fmt.Errorf("%s lists %s %s, which does not exist: remove the entry", listFile, e.pkg, e.test)
	}
	return nil
}

// listPackages returns the directories of the packages that match the patterns, relative to the module.
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

// goTest runs go test. The packages precede the flags, because go test does not read an argument after a flag of the
// test binary, such as -rapid.seed, as a package.
func goTest(flags, packages []string) error {
	command := goCommand(slices.Concat([]string{"test"}, packages, flags)...)
	command.Stdout = os.Stdout
	if err := command.Run(); err != nil {
		return fmt.Errorf("go test: %w", err)
	}
	return nil
}

// goCommand returns a go command whose standard error goes to that of this process.
func goCommand(arguments ...string) *exec.Cmd {
	command := exec.Command(cmp.Or(os.Getenv("GO"), "go"), arguments...)
	command.Stderr = os.Stderr
	return command
}
