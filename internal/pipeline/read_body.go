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
	switch {
	case problem.KindOf(err) == problem.TooLarge:
		e.conn.server.Governor.refused(intake.LargeBody)
	case errors.Is(err, os.ErrDeadlineExceeded):
		e.conn.server.Governor.refused(intake.SlowBody)
	}
	return body, err
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

// readPieces reads a body of unknown or large size piece by piece and joins them.
func (e *exchange) readPieces(limit int64) ([]byte, error) {
	var parts [][]byte
	var size, reserved int64
	defer func() {
		for _, part := range parts {
			if cap(part) == pieceBytes {
				pieces.Put((*[pieceBytes]byte)(part[:pieceBytes]))
			}
		}
		e.reserved -= reserved
		e.conn.server.Governor.release(e.conn, reserved)
	}()
	for next := int64(firstPieceBytes); ; next = min(2*next, pieceBytes) {
		if !e.reserve(next) {
			return nil, errNoMemory
		}
		reserved += next
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
			return nil, errBodyTooLarge(limit)
		case err == io.EOF || err == io.ErrUnexpectedEOF && e.atEnd():
			if !e.reserve(size) {
				return nil, errNoMemory
			}
			return bytes.Join(parts, nil), nil
		case err != nil:
			return nil, err
		}
	}
}

// atEnd reports whether the body was read to its end. io.ReadFull returns the same error for that and for one that is cut
// short.
func (e *exchange) atEnd() bool {
	_, err := e.request.Body.Read(make([]byte, 1))
	return err == io.EOF
}
