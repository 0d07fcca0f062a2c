package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptrace"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// sent is one request of a client.
type sent struct {
	id         string
	idempotent bool
	method     string
	path       string
	body       string
	key        int
	at         time.Time
	via        int
	status     int
	answered   time.Time
	err        string
}

// run is one run at a target.
type run struct {
	id, target string
	key        int
	fence      uint64
	at         time.Time
}

// drainTime is drain_ms.
const drainTime = 2 * time.Second

// checker compares what clients sent and got with what targets ran.
type checker struct {
	rec *recorder
	mu  sync.Mutex
	// sent by id; runs by id.
	sent map[string]*sent
	runs map[string][]run
	all  []run
	// faults are broken rules.
	faults map[string][]string
	// overlaps are the spans of time in which two targets held the same keys.
	overlaps []overlap
}

type overlap struct {
	a, b         string
	from, to     int
	fenceA       uint64
	fenceB       uint64
	began, ended time.Time
}

func newChecker(rec *recorder) *checker {
	return &checker{rec: rec, sent: map[string]*sent{}, runs: map[string][]run{}, faults: map[string][]string{}}
}

func (c *checker) fault(rule, format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	c.rec.log("BROKEN %s: %s", rule, text)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.faults[rule] = append(c.faults[rule], text)
}

// ran records that a target began to work on a request.
func (c *checker) ran(t *target, id string, r *http.Request, body []byte, key int, fence uint64) {
	t.mu.Lock()
	leftAt := t.leftAt
	t.mu.Unlock()
	if late := time.Since(leftAt); !leftAt.IsZero() && late > drainTime {
		c.fault("DRAIN", "target %s ran %s %v after its leaving was acknowledged", t.id, id, late.Round(time.Millisecond))
	}
	c.rec.log("run: %s at %s (%s) key %d fence %d", id, t.id, t.service, key, fence)
	c.mu.Lock()
	defer c.mu.Unlock()
	x := run{id, t.id, key, fence, time.Now()}
	c.runs[id] = append(c.runs[id], x)
	c.all = append(c.all, x)
	s := c.sent[id]
	switch {
	case s == nil:
		c.faults["UNASKED"] = append(c.faults["UNASKED"], "nobody sent "+id)
	case s.method != r.Method || s.path != r.RequestURI || s.body != string(body):
		c.faults["UNASKED"] = append(c.faults["UNASKED"], fmt.Sprintf("%s ran as %s %s", id, r.Method, r.RequestURI))
	}
}

// client sends the requests of one machine.
type client struct {
	check *checker
	m     *machine
	http  *http.Client
}

func newClient(c *checker, m *machine) *client {
	return &client{check: c, m: m, http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, DisableCompression: true},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}}
}

// send sends one client attempt and checks its answer.
func (cl *client) send(ctx context.Context, host, method, path, body string, idempotent bool, key int, deadline time.Duration) *sent {
	s := &sent{id: fmt.Sprintf("%016x", rand.Uint64()), idempotent: idempotent, method: method, path: path, body: body, key: key, at: time.Now(), via: cl.m.index}
	cl.check.mu.Lock()
	cl.check.sent[s.id] = s
	cl.check.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, deadline)
	defer cancel()
	// The client attempt is written once: net/http must not repeat it by itself.
	connections := 0
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) {
		if connections++; connections > 1 {
			cancel()
		}
	}})
	r, _ := http.NewRequestWithContext(ctx, method, fmt.Sprintf("http://%s:%d%s", cl.m.ip, outboundPort, path), nil)
	if body != "" {
		r.Body, r.ContentLength = io.NopCloser(strings.NewReader(body)), int64(len(body))
	} else {
		// A body that net/http cannot rewind.
		r.Body, r.ContentLength = io.NopCloser(bytes.NewReader(nil)), 0
	}
	r.Host = host
	r.Header.Set("Heatherreel-Request-Id", s.id)
	r.Header.Set("Heatherreel-Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	if key >= 0 {
		r.Header.Set("Heatherreel-Shard-Key", strconv.Itoa(key))
	}
	resp, err := cl.http.Do(r)
	var data []byte
	if err == nil {
		data, err = io.ReadAll(resp.Body)
		resp.Body.Close()
	}
	s.answered = time.Now()
	if err != nil {
		s.err = err.Error()
		cl.check.rec.log("client at %d: %s %s %s key %d: %v", cl.m.index, s.id, method, path, key, err)
		return s
	}
	s.status = resp.StatusCode
	cl.check.rec.log("client at %d: %s %s %s key %d: %d %s after %d ms", cl.m.index, s.id, method, path, key, s.status,
		resp.Header.Get("Heatherreel-Reason"), time.Since(s.at).Milliseconds())
	if s.status/100 == 2 {
		if resp.Header.Get("Heatherreel-Response-Signature") != signature(data) || !strings.HasPrefix(string(data), "answer to "+s.id+" from ") {
			cl.check.fault("MIXED", "%s got %q", s.id, data)
		}
	}
	return s
}

