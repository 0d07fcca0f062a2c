package gateway

import (
	"time"

	"heatherreel/internal/lockorder"
	"heatherreel/internal/route"
	"heatherreel/internal/routed"
	"heatherreel/internal/storeera"
)

// routeTable holds the configuration in force. mu guards all fields; it has rank lockorder.Routes.
type routeTable struct {
	mu       *lockorder.Mutex
	table    *route.Table
	splitter *route.Splitter
	// evacuated holds the time at which the evacuation of each data centre became known. evacuatedBefore is its state
	// before the snapshot that is being applied.
	evacuated, evacuatedBefore map[string]time.Time
	// kept are the evacuations that a rollback of the store does not end at once.
	kept storeera.Evacuations
	// answerSizes are the average sizes of answers by route, in bytes.
	answerSizes map[string]int
}

func newRouteTable() *routeTable {
	return &routeTable{mu: lockorder.New(lockorder.Routes), splitter: route.NewSplitter(), evacuated: map[string]time.Time{},
		answerSizes: map[string]int{}}
}

func (t *routeTable) current() *route.Table {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.table
}

// revision returns the revision in force; 0 if there is none.
func (t *routeTable) revision() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.table == nil {
		return 0
	}
	return t.table.Revision
}

// put installs a table of a higher revision; a lower or equal one is ignored.
func (t *routeTable) put(table *route.Table) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.table != nil && !table.Supersedes(t.table) {
		return false
	}
	t.table = table
	t.splitter.Prune(table)
	// The set of routes may have changed; the sizes are soon measured again.
	t.answerSizes = map[string]int{}
	return true
}

// beginSnapshot clears all evacuations, since their end may have been missed. Those that the snapshot contains keep
// their start time.
func (t *routeTable) beginSnapshot() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.evacuatedBefore, t.evacuated = t.evacuated, map[string]time.Time{}
	for name, since := range t.evacuatedBefore {
		if t.kept.Kept(name) {
			t.evacuated[name] = since
		}
	}
}

func (t *routeTable) setEvacuated(dataCentre string, active bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if active {
		t.kept.Show(dataCentre)
	}
	if !active && t.kept.Kept(dataCentre) {
		return
	}
	if !active {
		delete(t.evacuated, dataCentre)
		return
	}
	if _, known := t.evacuated[dataCentre]; known {
		return
	}
	since, before := t.evacuatedBefore[dataCentre]
	if !before {
		since = time.Now()
	}
	t.evacuated[dataCentre] = since
}

func (t *routeTable) isEvacuated(dataCentre string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	_, found := t.evacuated[dataCentre]
	return found
}

// find returns the configuration, the route of a request and the service that gets it. The table is nil if no
// configuration is in force, and the route is nil if none matches.
func (t *routeTable) find(host, path string) (*route.Table, *route.Route, string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.table == nil {
		return nil, nil, ""
	}
	r := t.table.Match(host, path)
	if r == nil {
		return t.table, nil, ""
	}
	return t.table, r, t.splitter.Pick(r)
}

// lookUp returns what the configuration says about the requests for a host and path.
func (t *routeTable) lookUp(host, path string) routed.Target {
	table := t.current()
	if table == nil {
		return routed.Target{}
	}
	r := table.Match(host, path)
	return routed.Target{Known: true, Found: r != nil, Idempotent: r != nil && r.Idempotent, MaxBodyBytes: table.Limits.MaxBodyBytes}
}

// defaultAnswerBytes is the size that is assumed for an answer before the first one is measured.
const defaultAnswerBytes = 1000

// expectedAnswerSize returns the expected size of an answer of the route, in bytes.
func (t *routeTable) expectedAnswerSize(route string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	if n, known := t.answerSizes[route]; known {
		return n
	}
	return defaultAnswerBytes
}

// recordAnswerSize updates the moving average of a route's answer sizes; a new size has a weight of 1/8.
func (t *routeTable) recordAnswerSize(route string, size int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	n, known := t.answerSizes[route]
	if !known {
		n = defaultAnswerBytes
	}
	t.answerSizes[route] = n + (size-n)/8
}

// evacuatedDataCentres returns the data centres that get no requests. The caller owns the map.
func (t *routeTable) evacuatedDataCentres() map[string]bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	all := make(map[string]bool, len(t.evacuated))
	for name := range t.evacuated {
		all[name] = true
	}
	return all
}

// evacuatedFor returns for how long the evacuation of a data centre has been known.
func (t *routeTable) evacuatedFor(dataCentre string) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	since, ok := t.evacuated[dataCentre]
	if !ok {
		return 0
	}
	return time.Since(since)
}
