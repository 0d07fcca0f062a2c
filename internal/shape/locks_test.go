package shape

import "testing"

// lockedPackages use mutexes with a rank only.
var lockedPackages = []string{"internal/daemon", "internal/engine", "internal/gateway", "internal/worker"}

// Guards against a mutex without a rank, whose order the tag lockcheck cannot check.
func TestMutexesHaveRanks(t *testing.T) {
	report(t, sources(t), mutexes)
}

func mutexes(f *sourceFile) []fault {
	if f.isTest() || !f.withinAny(lockedPackages) {
		return nil
	}
	var faults []fault
	for _, use := range f.uses("sync", "Mutex", "RWMutex", "Cond", "NewCond", "Locker", "Map") {
		faults = append(faults, fault{f, use.Pos(), "use a mutex of package lockorder, not sync." + use.Sel.Name})
	}
	return faults
}

// Guards against a rule on mutexes that no longer finds anything.
func TestMutexRuleFindsFaults(t *testing.T) {
	requireFaults(t, "internal/engine/x.go", `package engine
import "sync"
type table struct {
	mu sync.Mutex // broken
	shared *sync.RWMutex // broken
	calls sync.WaitGroup
}`, mutexes)
}
