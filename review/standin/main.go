// Command standin runs the scripted cases of the review: stand-ins for the platform's store, targets and clients, around
// processes of the project.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"sort"
	"syscall"
)

// Exit codes of a case.
const (
	held, broken, notRun = 0, 1, 2
)

var cases = map[string]func(e *env) error{}

// env is what a case gets.
type env struct {
	trouble bool
	rec     *recorder
	check   *checker
	fleet   *fleet
	// rules are those that the case judges.
	rules []string
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE RECORD-FILE")
		os.Exit(notRun)
	}
	os.Exit(runCase(cases[os.Args[1]], os.Args[2]))
}

func runCase(run func(e *env) error, path string) int {
	rec, err := newRecorder(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	if os.Getenv("KEEP") == "" {
		defer os.RemoveAll(dir)
	} else {
		fmt.Println(dir)
	}
	e := &env{trouble: os.Getenv("TROUBLE") != "0", rec: rec, check: newChecker(rec)}
	if e.fleet, err = newFleet(rec, e.check, dir); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-interrupted
		e.fleet.stop()
		os.RemoveAll(dir)
		os.Exit(notRun)
	}()
	err = run(e)
	e.fleet.stop()
	if err != nil {
		rec.log("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		return notRun
	}
	result := held
	faults := e.check.verdict()
	var names []string
	for name := range faults {
		names = append(names, name)
	}
	sort.Strings(names)
	rec.log("answers: %s", e.check.summary())
	for _, name := range names {
		for _, text := range faults[name] {
			rec.log("rule %s broken: %s", name, text)
		}
		fmt.Printf("rule %s broken %d times, for example: %s\n", name, len(faults[name]), faults[name][0])
		for _, rule := range e.rules {
			if rule == name {
				result = broken
			}
		}
	}
	if result == held {
		rec.log("the rules %v held", e.rules)
		fmt.Println("the rules", e.rules, "held;", e.check.summary())
	}
	return result
}