// watchHolds records when two targets of one service hold the same keys, until ctx ends.
func (c *checker) watchHolds(ctx context.Context, f *fleet) {
	open := map[string]*overlap{}
	for ctx.Err() == nil {
		now := time.Now()
		seen := map[string]bool{}
		for i, a := range f.machines {
			if !a.target.sharded {
				continue
			}
			for _, b := range f.machines[i+1:] {
				if b.target.service != a.target.service {
					continue
				}
				for _, ra := range a.target.countedRows(now) {
					for _, rb := range b.target.countedRows(now) {
						from, to := max(ra.from, rb.from), min(ra.to, rb.to)
						if from > to {
							continue
						}
						name := fmt.Sprint(a.target.id, b.target.id, from, to)
						seen[name] = true
						if open[name] == nil {
							open[name] = &overlap{a: a.target.id, b: b.target.id, from: from, to: to, fenceA: ra.fence, fenceB: rb.fence, began: now}
							c.rec.log("holds: %s (fence %d) and %s (fence %d) both hold keys %d to %d", a.target.id, ra.fence, b.target.id, rb.fence, from, to)
						}
						open[name].ended = now
					}
				}
			}
		}
		for name, o := range open {
			if !seen[name] {
				c.rec.log("holds: %s and %s held keys %d to %d together for %v", o.a, o.b, o.from, o.to, o.ended.Sub(o.began).Round(time.Millisecond))
				c.mu.Lock()
				c.overlaps = append(c.overlaps, *o)
				c.mu.Unlock()
				delete(open, name)
			}
		}
		time.Sleep(10 * time.Millisecond)
	}
	for _, o := range open {
		c.mu.Lock()
		c.overlaps = append(c.overlaps, *o)
		c.mu.Unlock()
	}
}

// verdict checks the rules over the whole run.
func (c *checker) verdict() map[string][]string {
	c.mu.Lock()
	defer c.mu.Unlock()
	add := func(rule, text string) {
		c.faults[rule] = append(c.faults[rule], text)
	}
	for id, s := range c.sent {
		runs := c.runs[id]
		if s.idempotent {
			continue
		}
		if len(runs) > 1 {
			add("TWICE", fmt.Sprintf("%s ran %d times, at %s and %s", id, len(runs), runs[0].target, runs[1].target))
		}
		switch s.status {
		case 408, 421, 429, 503:
			if len(runs) > 0 {
				add("REFUSED", fmt.Sprintf("%s was answered %d and ran at %s", id, s.status, runs[0].target))
			}
		}
	}
	for _, o := range c.overlaps {
		text := fmt.Sprintf("%s (fence %d) and %s (fence %d) both held keys %d to %d for %v", o.a, o.fenceA, o.b, o.fenceB, o.from, o.to, o.ended.Sub(o.began).Round(time.Millisecond))
		if o.ended.Sub(o.began) > 500*time.Millisecond {
			add("OWNER", text)
		}
		var beganA, beganB int
		for _, r := range c.all {
			if o.from <= r.key && r.key <= o.to && !r.at.Before(o.began) && !r.at.After(o.ended) {
				switch r.target {
				case o.a:
					beganA++
				case o.b:
					beganB++
				}
			}
		}
		if beganA > 0 && beganB > 0 {
			add("OWNER", text+fmt.Sprintf(", and began %d and %d requests on them", beganA, beganB))
		}
	}
	for _, list := range c.faults {
		sort.Strings(list)
	}
	return c.faults
}

// summary counts the answers.
func (c *checker) summary() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	counts := map[string]int{}
	for _, s := range c.sent {
		kind := "idempotent"
		if !s.idempotent {
			kind = "non_idempotent"
		}
		what := strconv.Itoa(s.status)
		if s.status == 0 {
			what = "closed"
		}
		counts[kind+" "+what]++
	}
	var lines []string
	for k, n := range counts {
		lines = append(lines, fmt.Sprintf("%s: %d", k, n))
	}
	sort.Strings(lines)
	return strings.Join(lines, ", ")
}
