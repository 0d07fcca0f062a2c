// Command heatherreelctl is the operators' tool: it validates and publishes configurations and shows what nodes know.
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

// openLog returns the client of a stream of the platform's log.
func openLog(address, stream string) (platformlog.Log, error) {
	return platformlog.NewClient("http://"+address, stream), nil
}

// tool is one run of the program with everything that it reaches outside.
type tool struct {
	stdout, stderr io.Writer
	readFile       func(path string) ([]byte, error)
	getenv         func(name string) string
	openLog        func(address, stream string) (platformlog.Log, error)
	flags          flags
}
