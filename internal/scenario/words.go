package scenario

import (
	"fmt"
	"strconv"
	"time"
)

// word is one word of the language.
type word struct {
	// usage is the form of the line. Lower-case parts are literal, upper-case parts are arguments.
	usage string
	// meaning is the text in docs/scenarios.md.
	meaning string
	// do runs the word with its arguments in the order of usage.
	do func(r *run, args []string) error
	// refusable tells that "!" before the word expects do to fail.
	refusable bool
}

// words lists the language in the order of the page.
var words = []word{
	{usage: "node start NODE in DATA_CENTRE serving SERVICE",
		meaning: "starts a node and its backend server; a node that ran before joins as a new incarnation",
		do: func(r *run, a []string) error {
			return r.world.Start(Node{Name: a[0], DataCentre: a[1], Service: a[2]})
		}},
	{usage: "node stop NODE", meaning: "begins a graceful shutdown",
		do: func(r *run, a []string) error { return r.world.Stop(a[0]) }},
	{usage: "node kill NODE", meaning: "ends a node at once",
		do: func(r *run, a []string) error { return r.world.Kill(a[0]) }},
	{usage: "node pause NODE", meaning: "freezes a node; its backend server continues",
		do: func(r *run, a []string) error { return r.world.Pause(a[0]) }},
	{usage: "node resume NODE", meaning: "continues a paused node",
		do: func(r *run, a []string) error { return r.world.Resume(a[0]) }},
	{usage: "net cut PLACE PLACE",
		meaning: "drops all traffic between two places; a place is a region, a data centre, a node or `log`",
		do:      func(r *run, a []string) error { return r.world.Cut(a[0], a[1]) }},
	{usage: "net heal PLACE PLACE", meaning: "undoes `net cut` of the same places",
		do: func(r *run, a []string) error { return r.world.Heal(a[0], a[1]) }},
	{usage: "log up", meaning: "the log answers at once",
		do: func(r *run, _ []string) error { return r.world.SetLog(LogUp, 0) }},
	{usage: "log down", meaning: "the log answers no call",
		do: func(r *run, _ []string) error { return r.world.SetLog(LogDown, 0) }},
	{usage: "log slow DURATION", meaning: "the log answers each call after the duration",
		do: withDuration(0, func(r *run, d time.Duration, _ []string) error { return r.world.SetLog(LogSlow, d) })},
	{usage: "log lose-replies COUNT", meaning: "the next appends take effect, but their replies are lost",
		do: withCount(0, func(r *run, n int, _ []string) error { return r.world.LoseReplies(n) })},
	{usage: "log forget-all-but COUNT", meaning: "the log keeps only its last records, as after its retention time",
		do: withCount(0, func(r *run, n int, _ []string) error { return r.world.TruncateLog(n) })},
	{usage: "backend NODE STATE",
		meaning: "sets the backend server beside a node: `normal`; `cold` answers slowly, as with empty caches, " +
			"and under a full load becomes no warmer; `frozen` neither answers nor announces itself; `silent` answers, but does not announce itself",
		do: setBackend},
	{usage: "publish FILE",
		meaning: "publishes the configuration in a file of the script; `! publish FILE` expects a refusal",
		do:      func(r *run, a []string) error { return r.world.Publish([]byte(r.readFile(a[0]))) }, refusable: true},
	{usage: "load start NAME KIND SERVICE at RATE from DATA_CENTRE",
		meaning: "sends RATE requests a second over the whole key range until `load stop`; KIND is `reads` " +
			"(idempotent) or `writes` (non-idempotent, with request ids)",
		do: withCount(3, startLoad)},
	{usage: "load stop NAME", meaning: "ends a load and waits until its requests are answered or past their deadline",
		do: func(r *run, a []string) error { return r.world.StopLoad(a[0]) }},
	{usage: "advance DURATION", meaning: "lets time pass",
		do: withDuration(0, func(r *run, d time.Duration, _ []string) error { r.world.Advance(d); return nil })},
	{usage: "expect served SERVICE from DATA_CENTRE within DURATION",
		meaning: "a request to each slice of the service is done before the duration ends", do: withDuration(2, expectServed)},
	{usage: "expect refused SERVICE from DATA_CENTRE as REASON",
		meaning: "a request to each slice of the service is refused as not run, with this reason", do: expectRefused},
	{usage: "expect owners SERVICE COUNT within DURATION",
		meaning: "before the duration ends, this number of nodes serve all slices; at no moment two nodes serve the same one",
		do:      withDuration(2, expectOwners)},
	{usage: "expect once", meaning: "no non-idempotent request of the script ran more than once", do: expectOnce},
	{usage: "expect done NAME PERCENT", meaning: "of the requests of a load, at least this share was done", do: expectDone},
	{usage: "expect gap NAME DURATION",
		meaning: "no slice went longer than this without a request of the load done", do: withDuration(1, expectGap)},
}

// backendStates are the spellings of the states of backend servers.
var backendStates = map[string]BackendState{
	"normal": BackendNormal,
	"cold":   BackendCold,
	"frozen": BackendFrozen,
	"silent": BackendSilent,
}

// setBackend runs "backend".
func setBackend(r *run, args []string) error {
	state, ok := backendStates[args[1]]
	if !ok {
		return fmt.Errorf("%q is not a state; use normal, cold, frozen or silent", args[1])
	}
	return r.world.SetBackend(args[0], state)
}

// startLoad runs "load start".
func startLoad(r *run, rate int, args []string) error {
	kind := args[1]
	if kind != "reads" && kind != "writes" {
		return fmt.Errorf("%q is not a kind of load; use reads or writes", kind)
	}
	return r.world.StartLoad(Load{Name: args[0], Service: args[2], Writes: kind == "writes", Rate: rate, DataCentre: args[4]})
}

// withCount parses the argument at index as a positive number before do.
func withCount(index int, do func(*run, int, []string) error) func(*run, []string) error {
	return func(r *run, args []string) error {
		n, err := strconv.Atoi(args[index])
		if err != nil || n < 1 {
			return fmt.Errorf("%q is not a number from 1", args[index])
		}
		return do(r, n, args)
	}
}

// withDuration parses the argument at index as a duration before do.
func withDuration(index int, do func(*run, time.Duration, []string) error) func(*run, []string) error {
	return func(r *run, args []string) error {
		d, err := parseDuration(args[index])
		if err != nil {
			return err
		}
		return do(r, d, args)
	}
}

// parseDuration parses a positive duration with a unit.
func parseDuration(text string) (time.Duration, error) {
	d, err := time.ParseDuration(text)
	if err != nil || d <= 0 {
		return 0, fmt.Errorf("%q is not a duration over 0 with a unit", text)
	}
	return d, nil
}
