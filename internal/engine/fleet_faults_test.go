package engine

import (
	"context"
	"time"

	"heatherreel/internal/fake"
	"heatherreel/internal/ledger"
	"heatherreel/internal/scenario"
	"heatherreel/internal/settings"
)

// Stop implements scenario.Environment.
func (f *fleet) Stop(name string) error {
	n, err := f.node(name)
	if err != nil {
		return err
	}
	f.goroutines.Add(1)
	go func() {
		defer f.goroutines.Done()
		ctx, cancel := context.WithTimeout(context.Background(), settings.DefaultShutdownTimeout)
		defer cancel()
		n.engine.Drain(ctx)
		f.mu.Lock()
		defer f.mu.Unlock()
		f.kill(n)
	}()
	return nil
}

// Kill implements scenario.Environment.
func (f *fleet) Kill(name string) error {
	n, err := f.node(name)
	if err == nil {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.kill(n)
	}
	return err
}

// Pause implements scenario.Environment.
func (f *fleet) Pause(name string) error {
	n, err := f.node(name)
	if err == nil {
		n.host.Pause()
	}
	return err
}

// Resume implements scenario.Environment.
func (f *fleet) Resume(name string) error {
	n, err := f.node(name)
	if err == nil {
		n.host.Resume()
	}
	return err
}

// Cut implements scenario.Environment.
func (f *fleet) Cut(a, b string) error {
	f.network.Cut(a, b)
	return nil
}

// Heal implements scenario.Environment.
func (f *fleet) Heal(a, b string) error {
	f.network.Heal(a, b)
	return nil
}

// SetLog implements scenario.Environment.
func (f *fleet) SetLog(state scenario.LogState, delay time.Duration) error {
	f.log.SetFaults(fake.LogFaults{Down: state == scenario.LogDown, Delay: delay})
	return nil
}

// LoseReplies implements scenario.Environment.
func (f *fleet) LoseReplies(n int) error {
	faults := f.log.Faults()
	faults.LostReplies = n
	f.log.SetFaults(faults)
	return nil
}

// TruncateLog implements scenario.Environment.
func (f *fleet) TruncateLog(n int) error {
	f.log.ApplyRetention(ledger.Offset(max(f.log.Len()-n+1, 1)))
	return nil
}

// SetBackend implements scenario.Environment.
func (f *fleet) SetBackend(name string, state scenario.BackendState) error {
	n, err := f.node(name)
	if err != nil {
		return err
	}
	f.mu.Lock()
	n.silent = state == scenario.BackendFrozen || state == scenario.BackendSilent
	f.mu.Unlock()
	faults := fake.BackendFaults{Frozen: state == scenario.BackendFrozen}
	if state == scenario.BackendCold {
		faults.ColdRequests, faults.ColdMS, faults.ColdSlots = 100, 50, 3
	}
	n.backend.SetFaults(faults)
	return nil
}
