package gateway

import (
	"fmt"
	"testing"
	"time"

	"heatherreel/internal/registry"
)

// Guards against a retry floor that grows with the fleet: each node may retry at once, and all nodes do so when the backend
// servers of a service fail together.
func TestRetryFloorHoldsOverAllNodes(t *testing.T) {
	const window = 10 * time.Second
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	for _, size := range []int{1, 10, 61, 195, 840} {
		for _, floor := range []int{58, 196} {
			var tables []*memberTable
			for i := range size {
				self := Self{Instance: fmt.Sprintf("i-%d", i)}
				table := newMemberTable(self, RetryLimits{Ratio: 0.1, Floor: float64(floor), Window: window})
				if table.takeRetry("s", start) {
					t.Error("a node that knows no members retries")
				}
				for n := range size {
					table.put(registry.Member{Instance: fmt.Sprintf("i-%d", n), Address: fmt.Sprintf("10.0.%d.%d:1", n/250, n%250), Incarnation: 1})
				}
				table.splitRetryFloor(start)
				tables = append(tables, table)
			}
			total, most := 0, 0
			var counts []int
			for at := time.Duration(0); at < 3*window; at += 100 * time.Millisecond {
				retries := 0
				for _, table := range tables {
					for table.takeRetry("s", start.Add(window+at)) {
						retries++
					}
				}
				counts = append(counts, retries)
				total += retries
				if len(counts) > int(window/(100*time.Millisecond)) {
					total -= counts[len(counts)-1-int(window/(100*time.Millisecond))]
				}
				most = max(most, total)
			}
			if most > floor || most < floor/2-1 {
				t.Errorf("%d nodes retry %d times in %v, with a floor of %d", size, most, window, floor)
			}
		}
	}
}
