package main

import (
	"bufio"
	"fmt"
	"io"
	"regexp"
	"strings"
)

// entry is a test in KNOWN-RED.txt. The test fails because of a real fault that is not yet fixed.
type entry struct {
	// pkg is the directory of the test's package, such as "internal/lease".
	pkg string
	// test is the name of the test, with the names of subtests after slashes.
	test string
	// command and seed reproduce the failure. seed is "none" if the test has no seed.
	command, seed string
	// seen describes the failure; issue names the fault or says where it is described.
	seen, issue string
}

// fieldNames are the names of the lines of an entry, in order.
var fieldNames = []string{"test", "command", "seed", "seen", "issue"}

// parseEntries parses entries. Blank lines separate them; lines that start with "#" are comments. Each line of an entry
// has the form "name: text". An entry must have each field once, in the order of fieldNames.
func parseEntries(r io.Reader) ([]entry, error) {
	var entries []entry
	var lines []string
	scanner := bufio.NewScanner(r)
	lineNumber := 0
	endBlock := func() error {
		if len(lines) == 0 {
			return nil
		}
		e, err := parseEntry(lines)
		entries = append(entries, e)
		lines = nil
		return err
	}
	for scanner.Scan() {
		lineNumber++
		line := strings.TrimSpace(scanner.Text())
		switch {
		case strings.HasPrefix(line, "#"):
		case line != "":
			lines = append(lines, line)
		default:
			if err := endBlock(); err != nil {
				return nil, fmt.Errorf("entry before line %d: %w", lineNumber, err)
			}
		}
	}
	if err := endBlock(); err != nil {
		return nil, fmt.Errorf("last entry: %w", err)
	}
	return entries, scanner.Err()
}

// parseEntry parses the lines of one entry.
func parseEntry(lines []string) (entry, error) {
	if len(lines) != len(fieldNames) {
		return entry{}, fmt.Errorf("%d lines, want the %d lines %s", len(lines), len(fieldNames), strings.Join(fieldNames, ", "))
	}
	var texts []string
	for i, line := range lines {
		name, text, _ := strings.Cut(line, ":")
		text = strings.TrimSpace(text)
		if name != fieldNames[i] || text == "" {
			return entry{}, fmt.Errorf("line %q, want %q followed by a text", line, fieldNames[i]+":")
		}
		texts = append(texts, text)
	}
	pkg, test, found := strings.Cut(texts[0], " ")
	if !found || !strings.HasPrefix(test, "Test") || strings.Contains(test, " ") {
		return entry{}, fmt.Errorf("test %q, want a package and the name of a test, such as internal/lease TestName/case",
			texts[0])
	}
	pkg = strings.TrimPrefix(pkg, "./")
	return entry{pkg: pkg, test: test, command: texts[1], seed: texts[2], seen: texts[3], issue: texts[4]}, nil
}

// String returns the line that is printed when the test is skipped.
func (e entry) String() string {
	return fmt.Sprintf("known red, not run: %s %s (seed %s): %s; issue: %s", e.pkg, e.test, e.seed, e.seen, e.issue)
}

// topLevelTest returns the name of the test without subtests.
func (e entry) topLevelTest() string {
	name, _, _ := strings.Cut(e.test, "/")
	return name
}

// pattern returns a pattern for the flags of go test that matches the test and no other.
func (e entry) pattern() string {
	var levels []string
	for _, level := range strings.Split(e.test, "/") {
		levels = append(levels, "^"+regexp.QuoteMeta(level)+"$")
	}
	return strings.Join(levels, "/")
}
