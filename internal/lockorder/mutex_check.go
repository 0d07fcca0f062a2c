//go:build lockcheck

package lockorder

import (
	"bytes"
	"fmt"
	"runtime"
	"strconv"
	"sync"
	"sync/atomic"
)

// sampleEvery is the sampling interval: one in sampleEvery acquisitions is recorded. Reading the goroutine id takes
// microseconds for a deep stack, and recording every acquisition made the tests of the engine take minutes. Each
// nesting of locks occurs thousands of times in a test run, so a sample of one in sixteen still detects it. The tests
// of this package set 1.
var sampleEvery uint64 = 16

// acquisitions counts the calls of acquire; recorded is the number of recorded acquisitions that are not released yet.
var acquisitions, recorded atomic.Uint64

// heldRanks maps the id of a goroutine to the recorded ranks that it holds, in the order of acquisition.
var (
	heldMu    sync.Mutex
	heldRanks = map[uint64][]Rank{}
)

// goroutineID returns the id of the calling goroutine, parsed from the header of its stack trace.
func goroutineID() uint64 {
	buffer := make([]byte, 64)
	header := buffer[:runtime.Stack(buffer, false)]
	header = bytes.TrimPrefix(header, []byte("goroutine "))
	id, _, _ := bytes.Cut(header, []byte(" "))
	n, err := strconv.ParseUint(string(id), 10, 64)
	if err != nil {
		panic("lockorder: cannot read the goroutine id")
	}
	return n
}

// acquire panics if the calling goroutine is recorded to hold a mutex of the same or a higher rank. It records the
// acquisition if it is sampled.
func acquire(rank Rank) {
	sampled := acquisitions.Add(1)%sampleEvery == 0
	if !sampled && recorded.Load() == 0 {
		return
	}
	id := goroutineID()
	heldMu.Lock()
	defer heldMu.Unlock()
	for _, heldRank := range heldRanks[id] {
		if heldRank >= rank {
			panic(fmt.Sprintf("lockorder: rank %d is locked while rank %d is held", rank, heldRank))
		}
	}
	if !sampled {
		return
	}
	heldRanks[id] = append(heldRanks[id], rank)
	recorded.Add(1)
}

// release removes the record that the calling goroutine holds a mutex of the rank, if there is one.
func release(rank Rank) {
	if recorded.Load() == 0 {
		return
	}
	id := goroutineID()
	heldMu.Lock()
	defer heldMu.Unlock()
	ranks := heldRanks[id]
	for i := len(ranks) - 1; i >= 0; i-- {
		if ranks[i] != rank {
			continue
		}
		heldRanks[id] = append(ranks[:i], ranks[i+1:]...)
		recorded.Add(^uint64(0))
		break
	}
	if len(heldRanks[id]) == 0 {
		delete(heldRanks, id)
	}
}

// Mutex is a mutex that checks the lock order. Create it with New.
type Mutex struct {
	mu   sync.Mutex
	rank Rank
}

// New returns an unlocked mutex of the rank.
func New(rank Rank) *Mutex { return &Mutex{rank: rank} }

// Lock locks m. It panics if the calling goroutine is recorded to hold a mutex of the same or a higher rank.
func (m *Mutex) Lock() {
	acquire(m.rank)
	m.mu.Lock()
}

// Unlock unlocks m. It must be called by the goroutine that locked it.
func (m *Mutex) Unlock() {
	m.mu.Unlock()
	release(m.rank)
}

// RWMutex is a reader/writer mutex that checks the lock order. Create it with NewRW.
type RWMutex struct {
	mu   sync.RWMutex
	rank Rank
}

// NewRW returns an unlocked reader/writer mutex of the rank.
func NewRW(rank Rank) *RWMutex { return &RWMutex{rank: rank} }

// Lock locks m for writing.
func (m *RWMutex) Lock() {
	acquire(m.rank)
	m.mu.Lock()
}

// Unlock releases a write lock.
func (m *RWMutex) Unlock() {
	m.mu.Unlock()
	release(m.rank)
}

// RLock locks m for reading.
func (m *RWMutex) RLock() {
	acquire(m.rank)
	m.mu.RLock()
}

// RUnlock releases a read lock.
func (m *RWMutex) RUnlock() {
	m.mu.RUnlock()
	release(m.rank)
}
