package httpwire

import (
	"io"
	"net"
	"testing"
	"time"
)

// Guards against a reply that has arrived but counts as missing, because the process stood still until its deadline had
// passed. The outcome of an append would be unknown.
func TestReplyDuringPauseOfProcessIsRead(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	client, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	server, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer server.Close()
	conn := &answerConn{writeTrackingConn: newWriteTrackingConn(client)}
	defer conn.Close()
	canceled := false
	a := &answer{limits: SilenceLimits{First: 20 * time.Millisecond, Next: time.Second}, cancel: func(error) { canceled = true }}
	conn.expect(a)
	if _, err := io.WriteString(server, "reply"); err != nil {
		t.Fatal(err)
	}
	// No read is pending while the process stands still.
	<-time.After(2 * a.limits.First)
	p := make([]byte, 16)
	if n, err := conn.Read(p); string(p[:n]) != "reply" || err != nil || canceled {
		t.Errorf("read %q, error %v, canceled %v", p[:n], err, canceled)
	}
	conn.expect(a)
	began := time.Now()
	if n, err := conn.Read(p); n > 0 || err == nil || !canceled || time.Since(began) > 500*time.Millisecond {
		t.Errorf("silent server: read %q, error %v, canceled %v after %v", p[:n], err, canceled, time.Since(began))
	}
}
