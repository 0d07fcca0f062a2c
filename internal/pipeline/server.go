// Package pipeline is an HTTP/1.1 server whose handler gets the requests of one connection while earlier ones of it are
// in progress. The answers are written in the order of the requests. docs/design/pipelining.md gives the rules, and says
// what of net/http it uses.
package pipeline

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"heatherreel/internal/intake"
)

// Classifier tells of a request, before it is handled, what decides when it may start. Without one, requests of a
// connection are handled one after the other.
type Classifier interface {
	Classify(req *http.Request) Class
}

// Server serves HTTP/1.1 connections. The fields that are exported do not change while it serves.
//
// mu guards the fields below it.
type Server struct {
	Handler    http.Handler
	Classifier Classifier
	// Depth is the largest number of unanswered requests of one connection that are being handled; 0 means 1.
	Depth int
	// Limits returns the limits in force; nil for DefaultLimits.
	Limits func() Limits
	// Governor limits the connections and the memory of this server and others; nil for no limit. Group is the group of
	// its connections.
	Governor *Governor
	Group    intake.Group

	mu        sync.Mutex
	listeners map[net.Listener]bool
	// conns are all connections. A value is true until all answers of the connection are written.
	conns map[*conn]bool
	// active is the number of connections whose answers may not all be written.
	active int
	// quiet is closed when active becomes 0; nil while nobody waits for that.
	quiet chan struct{}
	// stopping is set by Shutdown and Close.
	stopping bool
}

// maxAcceptDelay is the longest pause after the failure to accept a connection, for example without a free descriptor.
const maxAcceptDelay = time.Second

// Serve accepts connections until Shutdown or Close is called, and then returns http.ErrServerClosed.
func (s *Server) Serve(l net.Listener) error {
	if !s.addListener(l) {
		_ = l.Close()
		return http.ErrServerClosed
	}
	delay := 5 * time.Millisecond
	for {
		network, err := l.Accept()
		if err == nil {
			delay = 5 * time.Millisecond
			if c := s.addConn(network); c != nil {
				go c.serve()
			}
			continue
		}
		var netErr net.Error
		switch {
		case s.isStopping():
			return http.ErrServerClosed
		case errors.Is(err, net.ErrClosed) || !errors.As(err, &netErr):
			return err
		}
		<-time.After(delay)
		delay = min(2*delay, maxAcceptDelay)
	}
}

func (s *Server) addListener(l net.Listener) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.listeners == nil {
		s.listeners, s.conns = map[net.Listener]bool{}, map[*conn]bool{}
	}
	s.listeners[l] = true
	return !s.stopping
}

// addConn returns the connection, or closes it and returns nil if the server stops or has no room for it.
func (s *Server) addConn(network net.Conn) *conn {
	c := newConn(s, network)
	if s.Governor != nil {
		if c.account = s.Governor.open(c, c.remote, s.Group); c.account == nil {
			c.turnAway()
			return nil
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopping {
		_ = network.Close()
		s.Governor.close(c.account)
		return nil
	}
	s.conns[c] = true
	s.active++
	return c
}

// answered records that all answers of a connection are written.
func (s *Server) answered(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.conns[c] {
		return
	}
	s.conns[c] = false
	if s.active--; s.active == 0 && s.quiet != nil {
		close(s.quiet)
		s.quiet = nil
	}
}

// remove forgets a connection that is closed.
func (s *Server) remove(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
}

func (s *Server) isStopping() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stopping
}

// stop closes the listeners and returns the connections.
func (s *Server) stop() []*conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopping = true
	for l := range s.listeners {
		_ = l.Close()
	}
	conns := make([]*conn, 0, len(s.conns))
	for c := range s.conns {
		conns = append(conns, c)
	}
	return conns
}

// Shutdown closes the listeners and the connections without unanswered requests, lets no further request start, and waits
// until the answers to the others are written or ctx ends. It returns the error of ctx in that case.
func (s *Server) Shutdown(ctx context.Context) error {
	for _, c := range s.stop() {
		c.close()
	}
	s.mu.Lock()
	if s.active == 0 {
		s.mu.Unlock()
		return nil
	}
	if s.quiet == nil {
		s.quiet = make(chan struct{})
	}
	quiet := s.quiet
	s.mu.Unlock()
	select {
	case <-quiet:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Close closes the listeners and all connections.
func (s *Server) Close() error {
	for _, c := range s.stop() {
		c.breakOff()
	}
	return nil
}

// classify returns the class of a request.
func (s *Server) classify(req *http.Request) Class {
	if s.Classifier == nil {
		return Class{}
	}
	return s.Classifier.Classify(req)
}

// limits returns the limits in force.
func (s *Server) limits() Limits {
	if s.Limits == nil {
		return defaultLimits
	}
	return s.Limits()
}

var defaultLimits = DefaultLimits()

// depth returns the largest number of unanswered requests of a connection.
func (s *Server) depth() int { return max(s.Depth, 1) }
