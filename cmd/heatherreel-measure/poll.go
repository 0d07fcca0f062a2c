package main

import (
	"context"
	"fmt"
	"time"
)

const (
	// settleTimeout is how long a fleet may take to assign all slices.
	settleTimeout = 30 * time.Second
	// pollInterval bounds the error of measured times.
	pollInterval = 2 * time.Millisecond
)

// poll calls check until it returns nil or the timeout has passed.
func poll(ctx context.Context, timeout time.Duration, check func() error) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	ticker := time.NewTicker(pollInterval)
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
