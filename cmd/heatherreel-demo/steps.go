package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"time"

	"heatherreel/internal/fake"
	"heatherreel/internal/launch"
	"heatherreel/internal/operator"
	"heatherreel/internal/request"
)

// Keys and tenants of the demo.
const (
	confinedTenant = "alpha"
	confinedRegion = "emea-central"
	freeTenant     = "beta"
)

// configuration is the first document; %s is where further exceptions go.
const configuration = `regions:
  emea-west: {data_centres: [west-a, west-b]}
  emea-central: {data_centres: [central-a, central-b]}
services: [orders]
tenants: [alpha, beta]
defaults:
  home_regions: any
  deadline: 2s
  slices: 64
  checks_grants: true
exceptions:
  - name: alpha-under-court-order
    reason: records of the acquired firm, held in emea-central under court order
    match: {tenant: alpha}
    set: {home_regions: [emea-central]}
%s`

// takenOut is the exception that takes a data centre out.
const takenOut = `  - name: west-a-power-work
    reason: power work in west-a
    match: {data_centre: west-a}
    set: {taken_out: true}
`

// Limits that the steps check, from the stated targets.
const (
	// maxUnavailable is within which time a key is served again after a loss.
	maxUnavailable = time.Second
	// maxPropagation is within which time a configuration is in force everywhere.
	maxPropagation = 10 * time.Second
	// maxDrain is "a few seconds" after which a data centre that is taken out receives no new work.
	maxDrain = 5 * time.Second
	// settleTimeout is how long the fleet may take to assign all slices.
	settleTimeout = 30 * time.Second
	checkInterval = 25 * time.Millisecond
)

// demo runs the steps on a fleet.
type demo struct {
	fleet    *fleet
	callers  *callers
	revision uint64
}

// step is one step; do returns a note for the printed line.
type step struct {
	name string
	do   func(context.Context) (string, error)
}

func (d *demo) steps() []step {
	return []step{
		{"start the log, 8 backend servers and 8 nodes in two regions", d.start},
		{"publish the configuration with one exception", d.publishFirst},
		{"all slices are owned", d.allOwned},
		{"write through one node and read through every other", d.readAndWrite},
		{"a repeated request id runs once", d.repeatRequest},
		{"explain a confined key", d.explainConfined},
		{"a confined request outside its region is redirected", d.redirectConfined},
		{"a conflicting publication is refused", d.conflict},
		{"kill a node: its keys are served again within 1 s", d.killNode},
		{"start it again as a new incarnation", d.restartNode},
		{"stop a node: no request is cut", d.stopNode},
		{"take a data centre out: it drains and no request fails", d.takeOut},
		{"bring it back", d.bringBack},
		{"no request ran twice", d.noDuplicates},
	}
}

// poll calls check until it returns nil or the timeout has passed.
func poll(ctx context.Context, timeout time.Duration, check func() error) error {
	return launch.Poll(ctx, timeout, checkInterval, check)
}

func (d *demo) start(ctx context.Context) (string, error) {
	d.callers = newCallers()
	return "", d.fleet.startAll()
}

// publish publishes a document and waits until it is in force on all running nodes.
func (d *demo) publish(ctx context.Context, exceptions, note string) (string, error) {
	path := filepath.Join(d.fleet.o.logs, "configuration.yaml")
	document := fmt.Sprintf(configuration, exceptions)
	if err := os.WriteFile(path, []byte(document), 0o644); err != nil {
		return "", err
	}
	out, err := d.fleet.control(ctx, "publish", path, "--base", fmt.Sprint(d.revision), "--note", note,
		"--author", "demo", "-o", "json")
	if err != nil {
		return "", err
	}
	var published struct {
		Revision uint64 `json:"revision"`
	}
	if err := json.Unmarshal(out, &published); err != nil {
		return "", fmt.Errorf("output of publish: %w: %s", err, out)
	}
	d.revision = published.Revision
	began := time.Now()
	err = poll(ctx, maxPropagation, func() error { return d.inForce(ctx, d.revision) })
	return fmt.Sprintf(": revision %d in force everywhere after %v", d.revision, time.Since(began).Round(time.Millisecond)), err
}

// inForce checks that every running node has a revision in force.
func (d *demo) inForce(ctx context.Context, revision uint64) error {
	for _, i := range d.fleet.instances {
		if i.node == nil {
			continue
		}
		status, err := operator.NewClient(i.operators).Status(ctx)
		if err != nil {
			return err
		}
		if uint64(status.Revision) != revision {
			return fmt.Errorf("%s has revision %d", i.name, status.Revision)
		}
	}
	return nil
}

func (d *demo) publishFirst(ctx context.Context) (string, error) {
	return d.publish(ctx, "", "first")
}

// status asks a node.
func (d *demo) status(ctx context.Context, i *instance) (operator.Status, error) {
	return operator.NewClient(i.operators).Status(ctx)
}

