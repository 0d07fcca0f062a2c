package httpwire

import (
	"bytes"
	"io"
	"sync"
	"sync/atomic"

	"heatherreel/internal/problem"
)

// Sizes of the buffers of a body, in bytes.
const (
	// chunkBytes is the size of the buffers. One buffer that doubles would take three times the memory while it is
	// copied.
	chunkBytes = 64 << 10
	// unsharedBytes is the largest size of a body that does not count towards the limit of a BodyReader, so that bodies of
	// usual size are read whatever else is being read. It leaves room in the first buffer to see that a body is larger.
	unsharedBytes = chunkBytes - 1
)

// chunks holds unused buffers. Bodies that do not end would otherwise leave as much garbage as they may use.
var chunks = sync.Pool{New: func() any { return new([chunkBytes]byte) }}

// BodyReader reads bodies into memory, and bounds the memory of all large ones that are being read. It is safe for
// concurrent use.
type BodyReader struct {
	maxTotal int64
	// total is the memory of the large bodies that are being read, in bytes.
	total atomic.Int64
}

// NewBodyReader returns a reader with a limit of maxTotal bytes for all large bodies that are being read, of which each
// needs up to twice its size. Zero means no limit.
func NewBodyReader(maxTotal int64) *BodyReader { return &BodyReader{maxTotal: maxTotal} }

// Read reads a body to its end. It returns a problem.TooLarge error if the body is over limit bytes, a problem.Overloaded
// error if all bodies that are being read are over the limit of the reader, and otherwise the error of r.
func (b *BodyReader) Read(r io.Reader, limit int64) ([]byte, error) {
	first := chunks.Get().(*[chunkBytes]byte)
	defer chunks.Put(first)
	n, err := readFull(r, first[:min(unsharedBytes, limit)+1])
	switch {
	case int64(n) > limit:
		return nil, errBodyTooLarge(limit)
	case err == io.EOF:
		return bytes.Clone(first[:n]), nil
	case err != nil:
		return nil, err
	}
	return b.readLarge(r, first[:n], limit)
}

// errBodyTooLarge returns the error for a body over limit bytes.
func errBodyTooLarge(limit int64) error {
	return problem.New(problem.TooLarge, "send less data at once", "the body is over %d bytes", limit)
}

// readLarge reads the rest of a body that begins with begin, and returns the whole.
func (b *BodyReader) readLarge(r io.Reader, begin []byte, limit int64) ([]byte, error) {
	var reserved int64
	defer func() { b.total.Add(-reserved) }()
	reserve := func(size int64) error {
		reserved += size
		if total := b.total.Add(size); b.maxTotal > 0 && total > b.maxTotal {
			return problem.New(problem.Overloaded, "retry later", "the bodies being read are over %d bytes", b.maxTotal)
		}
		return nil
	}
	parts, size := [][]byte{begin}, int64(len(begin))
	defer func() {
		for _, part := range parts[1:] {
			chunks.Put((*[chunkBytes]byte)(part[:chunkBytes]))
		}
	}()
	for {
		if err := reserve(chunkBytes); err != nil {
			return nil, err
		}
		chunk := chunks.Get().(*[chunkBytes]byte)
		n, err := readFull(r, chunk[:])
		parts = append(parts, chunk[:n])
		size += int64(n)
		switch {
		case size > limit:
			return nil, errBodyTooLarge(limit)
		case err == io.EOF:
			if err := reserve(size); err != nil {
				return nil, err
			}
			return bytes.Join(parts, nil), nil
		case err != nil:
			return nil, err
		}
	}
}

// readFull reads until buffer is full or an error occurs. Unlike io.ReadFull it returns the error of r, which is
// io.ErrUnexpectedEOF for a truncated body and io.EOF for a complete one.
func readFull(r io.Reader, buffer []byte) (n int, err error) {
	for n < len(buffer) && err == nil {
		var read int
		read, err = r.Read(buffer[n:])
		n += read
	}
	return n, err
}
