//go:build review

// Command standin-2 runs the cases of the second review: stand-ins for the platform's store, for targets and for clients, and
// the project's own processes. It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

func main() {
	program := flag.String("program", "target/heatherreeld", "program of the deploy file")
	recordPath := flag.String("record", "record.txt", "file for the record")
	trouble := flag.Bool("trouble", true, "with the disruption")
	flag.Parse()
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	cases := map[string]func(dir, program, recordPath string, trouble bool) (bool, error){
		"bodies": runBodies, "readers": runReaders, "paths": runPaths, "moved": runMoved,
	}
	// The processes of the case end with this one.
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-signals
		killStarted()
		os.Exit(2)
	}()
	run, ok := cases[flag.Arg(0)]
	if !ok {
		fmt.Fprintln(os.Stderr, "unknown case", flag.Arg(0))
		os.Exit(2)
	}
	broken, err := run(dir, *program, *recordPath, *trouble)
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(dir)
	} else {
		fmt.Println("kept", dir)
	}
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		os.Exit(2)
	case broken:
		fmt.Println("the rule was broken")
		os.Exit(1)
	}
	fmt.Println("the rule held")
}
