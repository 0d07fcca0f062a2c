package pipeline

import (
	"bytes"
	"errors"
	"log"
	"net/http"
	"os"
	"runtime"
	"time"

	"heatherreel/internal/intake"
)

// stackTraceBytes bounds the stack trace of a panic of the handler.
const stackTraceBytes = 16 << 10

// answerHeadBytes is what the head of an answer takes, with its map.
const answerHeadBytes = 1 << 10

// refuse answers a request that does not reach the handler. It is the last one.
func (c *conn) refuse(r refusal) {
	e := &exchange{conn: c, header: http.Header{}, status: int(r)}
	if r == noMemory {
		e.header["Retry-After"] = []string{retryAfter}
	}
	c.mu.Lock()
	c.order.closing = true
	c.order.unanswered++
	c.add(e)
	c.mu.Unlock()
	c.finish(e)
}

// run runs the handler for an exchange and writes the answers that are ready then.
func (c *conn) run(e *exchange) {
	defer func() {
		if p := recover(); p != nil {
			if p != http.ErrAbortHandler {
				trace := make([]byte, stackTraceBytes)
				log.Printf("pipeline: panic of the handler: %v\n%s", p, trace[:runtime.Stack(trace, false)])
			}
			// Nothing is known about the answer, so that none may look complete.
			c.breakOff()
		}
		c.finish(e)
	}()
	c.server.Handler.ServeHTTP(e, e.request)
}

// finish records that the answer of an exchange is ready and writes all answers whose turn it is.
func (c *conn) finish(e *exchange) {
	complete := e.body == nil || e.body.finish()
	size := int64(len(e.content)) + answerHeadBytes
	now := time.Now()
	c.server.Governor.take(c, size, e.expected, now)
	e.reserved += size
	c.mu.Lock()
	defer c.mu.Unlock()
	e.done = true
	c.unread += int64(len(e.content))
	if !complete || e.closes() {
		c.order.closing = true
	}
	if c.writing {
		return
	}
	c.writing = true
	for c.first != nil && c.first.done {
		now = c.writeFirst(now)
	}
	c.writing = false
}

// writeFirst writes the answer of the earliest exchange and returns the time at which it is written. The caller holds mu,
// which is released meanwhile.
func (c *conn) writeFirst(now time.Time) time.Time {
	e := c.first
	if !c.broken {
		last := c.order.closing && e.next == nil
		c.mu.Unlock()
		err := c.write(e, last, now)
		c.mu.Lock()
		if err != nil {
			c.breakOffLocked()
		}
	}
	idle := e.next == nil
	c.mu.Unlock()
	now = time.Now()
	c.server.Governor.answered(c, e.reserved, idle, now)
	c.mu.Lock()
	c.unread -= int64(len(e.content))
	c.first = e.next
	if c.first == nil {
		c.last = nil
	}
	c.order.answered()
	if c.order.unanswered == 0 {
		c.idleSince = now
	}
	if c.awaitsTurn || c.order.closing {
		c.wake()
	}
	return now
}

// breakOff closes the connection although answers are not written, and cancels its requests.
func (c *conn) breakOff() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.breakOffLocked()
}

func (c *conn) breakOffLocked() {
	c.broken, c.order.closing = true, true
	c.cancel()
	_ = c.network.Close()
}

// writeContinue writes the interim answer that a caller awaits before it sends the body. All earlier answers are written.
func (c *conn) writeContinue() error {
	return c.writeAll([]byte("HTTP/1.1 100 Continue\r\n\r\n"), time.Now())
}

// errLength breaks a connection off whose answer is not as long as its head would say.
var errLength = errors.New("the length of the answer differs from the one in its head")

// write writes the answer of an exchange. last is set if the connection ends with it.
func (c *conn) write(e *exchange, last bool, now time.Time) error {
	if !e.isWhole() {
		return errLength
	}
	buffer := encodeBuffers.Get().(*bytes.Buffer)
	defer encodeBuffers.Put(buffer)
	buffer.Reset()
	c.server.Governor.blocked(c, now)
	rest := e.encode(buffer, last, now)
	err := c.writeAll(buffer.Bytes(), now)
	if err == nil && len(rest) > 0 {
		err = c.writeAll(rest, time.Now())
	}
	return err
}

// writeAll writes p. It gives up when the caller stops reading.
func (c *conn) writeAll(p []byte, began time.Time) error {
	limits := c.server.limits()
	if !c.writeDeadline.After(began.Add(limits.WriteTimeout)) {
		c.setWriteDeadline(began.Add(2 * limits.WriteTimeout))
	}
	for {
		n, err := c.network.Write(p)
		if err == nil || !errors.Is(err, os.ErrDeadlineExceeded) {
			return err
		}
		now := time.Now()
		if !limits.progresses(int64(n), now.Sub(began)) {
			c.server.Governor.refused(intake.SlowReader)
			return err
		}
		c.server.Governor.blocked(c, now)
		p, began = p[n:], now
		c.setWriteDeadline(now.Add(limits.WriteTimeout))
	}
}

// setWriteDeadline sets the deadline of writes. It lies far enough ahead that most answers need no new one.
func (c *conn) setWriteDeadline(t time.Time) {
	c.writeDeadline = t
	_ = c.network.SetWriteDeadline(t)
}

// turnAway refuses a connection for which there is no room.
func (c *conn) turnAway() {
	// The buffers of a new connection are empty, so that the write does not block.
	_ = c.network.SetDeadline(time.Now().Add(time.Second))
	_, _ = c.network.Write([]byte("HTTP/1.1 503 Service Unavailable\r\nRetry-After: " + retryAfter +
		"\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"))
	_ = c.network.Close()
	c.cancel()
}
