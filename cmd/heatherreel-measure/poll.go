package main

import (
	"context"
	"time"

	"heatherreel/internal/launch"
)

const (
	// settleTimeout is how long a fleet may take to assign all slices.
	settleTimeout = 30 * time.Second
	// pollInterval bounds the error of measured times.
	pollInterval = 2 * time.Millisecond
)

// poll calls check until it returns nil or the timeout has passed.
func poll(ctx context.Context, timeout time.Duration, check func() error) error {
	return launch.Poll(ctx, timeout, pollInterval, check)
}
