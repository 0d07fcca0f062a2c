// Command heatherreelctl is the command-line tool for operators: it validates and publishes configurations, and shows
// the state of nodes and gateways.
package main

import (
	"context"
	"io"
	"os"
	"os/signal"
	"syscall"

	"heatherreel/internal/platformlog"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	t := &tool{
		stdout: os.Stdout, stderr: os.Stderr,
		readFile: os.ReadFile, getenv: os.Getenv, openLog: openLog,
	}
	code := t.run(ctx, os.Args[1:])
	stop()
	os.Exit(int(code))
}

// openLog returns a client for a stream of the platform's log at address, host:port.
func openLog(address, stream string) (platformlog.Log, error) {
	return platformlog.NewClient("http://"+address, stream), nil
}

// tool holds the state of one invocation: the flag values, and the streams and functions by which it reaches files,
// the environment and the log. Tests replace these.
type tool struct {
	stdout, stderr io.Writer
	readFile       func(path string) ([]byte, error)
	getenv         func(name string) string
	openLog        func(address, stream string) (platformlog.Log, error)
	flags          flagValues
}
