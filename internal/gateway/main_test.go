package gateway

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/exec"
	"runtime"
	"slices"
	"strings"
	"testing"
)

// processVariable is set in the environment of the test processes that this one starts, to what they run.
const (
	processVariable = "HEATHERREEL_TEST_PROCESS"
	oneTest         = "test"
	oneSchedule     = "schedule"
)

// TestMain runs each test in a process of its own if all tests are to run with the race detector. The runtime of the detector
// (Go 1.26.8, x86-64) ended the process that ran all of them in five of about eighteen runs, with a SIGSEGV or a failed
// check (tsan_rtl.cpp:346) below internal/synctest.Run, and later that of one long test. The check concerns threads of the
// detector that run at the same time, so that these processes use one processor; the pass with the lock-order check uses
// all. Two runs of all tests in one process with one processor had no such error.
func TestMain(m *testing.M) {
	flag.Parse()
	if !raceDetector || os.Getenv(processVariable) != "" || !runsAllTests() {
		os.Exit(m.Run())
	}
	list, err := testProcess(context.Background(), oneTest, "-test.list=^(Test|Fuzz|Example)")
	names := strings.Fields(string(list))
	if err != nil || len(names) == 0 {
		fmt.Printf("list of tests: %v\n%s", err, list)
		os.Exit(1)
	}
	// The go command caches a result by the files in the log, each process would replace it.
	args := slices.DeleteFunc(slices.Clone(os.Args[1:]), func(arg string) bool { return strings.HasPrefix(arg, "-test.testlogfile") })
	type result struct {
		output []byte
		err    error
	}
	results := make([]chan result, len(names))
	running := make(chan struct{}, max(1, runtime.GOMAXPROCS(0)/2))
	for i, name := range names {
		results[i] = make(chan result, 1)
		go func() {
			running <- struct{}{}
			output, err := testProcess(context.Background(), oneTest, append(slices.Clone(args), "-test.run=^"+name+"$")...)
			<-running
			results[i] <- result{output, err}
		}()
	}
	failed := false
	for i, name := range names {
		r := <-results[i]
		if r.err != nil {
			failed = true
			fmt.Printf("process of %s: %v\n", name, r.err)
		}
		if r.err != nil || testing.Verbose() {
			fmt.Printf("%s", r.output)
		}
	}
	if failed {
		fmt.Println("FAIL")
		os.Exit(1)
	}
	fmt.Println("PASS")
}

// runsAllTests reports whether no flag selects tests, other than one that excludes some.
func runsAllTests() bool {
	for _, name := range []string{"test.run", "test.list", "test.bench", "test.fuzz"} {
		if f := flag.Lookup(name); f != nil && f.Value.String() != "" {
			return false
		}
	}
	return true
}

// testProcess runs this test binary with other arguments and returns its output.
func testProcess(ctx context.Context, runs string, args ...string) ([]byte, error) {
	cmd := exec.CommandContext(ctx, os.Args[0], args...)
	cmd.Env = append(os.Environ(), processVariable+"="+runs, "GOMAXPROCS=1")
	return cmd.CombinedOutput()
}
