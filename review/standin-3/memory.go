package main

import (
	"sync"
	"syscall"
	"time"
)

// watchMemory kills each process that exceeds the memory of its machine, as the platform does, until stop is closed.
func (f *fleet) watchMemory(stop <-chan struct{}) *sync.WaitGroup {
	var watch sync.WaitGroup
	for _, m := range f.all() {
		watch.Add(1)
		go func() {
			defer watch.Done()
			for {
				select {
				case <-stop:
					return
				case <-time.After(50 * time.Millisecond):
				}
				if kb := m.memory(); kb > f.memoryMB<<10 {
					m.overLimit++
					f.rec.note("the process of %s has %d MB of %d MB and is killed", m.name, kb>>10, f.memoryMB)
					m.signal(syscall.SIGKILL)
					time.Sleep(200 * time.Millisecond)
				}
			}
		}()
	}
	return &watch
}

// judgeMemory reports whether processes ended three times or more on a tenth of the machines, and at least on two.
func (f *fleet) judgeMemory() bool {
	machines, ended := f.all(), 0
	for _, m := range machines {
		if m.overLimit >= 3 {
			ended++
		}
	}
	f.rec.note("%d of %d machines had processes over the limit of their memory three times or more", ended, len(machines))
	return ended >= max(2, (len(machines)+9)/10)
}
