package main

import (
	"bufio"
	"fmt"
	"io"
	"regexp"
	"strings"
)

// entry is a test in KNOWN-RED.txt: one that fails because of a real fault that is not corrected yet.
type entry struct {
	// pkg is the directory of the test's package, such as "internal/lease".
	pkg string
	// test is the name of the test, with subtests after slashes.
	test string
	// command and seed repeat the failure; seed is "none" if the test has no seed.
	command, seed string
	// seen is what was seen, issue the fault or where it is described.
	seen, issue string
}

// fields are the names of the lines of an entry, in order.
var fields = []string{"test", "command", "seed", "seen", "issue"}

// readEntries reads entries. Blank lines separate them; lines that start with "#" are comments. Each line of an entry
// has the form "name: text"; all fields must be there, once each and in order.
func readEntries(r io.Reader) ([]entry, error) {
	var entries []entry
	var block []string
	scanner := bufio.NewScanner(r)
	number := 0
	endBlock := func() error {
		if len(block) == 0 {
			return nil
		}
		e, err := newEntry(block)
		entries = append(entries, e)
		block = nil
		return err
	}
	for scanner.Scan() {
		number++
		line := strings.TrimSpace(scanner.Text())
		switch {
		case strings.HasPrefix(line, "#"):
		case line != "":
			block = append(block, line)
		default:
			if err := endBlock(); err != nil {
				return nil, fmt.Errorf("entry before line %d: %w", number, err)
			}
		}
	}
	if err := endBlock(); err != nil {
		return nil, fmt.Errorf("last entry: %w", err)
	}
	return entries, scanner.Err()
}

// newEntry reads the lines of one entry.
func newEntry(lines []string) (entry, error) {
	if len(lines) != len(fields) {
		return entry{}, fmt.Errorf("%d lines, want the %d lines %s", len(lines), len(fields), strings.Join(fields, ", "))
	}
	var texts []string
	for i, line := range lines {
		name, text, _ := strings.Cut(line, ":")
		text = strings.TrimSpace(text)
		if name != fields[i] || text == "" {
			return entry{}, fmt.Errorf("line %q, want %q and a text", line, fields[i]+":")
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

// String returns what is printed when the test is passed over.
func (e entry) String() string {
	return fmt.Sprintf("known red, not run: %s %s (seed %s): %s; issue: %s", e.pkg, e.test, e.seed, e.seen, e.issue)
}

// topLevel returns the name of the test without subtests.
func (e entry) topLevel() string {
	name, _, _ := strings.Cut(e.test, "/")
	return name
}

// pattern returns the pattern of go test that matches the test and nothing else.
func (e entry) pattern() string {
	var levels []string
	for _, level := range strings.Split(e.test, "/") {
		levels = append(levels, "^"+regexp.QuoteMeta(level)+"$")
	}
	return strings.Join(levels, "/")
}
