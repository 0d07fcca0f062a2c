// Package launch runs the programs of this repository as local processes, for heatherreel-demo and heatherreel-measure.
// It is not used in deployments: no deployed process starts another.
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

// Process is a process started with Start.
type Process struct {
	command *exec.Cmd
	// done is closed when the process has ended. err is set before that.
	done chan struct{}
	err  error
}

// Start runs a program and appends its standard output and error to the file outputPath.
func Start(outputPath, program string, arguments ...string) (*Process, error) {
	outputFile, err := os.OpenFile(outputPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, err
	}
	command := exec.Command(program, arguments...)
	command.Stdout, command.Stderr = outputFile, outputFile
	if err := command.Start(); err != nil {
		return nil, errors.Join(err, outputFile.Close())
	}
	p := &Process{command: command, done: make(chan struct{})}
	go func() {
		p.err = errors.Join(command.Wait(), outputFile.Close())
		close(p.done)
	}()
	return p, nil
}

// PID returns the process id.
func (p *Process) PID() int { return p.command.Process.Pid }

// Terminate sends SIGTERM to the process and waits until it ends or ctx ends. It returns an error if the process does
// not exit with status 0.
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

// Kill sends SIGKILL to the process and waits until it ends. If p is nil, Kill does nothing.
func (p *Process) Kill() {
	if p == nil {
		return
	}
	_ = p.command.Process.Kill()
	<-p.done
}

// Poll calls check at each interval until it returns nil. After timeout, or when ctx ends, it returns the last error of
// check.
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
