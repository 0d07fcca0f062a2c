package node_test

import (
	"context"
	"net"
	"testing"
	"time"

	"heatherreel/internal/node"
	"heatherreel/internal/problem"
)

// slowListener accepts connections that send at most bytesPerInterval at each interval.
type slowListener struct {
	net.Listener
	bytesPerInterval int
	interval         time.Duration
}

func (l slowListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &slowConn{Conn: conn, listener: l}, nil
}

type slowConn struct {
	net.Conn
	listener slowListener
}

func (c *slowConn) Write(p []byte) (int, error) {
	written := 0
	for written < len(p) {
		n, err := c.Conn.Write(p[written:min(len(p), written+c.listener.bytesPerInterval)])
		written += n
		if err != nil {
			return written, err
		}
		if written < len(p) {
			<-time.After(c.listener.interval)
		}
	}
	return written, nil
}

// stateService answers with a snapshot of size bytes.
type stateService struct {
	node.Service
	size int
}

func (s stateService) Snapshot(context.Context) (node.Snapshot, error) {
	return node.Snapshot{Offset: 1, State: make([]byte, s.size)}, nil
}

// Guards against a control call that is given up while its answer arrives slowly.
func TestSlowSnapshotArrives(t *testing.T) {
	t.Parallel()
	server, err := node.NewServer(stateService{size: 1 << 20})
	requireNoError(t, err)
	f := newFixtureFor(t, func(ctx context.Context, listener net.Listener) error {
		return server.Serve(ctx, slowListener{Listener: listener, bytesPerInterval: 64 << 10, interval: 200 * time.Millisecond})
	})
	started := time.Now()
	snapshot, err := f.client.Snapshot(t.Context(), f.relay.Address())
	if took := time.Since(started); err != nil || len(snapshot.State) != 1<<20 || took < node.ControlSilenceTimeout {
		t.Errorf("%d bytes after %v, error %v; want the whole state after more than %v", len(snapshot.State), took, err, node.ControlSilenceTimeout)
	}
}

// Guards against a control call that waits for its deadline on a connection that has become silent.
func TestSilentPeerEndsControlCall(t *testing.T) {
	t.Parallel()
	f := newFixture(t)
	f.fillPool(t, 1)
	f.relay.Silence(true, true)
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	started := time.Now()
	_, err := f.client.Release(ctx, f.relay.Address(), node.ReleaseRequest{})
	if took := time.Since(started); problem.KindOf(err) != problem.Unavailable || took > node.ControlSilenceTimeout+time.Second {
		t.Errorf("the call ended after %v: %v", took, err)
	}
}
