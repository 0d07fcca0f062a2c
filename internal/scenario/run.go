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

// Bubble runs f in an environment of its own. synctest.Test is a Bubble.
type Bubble func(t *testing.T, f func(t *testing.T))

// Run runs each *.txtar script of a directory as a subtest in a bubble, on a world of its own. build makes the world
// inside the bubble and ends it through t.Cleanup.
func Run(t *testing.T, dir string, bubble Bubble, build func(t *testing.T) World) {
	files, err := filepath.Glob(filepath.Join(dir, "*.txtar"))
	if err != nil || len(files) == 0 {
		t.Fatalf("no scripts in %s (%v)", dir, err)
	}
	for _, file := range files {
		t.Run(strings.TrimSuffix(filepath.Base(file), ".txtar"), func(t *testing.T) {
			t.Parallel()
			bubble(t, func(t *testing.T) {
				testscript.RunT(inline{t}, testscript.Params{Files: []string{file}, Cmds: commands(build(t))})
			})
		})
	}
}

// inline runs the script in the calling test. A synctest bubble allows no subtests and no parallel tests.
type inline struct {
	*testing.T
}

// Run runs f at once.
func (i inline) Run(_ string, f func(testscript.T)) { f(i) }

// Parallel does nothing.
func (i inline) Parallel() {}

// Verbose reports whether the script's log is printed for passing tests as well.
func (i inline) Verbose() bool { return testing.Verbose() }

// run is the state of one line of a script.
type run struct {
	world    World
	readFile func(name string) string
}

// commands returns the testscript commands, one for the first part of each word.
func commands(world World) map[string]func(*testscript.TestScript, bool, []string) {
	byName := map[string]func(*testscript.TestScript, bool, []string){}
	for _, w := range words {
		name, _, _ := strings.Cut(w.usage, " ")
		byName[name] = func(ts *testscript.TestScript, negated bool, args []string) {
			r := &run{world: world, readFile: ts.ReadFile}
			if err := r.line(name, negated, args); err != nil {
				ts.Fatalf("%s %s: %v", name, strings.Join(args, " "), err)
			}
		}
	}
	return byName
}

// errAccepted tells that the world accepted what the script expects it to refuse.
var errAccepted = errors.New("accepted, but a refusal was expected")

// line runs one line of a script.
func (r *run) line(name string, negated bool, args []string) error {
	w, values, err := match(append([]string{name}, args...))
	if err != nil {
		return err
	}
	if negated && !w.refusable {
		return fmt.Errorf("%q does not allow \"!\"", w.usage)
	}
	err = w.do(r, values)
	if negated && err == nil {
		return errAccepted
	}
	if negated {
		return nil
	}
	return err
}

// match returns the word for the parts of a line, and its arguments.
func match(parts []string) (word, []string, error) {
	var forms []string
	for _, w := range words {
		if values, ok := w.arguments(parts); ok {
			return w, values, nil
		}
		if strings.HasPrefix(w.usage, parts[0]+" ") {
			forms = append(forms, w.usage)
		}
	}
	return word{}, nil, fmt.Errorf("no such word; the forms are:\n%s", strings.Join(forms, "\n"))
}

// arguments returns the arguments of the word if the parts have its form.
func (w word) arguments(parts []string) ([]string, bool) {
	form := strings.Fields(w.usage)
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
