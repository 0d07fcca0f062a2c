package scenario

import (
	"errors"
	"fmt"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"
)

// Bubble runs f in isolation from other tests, for example with a clock of its own. synctest.Test is a Bubble.
type Bubble func(t *testing.T, f func(t *testing.T))

// Run runs each *.txtar script of a directory as a parallel subtest, in a bubble and an environment of its own.
// newEnvironment creates the environment inside the bubble and shuts it down with t.Cleanup.
func Run(t *testing.T, dir string, bubble Bubble, newEnvironment func(t *testing.T) Environment) {
	files, err := filepath.Glob(filepath.Join(dir, "*.txtar"))
	if err != nil || len(files) == 0 {
		t.Fatalf("no scripts in %s (%v)", dir, err)
	}
	for _, file := range files {
		t.Run(strings.TrimSuffix(filepath.Base(file), ".txtar"), func(t *testing.T) {
			t.Parallel()
			bubble(t, func(t *testing.T) {
				testscript.RunT(inlineT{t}, testscript.Params{Files: []string{file}, Cmds: commands(newEnvironment(t))})
			})
		})
	}
}

// inlineT runs the script in the calling test, because a synctest bubble allows no subtests and no parallel tests.
type inlineT struct {
	*testing.T
}

// Run calls f in the calling test.
func (i inlineT) Run(_ string, f func(testscript.T)) { f(i) }

// Parallel does nothing.
func (i inlineT) Parallel() {}

// Verbose reports whether the script's log is also printed for passing tests.
func (i inlineT) Verbose() bool { return testing.Verbose() }

// lineRunner executes one line of a script in an environment.
type lineRunner struct {
	env      Environment
	readFile func(name string) string
}

// commands returns the testscript commands, one for each first word of the statements.
func commands(env Environment) map[string]func(*testscript.TestScript, bool, []string) {
	byName := map[string]func(*testscript.TestScript, bool, []string){}
	for _, s := range statements {
		name, _, _ := strings.Cut(s.usage, " ")
		byName[name] = func(ts *testscript.TestScript, negated bool, args []string) {
			r := &lineRunner{env: env, readFile: ts.ReadFile}
			if err := r.runLine(name, negated, args); err != nil {
				ts.Fatalf("%s %s: %v", name, strings.Join(args, " "), err)
			}
		}
	}
	return byName
}

// errAccepted is returned for a line with "!" whose statement succeeded.
var errAccepted = errors.New("accepted, but a refusal was expected")

// runLine executes a line that starts with name. A line with "!" is negated: it succeeds if its statement fails.
func (r *lineRunner) runLine(name string, negated bool, args []string) error {
	s, values, err := findStatement(append([]string{name}, args...))
	if err != nil {
		return err
	}
	if negated && !s.negatable {
		return fmt.Errorf("%q does not allow \"!\"", s.usage)
	}
	err = s.do(r, values)
	if negated && err == nil {
		return errAccepted
	}
	if negated {
		return nil
	}
	return err
}

// findStatement returns the statement whose form the parts of a line have, and its arguments.
func findStatement(parts []string) (statement, []string, error) {
	var forms []string
	for _, s := range statements {
		if values, ok := s.arguments(parts); ok {
			return s, values, nil
		}
		if strings.HasPrefix(s.usage, parts[0]+" ") {
			forms = append(forms, s.usage)
		}
	}
	return statement{}, nil, fmt.Errorf("no such statement; the forms are:\n%s", strings.Join(forms, "\n"))
}

// arguments returns the arguments in the parts of a line, and false if the parts do not have the form of the statement.
func (s statement) arguments(parts []string) ([]string, bool) {
	form := strings.Fields(s.usage)
	if len(form) != len(parts) {
		return nil, false
	}
	values := make([]string, 0, len(form))
	for i, f := range form {
		switch {
		case isArgument(f):
			values = append(values, parts[i])
		case f != parts[i]:
			return nil, false
		}
	}
	return slices.Clip(values), true
}

// isArgument reports whether a part of a usage stands for an argument.
func isArgument(part string) bool { return part == strings.ToUpper(part) }
