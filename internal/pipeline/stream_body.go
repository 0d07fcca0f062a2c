package pipeline

import (
	"io"
	"net/http"
	"sync"
	"sync/atomic"

	"heatherreel/internal/stream"
)

// BodyStream is a body that is read while it is passed on. Abort is safe for concurrent use, and Close waits for a Read in
// progress.
type BodyStream struct {
	// Length is the length of the body in bytes, or -1 for one in chunks.
	Length   int64
	exchange *exchange
	limit    int64
	aborted  atomic.Bool

	// mu is held during a Read, and guards the fields below it.
	mu sync.Mutex
	// begin are the pieces that were read before, of which the first offset bytes have been returned.
	begin    [][]byte
	offset   int
	returned int64
	held     int64
	closed   bool
}

// ReadOrStream reads a body of at most whole bytes, like ReadBody, and returns a larger one as a stream, whose Close must be
// called before the handler returns. Both results are empty if there is an error, which is one of ReadBody for a body over
// limit bytes; a body in chunks that turns out to be over the limit later fails with that error then.
func (e *exchange) ReadOrStream(whole, limit int64) ([]byte, *BodyStream, error) {
	length := e.request.ContentLength
	if limit <= whole || length >= 0 && (length <= whole || length > limit) {
		body, err := e.ReadBody(limit)
		return body, nil, err
	}
	e.body.accounted = true
	if length >= 0 {
		return e.newStream(nil, limit)
	}
	parts, complete, err := e.collectPieces(whole)
	if err == nil && !complete {
		return e.newStream(parts, limit)
	}
	defer e.releasePieces(parts)
	if err != nil {
		e.countRefusal(err)
		return nil, nil, err
	}
	body, err := e.joinPieces(parts)
	return body, nil, err
}

// newStream returns a stream of the body that begins with the parts.
func (e *exchange) newStream(begin [][]byte, limit int64) ([]byte, *BodyStream, error) {
	if !e.reserve(stream.BodyMemory) {
		e.releasePieces(begin)
		return nil, nil, errNoMemory
	}
	e.body.stream()
	return nil, &BodyStream{Length: e.request.ContentLength, exchange: e, limit: limit, begin: begin, held: stream.BodyMemory}, nil
}

// Read implements io.Reader. It returns io.EOF only at the end of a complete body.
func (s *BodyStream) Read(p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return 0, http.ErrBodyReadAfterClose
	}
	if s.aborted.Load() {
		return 0, errAborted
	}
	if len(s.begin) > 0 {
		return s.readBegin(p), nil
	}
	// The pause since the last read is none of the client.
	s.exchange.conn.server.Governor.progress(s.exchange.conn, 0)
	n, err := s.exchange.request.Body.Read(p)
	if s.returned += int64(n); s.returned > s.limit {
		n, err = 0, errBodyTooLarge(s.limit)
		s.aborted.Store(true)
	}
	if err != nil && err != io.EOF {
		s.exchange.countRefusal(err)
	}
	return n, err
}

// readBegin returns bytes that were read before. The caller holds mu.
func (s *BodyStream) readBegin(p []byte) int {
	part := s.begin[0]
	n := copy(p, part[s.offset:])
	s.offset += n
	s.returned += int64(n)
	if s.offset == len(part) {
		s.exchange.releasePieces(s.begin[:1])
		s.begin, s.offset = s.begin[1:], 0
	}
	return n
}

// Abort ends a Read in progress, and lets further ones fail.
func (s *BodyStream) Abort() {
	s.aborted.Store(true)
	s.exchange.body.abort()
}

// Close ends the reading and returns the memory.
func (s *BodyStream) Close() {
	s.Abort()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.exchange.releasePieces(s.begin)
	s.exchange.release(s.held)
	s.begin, s.held, s.closed = nil, 0, true
}
