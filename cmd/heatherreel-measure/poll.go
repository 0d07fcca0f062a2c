package main

import (
	"context"
	"time"

	"heatherreel/internal/launch"
)

const (
	// settleTimeout is the longest time until all slices of a fleet are owned and settled.
	settleTimeout = 30 * time.Second
	// pollInterval limits the error of times that are measured by polling.
	pollInterval = 2 * time.Millisecond
)

// poll calls check every pollInterval until it returns nil or the timeout has passed.
func poll(ctx context.Context, timeout time.Duration, check func() error) error {
	return launch.Poll(ctx, timeout, pollInterval, check)
}
