package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// recorder writes record.txt: what was sent, answered and run, with the time since the start.
type recorder struct {
	mu    sync.Mutex
	start time.Time
	file  *os.File
	echo  bool
}

func newRecorder(path string) (*recorder, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &recorder{start: time.Now(), file: f, echo: os.Getenv("ECHO") != ""}, nil
}

func (r *recorder) since() time.Duration { return time.Since(r.start) }

func (r *recorder) log(format string, args ...any) {
	line := fmt.Sprintf("%8.3f ", r.since().Seconds()) + fmt.Sprintf(format, args...) + "\n"
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = r.file.WriteString(line)
	if r.echo {
		fmt.Print(line)
	}
}
