package daemon

import (
	"errors"
	"io"
	"net"
	"net/netip"
	"os"
	"testing"
	"time"

	"heatherreel/internal/fake"
)

// Guards against connections and goroutines of a node that are occupied for good by announcements, or requests of
// operators, whose body does not arrive.
func TestUnfinishedRequestsEnd(t *testing.T) {
	t.Parallel()
	// maxRequestTime is above the read timeouts of the servers.
	const maxRequestTime = 7 * time.Second
	n := startOwnerNode(t, "i-1", startLog(t), time.Second, fake.BackendOptions{})
	defer n.close(n.stopServing)
	for name, test := range map[string]struct {
		address netip.AddrPort
		head    string
	}{
		"announcement": {n.settings.BackendAddress, "PUT /v1/announcement HTTP/1.1\r\n"},
		"operator":     {n.settings.OperatorsAddress, "GET /v1/status HTTP/1.1\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			conn, err := net.Dial("tcp", test.address.String())
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			if _, err := io.WriteString(conn, test.head+"Host: node\r\nContent-Length: 100\r\n\r\n{"); err != nil {
				t.Fatal(err)
			}
			if err := conn.SetReadDeadline(time.Now().Add(maxRequestTime)); err != nil {
				t.Fatal(err)
			}
			if _, err := io.Copy(io.Discard, conn); errors.Is(err, os.ErrDeadlineExceeded) {
				t.Errorf("the connection is still open %v after its last byte", maxRequestTime)
			}
		})
	}
}
