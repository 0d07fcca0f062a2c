package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// recorder writes what was sent, answered and run.
type recorder struct {
	mu    sync.Mutex
	file  *os.File
	out   *bufio.Writer
	began time.Time
}

func newRecorder(path string) (*recorder, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &recorder{file: file, out: bufio.NewWriter(file), began: time.Now()}, nil
}

func (r *recorder) line(format string, values ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%8.3f "+format+"\n", append([]any{time.Since(r.began).Seconds()}, values...)...)
}

// note records an event and prints it.
func (r *recorder) note(format string, values ...any) {
	r.line(format, values...)
	fmt.Printf("%8.3f "+format+"\n", append([]any{time.Since(r.began).Seconds()}, values...)...)
}

func (r *recorder) ran(id, target, what string, bodyBytes int) {
	r.line("run %s %s %s %d", id, target, what, bodyBytes)
}

func (r *recorder) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.out.Flush()
	r.file.Close()
}