// owned checks that the wanted number of members own all slices of both groups.
func (d *demo) owned(ctx context.Context, i *instance, members int) error {
	status, err := d.status(ctx, i)
	if err != nil {
		return err
	}
	if len(status.Members) != members || len(status.Groups) != 2 {
		return fmt.Errorf("%d members, %d groups", len(status.Members), len(status.Groups))
	}
	for _, g := range status.Groups {
		if g.Unowned > 0 || g.Unsettled > 0 {
			return fmt.Errorf("group %s %v: %d unowned, %d unsettled", g.Service, g.Home, g.Unowned, g.Unsettled)
		}
	}
	return nil
}

func (d *demo) allOwned(ctx context.Context) (string, error) {
	err := poll(ctx, settleTimeout, func() error { return d.owned(ctx, d.fleet.instances[0], len(places)) })
	if err != nil {
		return "", err
	}
	return "", poll(ctx, settleTimeout, func() error {
		for n := range 64 {
			if _, err := d.callers.mustRun(ctx, d.fleet.instances[n%len(places)], read(freeTenant, fmt.Sprint("probe-", n))); err != nil {
				return err
			}
		}
		return nil
	})
}

func (d *demo) readAndWrite(ctx context.Context) (string, error) {
	instances := d.fleet.instances
	if _, err := d.callers.mustRun(ctx, instances[0], write(freeTenant, "position-1", "42")); err != nil {
		return "", err
	}
	for _, i := range instances {
		answer, err := d.callers.mustRun(ctx, i, read(freeTenant, "position-1"))
		if err != nil {
			return "", err
		}
		if string(answer.Body) != "42" {
			return "", fmt.Errorf("read %q through %s, want 42", answer.Body, i.name)
		}
	}
	return "", nil
}

func (d *demo) repeatRequest(ctx context.Context) (string, error) {
	r := write(freeTenant, "order-1", "ton")
	for n := range 3 {
		if _, err := d.callers.mustRun(ctx, d.fleet.instances[2*n], r); err != nil {
			return "", err
		}
	}
	answer, err := d.callers.mustRun(ctx, d.fleet.instances[1], read(freeTenant, "order-1"))
	if err == nil && string(answer.Body) != "ton" {
		err = fmt.Errorf("value %q after three sends of one write, want ton", answer.Body)
	}
	return "", err
}

func (d *demo) explainConfined(ctx context.Context) (string, error) {
	out, err := d.fleet.control(ctx, "explain", "contract-7", "--service", service, "--tenant", confinedTenant)
	if err != nil {
		return "", err
	}
	for _, want := range []string{confinedRegion, "court order"} {
		if !strings.Contains(string(out), want) {
			return "", fmt.Errorf("explain does not mention %q:\n%s", want, out)
		}
	}
	return "\n" + indent(string(out)), nil
}

// indent indents the lines of a text.
func indent(text string) string {
	return "      " + strings.ReplaceAll(strings.TrimSpace(text), "\n", "\n      ")
}

func (d *demo) redirectConfined(ctx context.Context) (string, error) {
	west, central := d.fleet.instances[0], d.fleet.instances[4]
	if _, err := d.callers.mustRun(ctx, central, write(confinedTenant, "contract-7", "kept")); err != nil {
		return "", err
	}
	answer, err := d.callers.send(ctx, west, read(confinedTenant, "contract-7"))
	if err != nil {
		return "", err
	}
	if answer.Outcome != request.NotRun || answer.Location == "" {
		return "", fmt.Errorf("answer %s, %s, location %q", answer.Outcome, answer.Reason, answer.Location)
	}
	return fmt.Sprintf(": %s names %s", west.name, answer.Location), nil
}

func (d *demo) conflict(ctx context.Context) (string, error) {
	path := filepath.Join(d.fleet.o.logs, "configuration.yaml")
	_, err := d.fleet.control(ctx, "publish", path, "--base", "0", "--note", "outdated", "--author", "rival")
	if err == nil {
		return "", errors.New("a publication on an outdated base was accepted")
	}
	return ": " + strings.SplitN(err.Error(), "\n", 2)[0], nil
}

// killNode kills a node with its backend server and measures how long its keys are not served.
func (d *demo) killNode(ctx context.Context) (string, error) {
	victim, other := d.fleet.instances[3], d.fleet.instances[0]
	key, err := d.keyOf(ctx, victim)
	if err != nil {
		return "", err
	}
	killed := time.Now()
	victim.node.Kill()
	victim.server.Kill()
	victim.node, victim.server = nil, nil
	r := read(freeTenant, key)
	if _, err := d.callers.mustRun(ctx, other, r); err != nil {
		return "", err
	}
	took := time.Since(killed)
	if took > maxUnavailable {
		return "", fmt.Errorf("a key of the node was served again after %v, target %v", took, maxUnavailable)
	}
	return fmt.Sprintf(": after %v", took.Round(time.Millisecond)), nil
}

