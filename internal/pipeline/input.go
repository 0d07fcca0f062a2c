package pipeline

import (
	"bufio"
	"errors"
	"io"
	"net"
	"os"
)

// input is a connection before which bytes may be put that were read from it already.
type input struct {
	before []byte
	// body is the one that is being read; nil outside of bodies.
	body *body
	net.Conn
}

// Read implements io.Reader.
func (i *input) Read(p []byte) (int, error) {
	if len(i.before) > 0 {
		n := copy(p, i.before)
		i.before = i.before[n:]
		return n, nil
	}
	for {
		n, err := i.Conn.Read(p)
		if n > 0 || i.body == nil || !errors.Is(err, os.ErrDeadlineExceeded) {
			return n, err
		}
		// The decoder of chunks cannot continue after an error.
		if failure := i.body.extend(); failure != nil {
			return 0, failure
		}
	}
}

// enlarge doubles the read buffer, which is full. It returns false if there is no memory.
func (c *conn) enlarge() bool {
	size := c.buffered.Size()
	if !c.server.Governor.grow(c, int64(size)) {
		return false
	}
	c.enlarged += int64(size)
	full := make([]byte, size)
	_, _ = io.ReadFull(c.buffered, full)
	c.input.before = full
	c.buffered = bufio.NewReaderSize(&c.input, 2*size)
	_, _ = c.buffered.Peek(size)
	return true
}
