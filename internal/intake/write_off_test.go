package intake

import (
	"testing"
	"time"
)

// Guards against memory far beyond the budget: stalled bodies are replaced by others, which stall and are replaced in turn,
// before the handlers of the first ones have run again and returned their bytes.
func TestGivenUpBodiesBoundTheMemory(t *testing.T) {
	limits := testLimits()
	limits.Connections[Callers], limits.PerClient[Callers] = 1000, 1000
	b := New(limits)
	held, now := int64(0), start
	for range 20 {
		for range 20 {
			a := open(t, b, "c", Body, now)
			if granted, _ := b.Reserve(a, 100, now); granted {
				held += 100
			}
		}
		now = now.Add(2 * time.Second)
	}
	if most := limits.Bytes + limits.Bytes/2; held > most {
		t.Errorf("%d bytes are held, want at most %d", held, most)
	}
}
