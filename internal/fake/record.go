package fake

import (
	"bytes"
	"net"
	"sync"
)

// Recorder keeps the bytes that arrive on connections, so that a test can search for what must not arrive.
//
// mu guards all fields.
type Recorder struct {
	mu          sync.Mutex
	limit, size int
	streams     []*bytes.Buffer
	truncated   bool
}

// NewRecorder returns a recorder that keeps at most limit bytes.
func NewRecorder(limit int) *Recorder { return &Recorder{limit: limit} }

// Wrap returns a listener whose connections are recorded.
func (r *Recorder) Wrap(l net.Listener) net.Listener {
	return &recordingListener{Listener: l, recorder: r}
}

// Contains reports whether text arrived on one connection. It panics if the limit was passed, since the answer would
// not be reliable then.
func (r *Recorder) Contains(text []byte) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.truncated {
		panic("fake: the recorder passed its limit; enlarge it")
	}
	for _, stream := range r.streams {
		if bytes.Contains(stream.Bytes(), text) {
			return true
		}
	}
	return false
}

// Size returns the number of bytes that arrived.
func (r *Recorder) Size() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.size
}

// open returns the record of a new connection.
func (r *Recorder) open() *bytes.Buffer {
	r.mu.Lock()
	defer r.mu.Unlock()
	stream := &bytes.Buffer{}
	r.streams = append(r.streams, stream)
	return stream
}

// add appends received bytes to the record of a connection.
func (r *Recorder) add(stream *bytes.Buffer, p []byte) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.size += len(p)
	if r.size > r.limit {
		r.truncated = true
		return
	}
	stream.Write(p)
}

// recordingListener records the connections that it accepts.
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
	return &recordingConn{Conn: conn, recorder: l.recorder, stream: l.recorder.open()}, nil
}

// recordingConn records what is read from it.
type recordingConn struct {
	net.Conn
	recorder *Recorder
	stream   *bytes.Buffer
}

// Read implements net.Conn.
func (c *recordingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.recorder.add(c.stream, p[:n])
	return n, err
}
