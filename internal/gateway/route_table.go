package gateway

import (
	"time"

	"heatherreel/internal/lockorder"
	"heatherreel/internal/route"
)

// routeTable holds the configuration in force. mu guards all fields; it has rank lockorder.Routes.
type routeTable struct {
	mu       *lockorder.Mutex
	table    *route.Table
	splitter *route.Splitter
	// evacuated holds when the evacuation of a data centre became known.
	evacuated, evacuatedBefore map[string]time.Time
	// sizes are the average sizes of answers by route, in bytes.
	sizes map[string]int
}

func newRouteTable() *routeTable {
	return &routeTable{mu: lockorder.New(lockorder.Routes), splitter: route.NewSplitter(), evacuated: map[string]time.Time{},
		sizes: map[string]int{}}
}

func (t *routeTable) current() *route.Table {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.table
}

// revision returns the revision in force, 0 if none is.
func (t *routeTable) revision() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.table == nil {
		return 0
	}
	return t.table.Revision
}

// put takes a table of a higher revision; a lower one never replaces it.
func (t *routeTable) put(table *route.Table) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.table != nil && table.Revision <= t.table.Revision {
		return false
	}
	t.table = table
	t.splitter.Keep(table)
	// Routes come and go; their sizes are soon measured again.
	t.sizes = map[string]int{}
	return true
}

// beginSnapshot forgets evacuations, whose end may have been missed. Those that are found again keep their time.
func (t *routeTable) beginSnapshot() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.evacuatedBefore, t.evacuated = t.evacuated, map[string]time.Time{}
}

func (t *routeTable) evacuate(dataCentre string, on bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !on {
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
	_, on := t.evacuated[dataCentre]
	return on
}

// find returns the configuration, the route of a request and the service that gets it; a nil table if none is in force,
// and a nil route if the table has none.
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

// usualAnswer is the size of an answer that is assumed before the first, in bytes.
const usualAnswer = 1000

// answerSize returns the expected size of an answer of the route.
func (t *routeTable) answerSize(route string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	if n, known := t.sizes[route]; known {
		return n
	}
	return usualAnswer
}

// measure moves the expected size of a route's answers towards a measured one by 1/8.
func (t *routeTable) measure(route string, size int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	n, known := t.sizes[route]
	if !known {
		n = usualAnswer
	}
	t.sizes[route] = n + (size-n)/8
}

// evacuations returns the data centres that get no requests. The map does not change.
func (t *routeTable) evacuations() map[string]bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	all := make(map[string]bool, len(t.evacuated))
	for name := range t.evacuated {
		all[name] = true
	}
	return all
}

// evacuatedFor returns how long the evacuation of a data centre has been known.
func (t *routeTable) evacuatedFor(dataCentre string) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	since, ok := t.evacuated[dataCentre]
	if !ok {
		return 0
	}
	return time.Since(since)
}
