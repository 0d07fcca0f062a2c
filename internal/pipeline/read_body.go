package pipeline

import (
	"bytes"
	"errors"
	"io"
	"os"
	"sync"

	"heatherreel/internal/intake"
	"heatherreel/internal/problem"
)

// Sizes of the buffers of a body, in bytes. They grow with what has arrived, so that a body which does not arrive takes
// little memory.
const (
	firstPieceBytes = 4 << 10
	pieceBytes      = 64 << 10
)

// pieces holds unused buffers of pieceBytes. Bodies that do not end would otherwise leave as much garbage as they may use.
var pieces = sync.Pool{New: func() any { return new([pieceBytes]byte) }}

// errNoMemory is the error for a body that finds no room, or whose connection is given up for others.
var errNoMemory = problem.New(problem.Overloaded, "retry later", "there is no memory for the body")

// ReadBody reads the body of the request into memory that is accounted for until the answer is written. It returns a
// problem.TooLarge error if the body is over limit bytes, a problem.Overloaded error if there is no memory, and otherwise
// the error of the connection.
func (e *exchange) ReadBody(limit int64) ([]byte, error) {
	body, err := e.readBody(limit)
	e.countRefusal(err)
	return body, err
}

// countRefusal counts a body that is refused because of err.
func (e *exchange) countRefusal(err error) {
	switch {
	case problem.KindOf(err) == problem.TooLarge:
		e.conn.server.Governor.refused(intake.LargeBody)
	case errors.Is(err, os.ErrDeadlineExceeded):
		e.conn.server.Governor.refused(intake.SlowBody)
	}
}

func (e *exchange) readBody(limit int64) ([]byte, error) {
	length := e.request.ContentLength
	if length > limit {
		return nil, errBodyTooLarge(limit)
	}
	if arrived, ok := e.request.Body.(*arrivedBody); ok {
		return io.ReadAll(arrived)
	}
	if e.body != nil {
		e.body.accounted = true
	}
	if length < 0 || length > pieceBytes {
		return e.readPieces(limit)
	}
	if !e.reserve(length) {
		return nil, errNoMemory
	}
	body := make([]byte, length)
	_, err := io.ReadFull(e.request.Body, body)
	return body, err
}

func errBodyTooLarge(limit int64) error {
	return problem.New(problem.TooLarge, "send less data at once", "the body is over %d bytes", limit)
}

// reserve reserves bytes until the answer is written.
func (e *exchange) reserve(bytes int64) bool {
	if !e.conn.server.Governor.reserve(e.conn, bytes) {
		return false
	}
	e.reserved += bytes
	return true
}

// release returns bytes before the answer is written.
func (e *exchange) release(bytes int64) {
	e.reserved -= bytes
	e.conn.server.Governor.release(e.conn, bytes)
}

// readPieces reads a body of unknown or large size piece by piece and joins them.
func (e *exchange) readPieces(limit int64) ([]byte, error) {
	parts, complete, err := e.collectPieces(limit)
	defer e.releasePieces(parts)
	switch {
	case err != nil:
		return nil, err
	case !complete:
		return nil, errBodyTooLarge(limit)
	}
	return e.joinPieces(parts)
}

// releasePieces returns the memory of pieces.
func (e *exchange) releasePieces(parts [][]byte) {
	for _, part := range parts {
		e.release(int64(cap(part)))
		if cap(part) == pieceBytes {
			pieces.Put((*[pieceBytes]byte)(part[:pieceBytes]))
		}
	}
}

// joinPieces returns a copy of the pieces in one slice.
func (e *exchange) joinPieces(parts [][]byte) ([]byte, error) {
	size := 0
	for _, part := range parts {
		size += len(part)
	}
	if !e.reserve(int64(size)) {
		return nil, errNoMemory
	}
	return bytes.Join(parts, nil), nil
}

// collectPieces reads pieces, whose memory is reserved, until the end of the body or until they have more than limit bytes.
// complete is set at the end of the body. The caller releases the pieces, also after an error.
func (e *exchange) collectPieces(limit int64) (parts [][]byte, complete bool, err error) {
	var size int64
	for next := int64(firstPieceBytes); ; next = min(2*next, pieceBytes) {
		if !e.reserve(next) {
			return parts, false, errNoMemory
		}
		var part []byte
		if next == pieceBytes {
			part = pieces.Get().(*[pieceBytes]byte)[:]
		} else {
			part = make([]byte, next)
		}
		n, err := io.ReadFull(e.request.Body, part)
		parts = append(parts, part[:n])
		size += int64(n)
		switch {
		case size > limit:
			return parts, false, nil
		case err == io.EOF || err == io.ErrUnexpectedEOF && e.atEnd():
			return parts, true, nil
		case err != nil:
			return parts, false, err
		}
	}
}

// atEnd reports whether the body was read to its end. io.ReadFull returns the same error for that and for one that is cut
// short.
func (e *exchange) atEnd() bool {
	_, err := e.request.Body.Read(make([]byte, 1))
	return err == io.EOF
}
