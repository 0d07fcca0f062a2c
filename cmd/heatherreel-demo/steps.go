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

// restrictedTenant has restrictedRegion as its only home region; unrestrictedTenant has no restriction.
const (
	restrictedTenant   = "alpha"
	restrictedRegion   = "emea-central"
	unrestrictedTenant = "beta"
)

// configurationTemplate is the published configuration document; %s stands for further exceptions.
const configurationTemplate = `regions:
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

// takenOutException takes data centre west-a out.
const takenOutException = `  - name: west-a-power-work
    reason: power work in west-a
    match: {data_centre: west-a}
    set: {taken_out: true}
`

// Limits of the steps. maxUnavailability, maxPropagation and maxDrain are targets of the system.
const (
	// maxUnavailability is the longest time that a key may be unavailable after its owner was lost.
	maxUnavailability = time.Second
	// maxPropagation is the longest time until a published configuration is in force on all nodes.
	maxPropagation = 10 * time.Second
	// maxDrain is the longest time until a data centre that was taken out owns no slices; the target is "a few
	// seconds".
	maxDrain = 5 * time.Second
	// settleTimeout is the longest time until all slices are owned and settled after a change of members.
	settleTimeout = 30 * time.Second
	// pollInterval is the time between two checks of a condition.
	pollInterval = 25 * time.Millisecond
)

// demo holds what the steps share.
type demo struct {
	fleet  *fleet
	client *requestClient
	// revision is the configuration revision published last.
	revision uint64
}

// step is one step of the demo; run returns a text that is appended to the printed line.
type step struct {
	name string
	run  func(context.Context) (string, error)
}

func (d *demo) steps() []step {
	return []step{
		{"start the log, 8 backend servers and 8 nodes in two regions", d.startFleet},
		{"publish the configuration with one exception", d.publishInitial},
		{"all slices are owned", d.waitAllOwned},
		{"write through one node and read through every other", d.writeAndRead},
		{"repeated sends of one request id run once", d.repeatRequest},
		{"explain a key that is restricted to one region", d.explainRestricted},
		{"a request for this key in another region is redirected", d.redirectRestricted},
		{"a conflicting publication is refused", d.rejectConflict},
		{"kill a node: a key that it owned is served again within 1 s", d.killNode},
		{"start the node again as a new incarnation", d.restartNode},
		{"stop a node: no request fails", d.stopNode},
		{"take a data centre out: it drains and no request fails", d.takeOutDataCentre},
		{"bring the data centre back: no request fails", d.bringBackDataCentre},
		{"no request ran twice", d.checkNoDuplicates},
	}
}

// poll calls check every pollInterval until it returns nil or the timeout has passed.
func poll(ctx context.Context, timeout time.Duration, check func() error) error {
	return launch.Poll(ctx, timeout, pollInterval, check)
}

func (d *demo) startFleet(ctx context.Context) (string, error) {
	d.client = newRequestClient()
	return "", d.fleet.startAll()
}

// publish publishes the configuration with further exceptions and waits until it is in force on all running nodes. The
// returned text states how long that took.
func (d *demo) publish(ctx context.Context, exceptions, note string) (string, error) {
	path := filepath.Join(d.fleet.options.logs, "configuration.yaml")
	document := fmt.Sprintf(configurationTemplate, exceptions)
	if err := os.WriteFile(path, []byte(document), 0o644); err != nil {
		return "", err
	}
	out, err := d.fleet.runCtl(ctx, "publish", path, "--base", fmt.Sprint(d.revision), "--note", note,
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
	err = poll(ctx, maxPropagation, func() error { return d.checkRevision(ctx, d.revision) })
	return fmt.Sprintf(": revision %d in force everywhere after %v", d.revision, time.Since(began).Round(time.Millisecond)), err
}

// checkRevision returns an error unless the revision is in force on every running node.
func (d *demo) checkRevision(ctx context.Context, revision uint64) error {
	for _, inst := range d.fleet.instances {
		if inst.nodeProcess == nil {
			continue
		}
		status, err := operator.NewClient(inst.operatorsAddress).Status(ctx)
		if err != nil {
			return err
		}
		if uint64(status.Revision) != revision {
			return fmt.Errorf("%s still has revision %d", inst.name, status.Revision)
		}
	}
	return nil
}

func (d *demo) publishInitial(ctx context.Context) (string, error) {
	return d.publish(ctx, "", "first")
}

// status queries the operators address of a node.
func (d *demo) status(ctx context.Context, inst *instance) (operator.Status, error) {
	return operator.NewClient(inst.operatorsAddress).Status(ctx)
}

// checkAllOwned returns an error unless the node reports the wanted number of members and two groups, one for each list
// of home regions in the configuration, and all slices are owned and settled.
func (d *demo) checkAllOwned(ctx context.Context, inst *instance, members int) error {
	status, err := d.status(ctx, inst)
	if err != nil {
		return err
	}
	if len(status.Members) != members || len(status.Groups) != 2 {
		return fmt.Errorf("the status lists %d members and %d groups", len(status.Members), len(status.Groups))
	}
	for _, g := range status.Groups {
		if g.Unowned > 0 || g.Unsettled > 0 {
			return fmt.Errorf("group %s %v: %d unowned and %d unsettled slices", g.Service, g.Home, g.Unowned, g.Unsettled)
		}
	}
	return nil
}

// waitAllOwned waits until the status shows all slices as owned, then until reads of 64 keys are done.
func (d *demo) waitAllOwned(ctx context.Context) (string, error) {
	err := poll(ctx, settleTimeout, func() error { return d.checkAllOwned(ctx, d.fleet.instances[0], len(locations)) })
	if err != nil {
		return "", err
	}
	return "", poll(ctx, settleTimeout, func() error {
		for n := range 64 {
			if _, err := d.client.requireDone(
				ctx, d.fleet.instances[n%len(locations)], newRead(unrestrictedTenant, fmt.Sprint("probe-", n)),
			); err != nil {
				return err
			}
		}
		return nil
	})
}

func (d *demo) writeAndRead(ctx context.Context) (string, error) {
	instances := d.fleet.instances
	if _, err := d.client.requireDone(ctx, instances[0], newWrite(unrestrictedTenant, "position-1", "42")); err != nil {
		return "", err
	}
	for _, inst := range instances {
		answer, err := d.client.requireDone(ctx, inst, newRead(unrestrictedTenant, "position-1"))
		if err != nil {
			return "", err
		}
		if string(answer.Body) != "42" {
			return "", fmt.Errorf("read %q through %s, want 42", answer.Body, inst.name)
		}
	}
	return "", nil
}

func (d *demo) repeatRequest(ctx context.Context) (string, error) {
	r := newWrite(unrestrictedTenant, "order-1", "ton")
	for n := range 3 {
		if _, err := d.client.requireDone(ctx, d.fleet.instances[2*n], r); err != nil {
			return "", err
		}
	}
	answer, err := d.client.requireDone(ctx, d.fleet.instances[1], newRead(unrestrictedTenant, "order-1"))
	if err == nil && string(answer.Body) != "ton" {
		err = fmt.Errorf("read %q after one write was sent three times, want ton", answer.Body)
	}
	return "", err
}

func (d *demo) explainRestricted(ctx context.Context) (string, error) {
	out, err := d.fleet.runCtl(ctx, "explain", "contract-7", "--service", service, "--tenant", restrictedTenant)
	if err != nil {
		return "", err
	}
	for _, want := range []string{restrictedRegion, "court order"} {
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

func (d *demo) redirectRestricted(ctx context.Context) (string, error) {
	west, central := d.fleet.instances[0], d.fleet.instances[4]
	if _, err := d.client.requireDone(ctx, central, newWrite(restrictedTenant, "contract-7", "kept")); err != nil {
		return "", err
	}
	answer, err := d.client.send(ctx, west, newRead(restrictedTenant, "contract-7"))
	if err != nil {
		return "", err
	}
	if answer.Outcome != request.NotRun || answer.Location == "" {
		return "", fmt.Errorf("a request outside of the home region was answered with %s, %s, location %q",
			answer.Outcome, answer.Reason, answer.Location)
	}
	return fmt.Sprintf(": %s redirects to %s", west.name, answer.Location), nil
}

func (d *demo) rejectConflict(ctx context.Context) (string, error) {
	path := filepath.Join(d.fleet.options.logs, "configuration.yaml")
	_, err := d.fleet.runCtl(ctx, "publish", path, "--base", "0", "--note", "outdated", "--author", "rival")
	if err == nil {
		return "", errors.New("a publication with an outdated base revision was accepted")
	}
	return ": " + strings.SplitN(err.Error(), "\n", 2)[0], nil
}

// killNode kills a node and its backend server, and measures how long one of its keys is unavailable.
func (d *demo) killNode(ctx context.Context) (string, error) {
	target, other := d.fleet.instances[3], d.fleet.instances[0]
	key, err := d.findKey(ctx, target)
	if err != nil {
		return "", err
	}
	killed := time.Now()
	target.nodeProcess.Kill()
	target.backendProcess.Kill()
	target.nodeProcess, target.backendProcess = nil, nil
	r := newRead(unrestrictedTenant, key)
	if _, err := d.client.requireDone(ctx, other, r); err != nil {
		return "", err
	}
	took := time.Since(killed)
	if took > maxUnavailability {
		return "", fmt.Errorf("a key of the killed node was served again after %v, target %v", took, maxUnavailability)
	}
	return fmt.Sprintf(": after %v", took.Round(time.Millisecond)), nil
}

// findKey returns a key whose slice the instance owns.
func (d *demo) findKey(ctx context.Context, owner *instance) (string, error) {
	client := operator.NewClient(d.fleet.instances[0].operatorsAddress)
	for n := range 10_000 {
		key := fmt.Sprintf("search-%d", n)
		explanation, err := client.Explain(ctx, operator.ExplainQuery{Service: service, Tenant: unrestrictedTenant, Key: key})
		if err != nil {
			return "", err
		}
		if explanation.Owner != nil && explanation.Owner.Instance == owner.name {
			return key, nil
		}
	}
	return "", fmt.Errorf("no key found that %s owns", owner.name)
}

func (d *demo) restartNode(ctx context.Context) (string, error) {
	target := d.fleet.instances[3]
	if err := errors.Join(d.fleet.startNode(target), d.fleet.startBackendServer(target)); err != nil {
		return "", err
	}
	return "", poll(ctx, settleTimeout, func() error {
		if err := d.checkAllOwned(ctx, d.fleet.instances[0], len(locations)); err != nil {
			return err
		}
		return d.checkSliceCount(ctx, target, func(slices int) bool { return slices > 0 })
	})
}

// checkSliceCount returns an error unless accept holds for the number of slices that the instance owns. It queries
// instance 4, which no step stops or takes out.
func (d *demo) checkSliceCount(ctx context.Context, inst *instance, accept func(slices int) bool) error {
	status, err := d.status(ctx, d.fleet.instances[4])
	if err != nil {
		return err
	}
	for _, m := range status.Members {
		if m.Instance == inst.name && accept(m.Slices) {
			return nil
		}
	}
	return fmt.Errorf("%s is not a member or owns an unexpected number of slices", inst.name)
}

// runningInstances returns the running instances for which include returns true.
func (d *demo) runningInstances(include func(*instance) bool) []*instance {
	var list []*instance
	for _, inst := range d.fleet.instances {
		if inst.nodeProcess != nil && include(inst) {
			list = append(list, inst)
		}
	}
	return list
}

// stopNode terminates a node while the other nodes receive requests, checks that none fails, and starts the node again.
func (d *demo) stopNode(ctx context.Context) (string, error) {
	target := d.fleet.instances[5]
	stopLoad := d.client.startLoad(ctx, d.runningInstances(func(inst *instance) bool { return inst != target }))
	err := target.nodeProcess.Terminate(ctx)
	counts := stopLoad()
	target.backendProcess.Kill()
	target.nodeProcess, target.backendProcess = nil, nil
	if err == nil && counts.failed() > 0 {
		err = fmt.Errorf("requests failed: %s", counts)
	}
	if err != nil {
		return "", err
	}
	return ": " + counts.String(), errors.Join(d.fleet.startNode(target), d.fleet.startBackendServer(target),
		poll(ctx, settleTimeout, func() error { return d.checkAllOwned(ctx, d.fleet.instances[0], len(locations)) }))
}

// takeOutDataCentre takes a data centre out while the other data centres receive requests. It checks that the nodes of
// the data centre own no slices within maxDrain and that no request fails.
func (d *demo) takeOutDataCentre(ctx context.Context) (string, error) {
	ownsSlices := func(slices int) bool { return slices > 0 }
	err := errors.Join(
		d.checkSliceCount(ctx, d.fleet.instances[0], ownsSlices),
		d.checkSliceCount(ctx, d.fleet.instances[1], ownsSlices))
	if err != nil {
		return "", fmt.Errorf("before taking the data centre out: %w", err)
	}
	stopLoad := d.client.startLoad(ctx, d.runningInstances(func(inst *instance) bool { return inst.dataCentre != "west-a" }))
	note, err := d.publish(ctx, takenOutException, "power work")
	began := time.Now()
	if err == nil {
		err = poll(ctx, maxDrain, func() error {
			return errors.Join(
				d.checkSliceCount(ctx, d.fleet.instances[0], func(slices int) bool { return slices == 0 }),
				d.checkSliceCount(ctx, d.fleet.instances[1], func(slices int) bool { return slices == 0 }))
		})
	}
	drained := time.Since(began).Round(time.Millisecond)
	counts := stopLoad()
	if err == nil && counts.failed() > 0 {
		err = fmt.Errorf("requests failed: %s", counts)
	}
	return fmt.Sprintf("%s, drained after %v: %s", note, drained, counts), err
}

func (d *demo) bringBackDataCentre(ctx context.Context) (string, error) {
	stopLoad := d.client.startLoad(ctx, d.runningInstances(func(*instance) bool { return true }))
	note, err := d.publish(ctx, "", "power work is done")
	if err == nil {
		err = poll(ctx, settleTimeout, func() error {
			return errors.Join(d.checkAllOwned(ctx, d.fleet.instances[0], len(locations)),
				d.checkSliceCount(ctx, d.fleet.instances[0], func(slices int) bool { return slices > 0 }))
		})
	}
	counts := stopLoad()
	if err == nil && counts.failed() > 0 {
		err = fmt.Errorf("requests failed: %s", counts)
	}
	return fmt.Sprintf("%s: %s", note, counts), err
}

// checkNoDuplicates reads from each backend server the request ids that it ran more than once.
func (d *demo) checkNoDuplicates(ctx context.Context) (string, error) {
	executed := 0
	for _, inst := range d.runningInstances(func(*instance) bool { return true }) {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+inst.backendAddress+fake.ReportPath, nil)
		if err != nil {
			return "", err
		}
		response, err := http.DefaultClient.Do(req)
		if err != nil {
			return "", err
		}
		var report fake.Report
		err = errors.Join(json.NewDecoder(response.Body).Decode(&report), response.Body.Close())
		if err != nil {
			return "", err
		}
		if len(report.Duplicates) > 0 {
			return "", fmt.Errorf("the backend server of %s ran %d request ids more than once", inst.name, len(report.Duplicates))
		}
		executed += report.Executed
	}
	return fmt.Sprintf(": %d executions at the running backend servers", executed), nil
}
