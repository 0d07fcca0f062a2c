package httpwire

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"heatherreel/internal/problem"
)

// Guards against a body that is changed or truncated where its buffers meet, a truncated one that counts as complete,
// and buffers that count towards the limit of all answers after the exchange.
func TestLargeBodies(t *testing.T) {
	transport := NewTransport(Options{MaxConnections: 1, DialTimeout: time.Second, IdleTimeout: time.Minute, MaxBufferedBytes: 3 << 20})
	defer transport.Close()
	for _, size := range []int{0, 1, unsharedBytes - 1, unsharedBytes, unsharedBytes + 1, unsharedBytes + chunkBytes - 1,
		unsharedBytes + chunkBytes, unsharedBytes + chunkBytes + 1, unsharedBytes + 2*chunkBytes + 1, 1 << 20, 1<<20 + 1} {
		body := make([]byte, size)
		for i := range body {
			body[i] = byte(i * 31 >> 3)
		}
		half := size / 2
		chunked := fmt.Appendf(nil, "%x\r\n%s\r\n%x\r\n%s\r\n0\r\n\r\n", half, body[:half], size-half, body[half:])
		if half == 0 {
			chunked = fmt.Appendf(nil, "%x\r\n%s\r\n0\r\n\r\n", size, body)
		}
		if size == 0 {
			chunked = []byte("0\r\n\r\n")
		}
		for _, c := range []struct {
			kind, head string
			sent       []byte
		}{
			{"length", fmt.Sprintf("Content-Length: %d\r\n\r\n", size), body},
			{"chunks", "Transfer-Encoding: chunked\r\n\r\n", chunked},
			{"until close", "\r\n", body},
			{"short length", fmt.Sprintf("Content-Length: %d\r\n\r\n", size+1), body},
			{"short chunks", "Transfer-Encoding: chunked\r\n\r\n", chunked[:len(chunked)-5]},
		} {
			s := newRawServer(t, func(_ int, conn net.Conn) bool {
				conn.Write([]byte(headOK + c.head))
				conn.Write(c.sent)
				return false
			})
			call := newCall("POST", s.address(), nil)
			call.MaxResponseBytes, call.AllowCloseDelimited = 1<<20, true
			r, err := transport.Do(t.Context(), call)
			switch short := c.kind == "short length" || c.kind == "short chunks"; {
			case size > 1<<20 || c.kind == "short length" && size == 1<<20:
				if !errors.Is(err, problem.TooLarge) {
					t.Errorf("%d bytes, %s: error %v, want too_large", size, c.kind, err)
				}
			case short:
				if !errors.Is(err, problem.Unavailable) {
					t.Errorf("%d bytes, %s: error %v, want unavailable", size, c.kind, err)
				}
			case err != nil || !bytes.Equal(r.Body, body):
				t.Errorf("%d bytes, %s: %d bytes arrived, error %v", size, c.kind, len(r.Body), err)
			}
			if shared := transport.bodies.total.Load(); shared != 0 {
				t.Fatalf("%d bytes, %s: %d bytes still count as being read", size, c.kind, shared)
			}
		}
	}
}

// Guards against memory over the limit while the parts of a large body are joined, and against a limit that holds for one
// body but not for several.
func TestBodiesBeingReadShareOneLimit(t *testing.T) {
	const size, limit = 1 << 20, 5 << 19
	read := func(b *BodyReader, r io.Reader) error {
		_, err := b.Read(r, limit)
		return err
	}
	body := strings.Repeat("x", size)
	if err := read(NewBodyReader(2*size-chunkBytes), strings.NewReader(body)); problem.KindOf(err) != problem.Overloaded {
		t.Errorf("a body that needs twice its size to be joined: %v", err)
	}
	b := NewBodyReader(limit)
	reader, writer := io.Pipe()
	first := make(chan error, 1)
	go func() { first <- read(b, reader) }()
	if _, err := io.WriteString(writer, body+"x"); err != nil {
		t.Fatal(err)
	}
	if err := read(b, strings.NewReader(body)); problem.KindOf(err) != problem.Overloaded {
		t.Errorf("a second body beside one that is being read: %v", err)
	}
	writer.Close()
	if err := <-first; err != nil {
		t.Errorf("the first body: %v", err)
	}
	if err := read(b, strings.NewReader(body)); err != nil {
		t.Errorf("a body after the others: %v", err)
	}
}
