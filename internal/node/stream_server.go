package node

import (
	"context"
	"errors"
	"io"
	"os"
	"sync/atomic"
	"time"

	"storj.io/drpc/drpcctx"

	"heatherreel/internal/bootclock"
	"heatherreel/internal/node/nodepb"
	"heatherreel/internal/problem"
	"heatherreel/internal/routed"
	"heatherreel/internal/stream"
)

// drainTime bounds the time in which the sender of a body must notice the answer to it. Then its stream is ended.
const drainTime = time.Second

// DispatchStream implements nodepb.DRPCRouterServer.
func (e *routerEndpoint) DispatchStream(s nodepb.DRPCRouter_DispatchStreamStream) error {
	first, err := s.Recv()
	if err != nil {
		return err
	}
	if first.Request == nil || first.BodyLength < -1 {
		return problem.New(problem.Malformed, "check the sending node", "the first part has no request")
	}
	now := time.Now()
	m := first.Request
	r := decodeDispatch(m, now, e.pathDelays.observe(m.Clock, decodeReading(m.SentUs), decodeDuration(m.PathDelayUs), bootclock.Now()))
	r.Body = nil
	parts := newPartReader(s, first.BodyLength)
	r.Stream = routed.NewBodyStream(first.BodyLength, parts, func() error { return parts.start(r.Deadline) }, parts.abort)
	progress := DispatchProgress{Interval: dispatchProgressInterval, Report: func() {
		// An error closes the stream, which cancels the context of the request.
		_ = sendNow(s, &nodepb.DispatchResponse{Running: true})
	}}
	answer := e.service.Dispatch(s.Context(), r, progress)
	parts.abort()
	if err := sendNow(s, encodeDispatchAnswer(answer)); err != nil {
		return err
	}
	if err := s.CloseSend(); err != nil {
		return err
	}
	return parts.drain()
}

// sendNow sends a response at once.
func sendNow(s nodepb.DRPCRouter_DispatchStreamStream, m *nodepb.DispatchResponse) error {
	if err := s.Send(m); err != nil {
		return err
	}
	return flush(s)
}

// receivedPart is a part of a body, or the error with which the parts ended.
type receivedPart struct {
	part *nodepb.DispatchPart
	err  error
}

// partReader reads the body of a request from the parts that another node sends. One goroutine receives them; it waits while
// nobody reads, so that the sender is held up.
type partReader struct {
	stream nodepb.DRPCRouter_DispatchStreamStream
	// connection is the one of the stream; nil if it is not that of a Server.
	connection *budgetConn
	parts      chan receivedPart
	// ctx ends when the rest of the body is not needed. ended is closed when no part is received any more.
	ctx   context.Context
	abort context.CancelFunc
	ended chan struct{}
	// receiving is set once receive was started. The body must arrive by the deadline.
	receiving atomic.Bool
	deadline  time.Time

	// The reader alone uses the fields below. length is the length of the body or -1, and read what has been read of it.
	length, read int64
	rest         []byte
	last         bool
	err          error
}

func newPartReader(s nodepb.DRPCRouter_DispatchStreamStream, length int64) *partReader {
	p := &partReader{stream: s, parts: make(chan receivedPart), ended: make(chan struct{}), length: length}
	p.ctx, p.abort = context.WithCancel(s.Context())
	if transport, ok := drpcctx.Transport(s.Context()); ok {
		if p.connection, ok = transport.(*budgetConn); ok {
			p.connection.watch()
		}
	}
	return p
}

// start asks for the body, which must arrive by the deadline and within stream.MaxTime.
func (p *partReader) start(deadline time.Time) error {
	if p.ctx.Err() != nil {
		// The request was answered meanwhile.
		return p.ctx.Err()
	}
	p.deadline = time.Now().Add(stream.MaxTime)
	if deadline.Before(p.deadline) {
		p.deadline = deadline
	}
	p.startReceiving()
	return sendNow(p.stream, &nodepb.DispatchResponse{ReadyForBody: true})
}

func (p *partReader) startReceiving() {
	if p.receiving.CompareAndSwap(false, true) {
		go p.receive()
	}
}

// receive receives parts until the last one or an error. What comes when nobody reads any more is dropped.
func (p *partReader) receive() {
	defer close(p.ended)
	for {
		part, err := p.stream.Recv()
		if p.connection != nil {
			// What has been received does not pile up, as nothing more is received before it is read.
			p.connection.release(false)
		}
		select {
		case p.parts <- receivedPart{part, err}:
		case <-p.ctx.Done():
		}
		if err != nil || part.Last {
			return
		}
	}
}

// Read implements io.Reader. It returns io.EOF only after the part that is marked as the last one.
func (p *partReader) Read(b []byte) (int, error) {
	for len(p.rest) == 0 && p.err == nil {
		p.err = p.next()
	}
	if len(p.rest) == 0 {
		return 0, p.err
	}
	n := copy(b, p.rest)
	p.rest = p.rest[n:]
	return n, nil
}

// next waits for the next part. It returns io.EOF at the end of the body.
func (p *partReader) next() error {
	if p.last {
		return io.EOF
	}
	received, err := p.await()
	switch {
	case err != nil:
		return err
	case errors.Is(received.err, io.EOF):
		return io.ErrUnexpectedEOF
	case received.err != nil:
		return received.err
	}
	body := received.part.Body
	p.last = received.part.Last
	p.read += int64(len(body))
	switch {
	case len(body) > maxPartBytes, p.length >= 0 && p.read > p.length, p.last && p.length >= 0 && p.read < p.length:
		return problem.New(problem.Malformed, "check the sending node", "the parts do not fit the body of %d bytes", p.length)
	}
	p.rest = body
	return nil
}

// await waits for a part. It gives up when the connection is silent for dispatchSilenceLimit: a sender whose caller is slow
// sends empty parts.
func (p *partReader) await() (receivedPart, error) {
	heard := time.Now()
	timer := time.NewTimer(min(dispatchSilenceLimit, time.Until(p.deadline)))
	defer timer.Stop()
	for {
		select {
		case received := <-p.parts:
			return received, nil
		case <-p.ctx.Done():
			return receivedPart{}, p.ctx.Err()
		case <-timer.C:
		}
		if p.connection != nil {
			heard = maxTime(heard, p.connection.lastReceived())
		}
		now := time.Now()
		if !now.Before(p.deadline) {
			return receivedPart{}, os.ErrDeadlineExceeded
		}
		left := heard.Add(dispatchSilenceLimit).Sub(now)
		if left <= 0 {
			return receivedPart{}, problem.New(problem.Unavailable, "check the network between the nodes", "the sender of the body is silent")
		}
		timer.Reset(min(left, p.deadline.Sub(now)))
	}
}

// drain waits until the sender has noticed the answer. It returns an error, which ends the stream, if that takes too long:
// drpc does not notice the end of a connection while a message is not received, nor serve another call on it.
func (p *partReader) drain() error {
	p.startReceiving()
	timer := time.NewTimer(drainTime)
	defer timer.Stop()
	select {
	case <-p.ended:
		return nil
	case <-timer.C:
		return problem.New(problem.Unavailable, "none: the request is answered", "the body is sent although its request is answered")
	}
}
