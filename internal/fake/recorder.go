package fake

import (
	"bytes"
	"net"
	"sync"
)

// Recorder stores the bytes that are received on connections, so that a test can check that certain bytes never arrive.
//
// mu guards all fields.
type Recorder struct {
	mu sync.Mutex
	// limit and size are numbers of bytes over all connections; size includes discarded bytes.
	limit, size int
	// streams holds the bytes of each connection.
	streams []*bytes.Buffer
	// truncated is set when bytes beyond limit were discarded.
	truncated bool
}

// NewRecorder returns a recorder that stores at most limit bytes, over all connections.
func NewRecorder(limit int) *Recorder { return &Recorder{limit: limit} }

// Wrap returns a listener that records what its connections receive.
func (r *Recorder) Wrap(l net.Listener) net.Listener {
	return &recordingListener{Listener: l, recorder: r}
}

// Contains reports whether text was received, within one connection. It panics if the recorder has discarded bytes
// beyond its limit, since text could be among them.
func (r *Recorder) Contains(text []byte) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.truncated {
		panic("fake: the received bytes exceed the limit of the recorder; raise the limit")
	}
	for _, stream := range r.streams {
		if bytes.Contains(stream.Bytes(), text) {
			return true
		}
	}
	return false
}

// Size returns the number of bytes received, including discarded ones.
func (r *Recorder) Size() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.size
}

// newStream adds a buffer for a new connection.
func (r *Recorder) newStream() *bytes.Buffer {
	r.mu.Lock()
	defer r.mu.Unlock()
	stream := &bytes.Buffer{}
	r.streams = append(r.streams, stream)
	return stream
}

// record appends received bytes to the buffer of their connection.
func (r *Recorder) record(stream *bytes.Buffer, data []byte) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.size += len(data)
	if r.size > r.limit {
		r.truncated = true
		return
	}
	stream.Write(data)
}

// recordingListener is a listener that records what its connections receive.
type recordingListener struct {
	net.Listener
	recorder *Recorder
}

// Accept implements net.Listener.
func (l *recordingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &recordingConn{Conn: conn, recorder: l.recorder, stream: l.recorder.newStream()}, nil
}

// recordingConn is a connection that records what is read from it.
type recordingConn struct {
	net.Conn
	recorder *Recorder
	stream   *bytes.Buffer
}

// Read implements net.Conn.
func (c *recordingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.recorder.record(c.stream, p[:n])
	return n, err
}
