package httpwire

import (
	"io"
	"net"
	"testing"
	"time"
)

// Guards against closing a connection on which a request arrives, and against one that stays open although nothing has
// arrived on it.
func TestOnlyUnusedConnectionsAreClosed(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer inner.Close()
	l := NewListener(inner)
	connect := func() (client, server net.Conn) {
		client, err := net.Dial("tcp", inner.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { client.Close() })
		server, err = l.Accept()
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { server.Close() })
		return client, server
	}
	isClosed := func(c net.Conn) bool {
		_ = c.SetReadDeadline(time.Now().Add(200 * time.Millisecond))
		_, err := c.Read(make([]byte, 1))
		return err == io.EOF
	}
	unused, _ := connect()
	used, usedServer := connect()
	arriving, arrivingServer := connect()
	if _, err := io.WriteString(used, "x"); err != nil {
		t.Fatal(err)
	}
	if _, err := usedServer.Read(make([]byte, 1)); err != nil {
		t.Fatal(err)
	}
	if _, err := io.WriteString(arriving, "x"); err != nil {
		t.Fatal(err)
	}
	l.CloseUnused()
	late, _ := connect()
	if !isClosed(unused) || !isClosed(late) || isClosed(used) {
		t.Error("a connection without data is open, or one with data is closed")
	}
	if n, err := arrivingServer.Read(make([]byte, 1)); n > 0 || err == nil {
		t.Errorf("%d bytes are read from a closed connection, error %v", n, err)
	}
}
