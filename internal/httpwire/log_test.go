package httpwire

import (
	"bytes"
	"io"
	"log"
	"net"
	"strings"
	"sync"
	"testing"
	"time"
)

// lockedBuffer is a buffer for several goroutines.
type lockedBuffer struct {
	mu   sync.Mutex
	data bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.data.Write(p)
}

func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.data.String()
}

// Guards against the bytes of a backend server in the output of the process, where they leave the regions to which their
// request is confined.
func TestBytesAfterAnAnswerAreNotLogged(t *testing.T) {
	output := &lockedBuffer{}
	defer log.SetOutput(log.Writer())
	log.SetOutput(LogFilter{Out: output})
	s := newRawServer(t, func(_ int, c net.Conn) bool {
		_, err := io.WriteString(c, headOK+"Content-Length: 2\r\n\r\nokconfined")
		return err == nil
	})
	transport := newTestTransport(t)
	for range 3 {
		if _, err := transport.Do(t.Context(), newCall("POST", s.address(), nil)); err != nil {
			t.Fatal(err)
		}
	}
	for deadline := time.Now().Add(5 * time.Second); output.String() == "" && time.Now().Before(deadline); {
		<-time.After(time.Millisecond)
	}
	log.Print("another line")
	if got := output.String(); strings.Contains(got, "confined") || !strings.Contains(got, string(unsolicitedPrefix)+"\n") || !strings.Contains(got, "another line\n") {
		t.Errorf("the output is %q", got)
	}
}
