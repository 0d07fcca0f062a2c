package routed

import (
	"errors"
	"io"
	"sync"
)

// firstBytes is the size of the buffer for the first bytes of a BodyStream.
const firstBytes = 4 << 10

// BodyStream is a request body that is passed on as it arrives. It can be read once, and nothing of it is read before Begin.
// Only one goroutine at a time may call Begin or Read; the other methods are safe for concurrent use.
//
// mu guards the fields below it. It is not held while the source is read.
type BodyStream struct {
	// Length is the length in bytes, or -1 if it is not known before the end.
	Length int64

	source io.Reader
	ready  func() error
	abort  func()
	first  []byte

	mu       sync.Mutex
	begun    bool
	complete bool
	aborted  bool
	err      error
}

// NewBodyStream returns a stream of the source, which returns io.EOF only at the end of a complete body. ready is called by
// Begin to ask the sender for the body; it may be nil. abort ends a read of the source that is in progress, and lets further
// ones fail.
func NewBodyStream(length int64, source io.Reader, ready func() error, abort func()) *BodyStream {
	return &BodyStream{Length: length, source: source, ready: ready, abort: abort}
}

// errBegun is the error of a second Begin.
var errBegun = errors.New("the body has been taken already")

// Begin asks for the body and waits for its first bytes. If it fails, the body was not taken.
func (b *BodyStream) Begin() error {
	b.mu.Lock()
	begun := b.begun
	b.begun = true
	b.mu.Unlock()
	if begun {
		return errBegun
	}
	if b.ready != nil {
		if err := b.ready(); err != nil {
			return b.record(err)
		}
	}
	buffer := make([]byte, firstBytes)
	for {
		n, err := b.source.Read(buffer)
		if n > 0 {
			b.first = buffer[:n]
			// The next read of the source returns the error again.
			return nil
		}
		if err != nil {
			return b.record(err)
		}
	}
}

// Read implements io.Reader. It returns io.EOF only at the end of a complete body.
func (b *BodyStream) Read(p []byte) (int, error) {
	if len(b.first) > 0 {
		n := copy(p, b.first)
		b.first = b.first[n:]
		return n, nil
	}
	n, err := b.source.Read(p)
	if err != nil {
		err = b.record(err)
	}
	return n, err
}

// record records the error of a read and returns it.
func (b *BodyStream) record(err error) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if err == io.EOF {
		b.complete = true
	} else if b.err == nil && !b.aborted {
		b.err = err
	}
	return err
}

// Abort ends a read that is in progress, and lets further ones fail.
func (b *BodyStream) Abort() {
	b.mu.Lock()
	b.aborted = true
	b.mu.Unlock()
	b.abort()
}

// Begun reports whether Begin was called, so that the body cannot be sent again.
func (b *BodyStream) Begun() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.begun
}

// Err returns why the body could not be read further; nil if that has not happened, or only because of Abort.
func (b *BodyStream) Err() error {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.err
}

// Complete reports whether the body was read to its end.
func (b *BodyStream) Complete() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.complete
}
