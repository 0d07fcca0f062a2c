// Package launch starts the programs of this repository as processes on this machine, for the demo and the measuring
// program. No part of a deployment uses it: a process of the system starts no process.
package launch

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"syscall"
	"time"
)

// Process is a started program.
type Process struct {
	command *exec.Cmd
	// done is closed when the process has ended; err is set then.
	done chan struct{}
	err  error
}

// Start starts a program with its output appended to a file.
func Start(output, program string, arguments ...string) (*Process, error) {
	out, err := os.OpenFile(output, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, err
	}
	command := exec.Command(program, arguments...)
	command.Stdout, command.Stderr = out, out
	if err := command.Start(); err != nil {
		return nil, errors.Join(err, out.Close())
	}
	p := &Process{command: command, done: make(chan struct{})}
	go func() {
		p.err = errors.Join(command.Wait(), out.Close())
		close(p.done)
	}()
	return p, nil
}

// PID returns the id of the process.
func (p *Process) PID() int { return p.command.Process.Pid }

// Terminate asks the process to stop and waits until it has ended or ctx ends. It returns an error if the process
// exited with another code than zero.
func (p *Process) Terminate(ctx context.Context) error {
	if err := p.command.Process.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	select {
	case <-p.done:
		return p.err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Kill ends the process without notice and waits until it has ended. A nil process is none.
func (p *Process) Kill() {
	if p == nil {
		return
	}
	_ = p.command.Process.Kill()
	<-p.done
}

// Poll calls check at each interval until it returns nil or the timeout has passed.
func Poll(ctx context.Context, timeout, interval time.Duration, check func() error) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		err := check()
		if err == nil {
			return nil
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return fmt.Errorf("after %v: %w", timeout, err)
		}
	}
}