// keyOf returns a key that an instance owns.
func (d *demo) keyOf(ctx context.Context, owner *instance) (string, error) {
	client := operator.NewClient(d.fleet.instances[0].operators)
	for n := range 10_000 {
		key := fmt.Sprintf("search-%d", n)
		x, err := client.Explain(ctx, operator.ExplainQuery{Service: service, Tenant: freeTenant, Key: key})
		if err != nil {
			return "", err
		}
		if x.Owner != nil && x.Owner.Instance == owner.name {
			return key, nil
		}
	}
	return "", fmt.Errorf("no key of %s found", owner.name)
}

func (d *demo) restartNode(ctx context.Context) (string, error) {
	victim := d.fleet.instances[3]
	if err := errors.Join(d.fleet.startNode(victim), d.fleet.startServer(victim)); err != nil {
		return "", err
	}
	return "", poll(ctx, settleTimeout, func() error {
		if err := d.owned(ctx, d.fleet.instances[0], len(places)); err != nil {
			return err
		}
		return d.shareOf(ctx, victim, func(slices int) bool { return slices > 0 })
	})
}

// shareOf checks the number of slices of an instance.
func (d *demo) shareOf(ctx context.Context, of *instance, accept func(slices int) bool) error {
	status, err := d.status(ctx, d.fleet.instances[4])
	if err != nil {
		return err
	}
	for _, m := range status.Members {
		if m.Instance == of.name && accept(m.Slices) {
			return nil
		}
	}
	return fmt.Errorf("%s has another share than wanted", of.name)
}

// others returns the running instances that pass.
func (d *demo) others(pass func(*instance) bool) []*instance {
	var list []*instance
	for _, i := range d.fleet.instances {
		if i.node != nil && pass(i) {
			list = append(list, i)
		}
	}
	return list
}

// stopNode stops a node under load and starts it again.
func (d *demo) stopNode(ctx context.Context) (string, error) {
	victim := d.fleet.instances[5]
	stop := d.callers.load(ctx, d.others(func(i *instance) bool { return i != victim }))
	err := victim.node.Terminate(ctx)
	t := stop()
	victim.server.Kill()
	victim.node, victim.server = nil, nil
	if err == nil && t.failed() > 0 {
		err = fmt.Errorf("requests failed: %s", t)
	}
	if err != nil {
		return "", err
	}
	return ": " + t.String(), errors.Join(d.fleet.startNode(victim), d.fleet.startServer(victim),
		poll(ctx, settleTimeout, func() error { return d.owned(ctx, d.fleet.instances[0], len(places)) }))
}

// takeOut takes a data centre out under load and checks that its nodes own nothing after a few seconds.
func (d *demo) takeOut(ctx context.Context) (string, error) {
	owning := func(slices int) bool { return slices > 0 }
	err := errors.Join(d.shareOf(ctx, d.fleet.instances[0], owning), d.shareOf(ctx, d.fleet.instances[1], owning))
	if err != nil {
		return "", fmt.Errorf("before the data centre is taken out: %w", err)
	}
	stop := d.callers.load(ctx, d.others(func(i *instance) bool { return i.dataCentre != "west-a" }))
	note, err := d.publish(ctx, takenOut, "power work")
	began := time.Now()
	if err == nil {
		err = poll(ctx, maxDrain, func() error {
			return errors.Join(
				d.shareOf(ctx, d.fleet.instances[0], func(slices int) bool { return slices == 0 }),
				d.shareOf(ctx, d.fleet.instances[1], func(slices int) bool { return slices == 0 }))
		})
	}
	drained := time.Since(began).Round(time.Millisecond)
	t := stop()
	if err == nil && t.failed() > 0 {
		err = fmt.Errorf("requests failed: %s", t)
	}
	return fmt.Sprintf("%s, drained after %v: %s", note, drained, t), err
}

func (d *demo) bringBack(ctx context.Context) (string, error) {
	stop := d.callers.load(ctx, d.others(func(*instance) bool { return true }))
	note, err := d.publish(ctx, "", "power work is done")
	if err == nil {
		err = poll(ctx, settleTimeout, func() error {
			return errors.Join(d.owned(ctx, d.fleet.instances[0], len(places)),
				d.shareOf(ctx, d.fleet.instances[0], func(slices int) bool { return slices > 0 }))
		})
	}
	t := stop()
	if err == nil && t.failed() > 0 {
		err = fmt.Errorf("requests failed: %s", t)
	}
	return fmt.Sprintf("%s: %s", note, t), err
}

// noDuplicates asks the backend servers which request ids they ran more than once.
func (d *demo) noDuplicates(ctx context.Context) (string, error) {
	executed := 0
	for _, i := range d.others(func(*instance) bool { return true }) {
		q, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+i.backend+fake.ReportPath, nil)
		if err != nil {
			return "", err
		}
		reply, err := http.DefaultClient.Do(q)
		if err != nil {
			return "", err
		}
		var report fake.Report
		err = errors.Join(json.NewDecoder(reply.Body).Decode(&report), reply.Body.Close())
		if err != nil {
			return "", err
		}
		if len(report.Duplicates) > 0 {
			return "", fmt.Errorf("%s ran %d request ids twice", i.name, len(report.Duplicates))
		}
		executed += report.Executed
	}
	return fmt.Sprintf(": %d executions at the running backend servers", executed), nil
}
