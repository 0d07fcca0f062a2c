package node

import (
	"context"
	"errors"
	"io"
	"sync/atomic"
	"time"

	"heatherreel/internal/bootclock"
	"heatherreel/internal/node/nodepb"
	"heatherreel/internal/problem"
	"heatherreel/internal/routed"
)

const (
	// maxPartBytes is the largest body of a part that is accepted.
	maxPartBytes = 64 << 10
	// partBytes is the largest body of a part that is sent. Both ends hold several copies of a part, so that it is half of
	// what the other end accepts.
	partBytes = 32 << 10
	// partBuffers is the number of buffers of a sender: one is sent while the other is filled.
	partBuffers = 2
)

// dispatchStream sends a request whose body is a stream. Errors are problem.NotSent if no byte of the body was sent, as the
// other node runs nothing before that, and problem.Unavailable otherwise.
func (c *Client) dispatchStream(ctx context.Context, address string, r routed.Request) (routed.Answer, error) {
	conn, err := c.connPool.take(ctx, address, true)
	if err != nil {
		return routed.Answer{}, err
	}
	sent := time.Now()
	// Until the body is sent, the request can be sent to another node instead, unless only the owner of its key can run it.
	p := untilLimit
	if r.Keyed {
		p = untilDead
	}
	conn.watchdog.arm(newSilenceRule(dispatchSilenceLimit, dispatchProgressInterval, r.Deadline.Sub(sent), p), 0)
	s := &bodySender{conn: conn, request: r, stopped: make(chan struct{}), ended: make(chan error, 1)}
	first := &nodepb.DispatchPart{BodyLength: r.Stream.Length,
		Request: encodeDispatch(r, sent, sendTimes{clock: c.clock, sent: bootclock.Now(), pathDelay: conn.pathDelay(sent)})}
	answer, err := s.exchange(ctx, first)
	conn.watchdog.disarm()
	err = c.explainSilence(address, conn, sent, dispatchProgressInterval, err)
	if err != nil && !s.sent.Load() {
		_ = conn.Close()
		return routed.Answer{}, problem.New(problem.NotSent, unreachableRemedy, "call to node %s: %w", address, err)
	}
	return answer, c.finishCall(address, conn, err)
}

// bodySender sends the body of one request to another node.
type bodySender struct {
	conn    *connection
	stream  nodepb.DRPCRouter_DispatchStreamClient
	request routed.Request
	// started is set once the other node awaits the body.
	started bool
	// sent is set before the first byte of the body is sent.
	sent atomic.Bool
	// stopped is closed when the rest of the body is not needed. ended receives the result of run.
	stopped chan struct{}
	ended   chan error
}

// exchange sends the request and waits for its answer.
func (s *bodySender) exchange(ctx context.Context, first *nodepb.DispatchPart) (answer routed.Answer, err error) {
	if s.stream, err = nodepb.NewDRPCRouterClient(s.conn).DispatchStream(ctx); err != nil {
		return routed.Answer{}, err
	}
	defer s.stream.Close()
	if err := s.send(first); err != nil {
		return routed.Answer{}, err
	}
	for {
		response, err := s.stream.Recv()
		switch {
		case err != nil:
			return routed.Answer{}, s.explain(ctx, errors.Join(s.stop(), err))
		case response.Running:
		case response.ReadyForBody && s.started:
			return routed.Answer{}, errors.Join(s.stop(), problem.New(problem.Malformed, "check the other node", "it asked for the body twice"))
		case response.ReadyForBody:
			s.started = true
			// The body can be sent only once, so that the answer is awaited as long as the node may still send it.
			s.conn.watchdog.arm(newSilenceRule(dispatchSilenceLimit, dispatchProgressInterval, time.Until(s.request.Deadline), untilRefused), 0)
			go func() { s.ended <- s.run() }()
		default:
			s.finish()
			return decodeDispatchAnswer(response), nil
		}
	}
}

// explain adds the state of the other node to the error of an exchange. A node that ended the call with an error, as an older
// one does that does not know it, still answers on the connection.
func (s *bodySender) explain(ctx context.Context, err error) error {
	_ = s.stream.Close()
	if _, silent := s.conn.watchdog.silentPeer(); silent || ctx.Err() != nil || s.conn.ping(ctx, pingTimeout) != nil {
		return err
	}
	return &callRefusedError{err}
}

// finish ends the exchange after the answer. The connection is used again only if the body was sent to its end.
func (s *bodySender) finish() {
	select {
	case err := <-s.ended:
		s.ended <- err
		if err == nil && s.endsCleanly() {
			return
		}
	default:
		if !s.started && s.endsCleanly() {
			return
		}
	}
	_ = s.stop()
	_ = s.conn.Close()
}

// endsCleanly ends both directions of the stream and reports whether the connection can be used again.
func (s *bodySender) endsCleanly() bool {
	if s.stream.CloseSend() != nil {
		return false
	}
	_, err := s.stream.Recv()
	return errors.Is(err, io.EOF)
}

// stop ends the sending of the body, and closes the connection if that was in progress, so that the other node cannot take
// what it has for the whole body. It returns the error with which it ended.
func (s *bodySender) stop() error {
	if !s.started {
		return nil
	}
	select {
	case err := <-s.ended:
		return err
	default:
	}
	close(s.stopped)
	_ = s.conn.Close()
	return <-s.ended
}

// filledPart is a part of the body that was read. err is io.EOF for the last one.
type filledPart struct {
	buffer []byte
	size   int
	err    error
}

// run sends the body. While the caller sends nothing, it sends empty parts, so that the other node can tell that from a lost
// connection. If the body ends early, the connection is closed.
func (s *bodySender) run() error {
	ticker := time.NewTicker(dispatchProgressInterval)
	defer ticker.Stop()
	filled, empty := make(chan filledPart), make(chan []byte, partBuffers)
	for range partBuffers {
		empty <- make([]byte, partBytes)
	}
	go s.read(filled, empty)
	for {
		part := &nodepb.DispatchPart{}
		select {
		case f := <-filled:
			if f.err != nil && f.err != io.EOF {
				_ = s.conn.Close()
				return f.err
			}
			part.Body, part.Last = f.buffer[:f.size], f.err == io.EOF
			s.sent.Store(true)
			if err := s.send(part); err != nil || part.Last {
				return err
			}
			empty <- f.buffer
		case <-ticker.C:
			if err := s.send(part); err != nil {
				return err
			}
		case <-s.stopped:
			return nil
		}
	}
}

// read reads the body until its end, an error, or the end of the sending. A read in progress then ends when the owner of the
// stream ends it.
func (s *bodySender) read(filled chan<- filledPart, empty <-chan []byte) {
	err := s.request.Stream.Begin()
	for {
		f := filledPart{err: err}
		if err == nil {
			select {
			case f.buffer = <-empty:
			case <-s.stopped:
				return
			}
			f.size, f.err = s.request.Stream.Read(f.buffer)
		}
		select {
		case filled <- f:
		case <-s.stopped:
			return
		}
		if f.err != nil {
			return
		}
	}
}

// send sends a part at once.
func (s *bodySender) send(part *nodepb.DispatchPart) error {
	if err := s.stream.Send(part); err != nil {
		return err
	}
	return flush(s.stream)
}
