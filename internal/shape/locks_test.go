package shape

import "testing"

// rankedMutexPackages are the packages whose mutexes must have a rank in the lock order.
var rankedMutexPackages = []string{"internal/daemon", "internal/engine", "internal/gateway", "internal/worker"}

// Guards against a mutex without a rank. Builds with the tag lockcheck cannot check its place in the lock order.
func TestMutexesHaveRanks(t *testing.T) {
	reportViolations(t, sourceFiles(t), mutexViolations)
}

func mutexViolations(f *sourceFile) []violation {
	if f.isTest() || !f.inAnyDir(rankedMutexPackages) {
		return nil
	}
	var violations []violation
	for _, use := range f.references("sync", "Mutex", "RWMutex", "Cond", "NewCond", "Locker", "Map") {
		violations = append(violations, violation{f, use.Pos(), "use a mutex of package lockorder, not sync." + use.Sel.Name})
	}
	return violations
}

// Guards against a mutex rule that no longer detects violations.
func TestMutexRuleFindsViolations(t *testing.T) {
	requireViolations(t, "internal/engine/x.go", `package engine
import "sync"
type table struct {
	mu sync.Mutex // violation
	shared *sync.RWMutex // violation
	calls sync.WaitGroup
}`, mutexViolations)
}
