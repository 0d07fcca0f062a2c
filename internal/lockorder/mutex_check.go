//go:build lockcheck

package lockorder

import (
	"bytes"
	"fmt"
	"runtime"
	"strconv"
	"sync"
)

// held maps the id of a goroutine to the ranks that it holds, in the order taken.
var (
	heldMu sync.Mutex
	held   = map[uint64][]Rank{}
)

// goroutineID returns the id of the calling goroutine, read from its stack header.
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

// acquire notes that the calling goroutine takes a mutex of the rank.
func acquire(rank Rank) {
	id := goroutineID()
	heldMu.Lock()
	defer heldMu.Unlock()
	for _, other := range held[id] {
		if other >= rank {
			panic(fmt.Sprintf("lockorder: rank %d taken while rank %d is held", rank, other))
		}
	}
	held[id] = append(held[id], rank)
}

// release notes that the calling goroutine gives up a mutex of the rank.
func release(rank Rank) {
	id := goroutineID()
	heldMu.Lock()
	defer heldMu.Unlock()
	ranks := held[id]
	for i := len(ranks) - 1; i >= 0; i-- {
		if ranks[i] != rank {
			continue
		}
		ranks = append(ranks[:i], ranks[i+1:]...)
		break
	}
	if len(ranks) == 0 {
		delete(held, id)
		return
	}
	held[id] = ranks
}

// Mutex is a mutex that checks the lock order. Create it with New.
type Mutex struct {
	mu   sync.Mutex
	rank Rank
}

// New returns an unlocked mutex of the rank.
func New(rank Rank) *Mutex { return &Mutex{rank: rank} }

// Lock locks m; it panics if the calling goroutine holds a mutex of the same or a higher rank.
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

// Unlock ends a write lock.
func (m *RWMutex) Unlock() {
	m.mu.Unlock()
	release(m.rank)
}

// RLock locks m for reading.
func (m *RWMutex) RLock() {
	acquire(m.rank)
	m.mu.RLock()
}

// RUnlock ends a read lock.
func (m *RWMutex) RUnlock() {
	m.mu.RUnlock()
	release(m.rank)
}
