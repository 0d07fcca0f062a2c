//go:build !lockcheck

package lockorder

import "sync"

// Mutex is a mutex with a rank. Create it with New.
type Mutex struct {
	sync.Mutex
}

// New returns an unlocked mutex of the rank.
func New(Rank) *Mutex { return &Mutex{} }

// RWMutex is a reader/writer mutex with a rank. Create it with NewRW.
type RWMutex struct {
	sync.RWMutex
}

// NewRW returns an unlocked reader/writer mutex of the rank.
func NewRW(Rank) *RWMutex { return &RWMutex{} }
