package clienttest

import (
	"context"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

const (
	// crowdSize is the number of clients that misbehave at the same time: half of the connections with which the fault was
	// measured on a whole machine.
	crowdSize = 750
	// largeCrowdSize is their number if each of them sends or asks for much.
	largeCrowdSize = 64
	// readerCrowdSize is their number if they read slowly or not at all.
	readerCrowdSize = 300
	// sendLimit bounds the time in which the clients send what they have.
	sendLimit = 4 * time.Second
	// settlePause is the time for which the process must use no more memory and descriptors than before to count as having
	// taken in what the clients sent, and settleLimit bounds the wait for that.
	settlePause = 250 * time.Millisecond
	settleLimit = 5 * time.Second
	// answerLimit bounds the wait for the answer to an ordinary request. A process that takes longer is hanging.
	answerLimit = 20 * time.Second
	// samplePause is the pause between two counts of the open descriptors.
	samplePause = 25 * time.Millisecond
	// crowdIP is the address of all clients of a crowd. Ordinary callers have another one.
	crowdIP = "127.0.0.2"
)

// clientScript is what one client does. It stays connected until the end of the test, or until the process closes the
// connection.
type clientScript struct {
	// sends are written in turn.
	sends []string
	// repeat, unless empty, is written again and again afterwards, with pause between.
	repeat string
	pause  time.Duration
	// ignoresAnswers is set if the client reads nothing, or one byte after each pause if there is a pause.
	ignoresAnswers bool
}

// crowd is a number of clients.
type crowd struct {
	ctx    context.Context
	cancel context.CancelFunc
	// sending counts the clients that have not written all of clientScript.sends.
	sending sync.WaitGroup
	all     sync.WaitGroup
	// connected and written count connections and bytes.
	connected, written atomic.Int64

	// mu guards statuses, which counts the answers by the status of the first one of each client.
	mu       sync.Mutex
	statuses map[string]int
}

// startCrowd connects size clients to the address; script returns what each of them does.
func startCrowd(address string, size int, script func(i int) clientScript) *crowd {
	c := &crowd{statuses: map[string]int{}}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	for i := range size {
		c.sending.Add(1)
		c.all.Go(func() { c.run(address, script(i)) })
	}
	return c
}

// run is one client. It ends once the connection is closed, or the crowd ends.
func (c *crowd) run(address string, s clientScript) {
	sent := sync.OnceFunc(c.sending.Done)
	defer sent()
	dialer := net.Dialer{Timeout: sendLimit, LocalAddr: &net.TCPAddr{IP: net.ParseIP(crowdIP)}}
	if s.ignoresAnswers {
		dialer.Control = setSmallBuffers
	}
	conn, err := dialer.DialContext(c.ctx, "tcp", address)
	if err != nil {
		return
	}
	defer conn.Close()
	c.connected.Add(1)
	defer context.AfterFunc(c.ctx, func() { conn.Close() })()
	read := make(chan struct{})
	if s.ignoresAnswers {
		close(read)
	} else {
		c.all.Go(func() {
			defer close(read)
			c.readAnswers(conn)
		})
	}
	for _, text := range s.sends {
		n, err := io.WriteString(conn, text)
		c.written.Add(int64(n))
		if err != nil {
			// The answer may have arrived before the end of the connection.
			<-read
			return
		}
	}
	sent()
	for s.pause > 0 {
		select {
		case <-c.ctx.Done():
			return
		case <-time.After(s.pause):
		}
		if s.ignoresAnswers {
			if _, err := conn.Read(make([]byte, 1)); err != nil {
				return
			}
		}
		if _, err := io.WriteString(conn, s.repeat); err != nil {
			return
		}
	}
	<-c.ctx.Done()
}

// readAnswers counts the first answer on a connection and drops all others.
func (c *crowd) readAnswers(conn net.Conn) {
	begin := make([]byte, len("HTTP/1.1 200"))
	if _, err := io.ReadFull(conn, begin); err == nil {
		c.mu.Lock()
		c.statuses[string(begin[len(begin)-3:])]++
		c.mu.Unlock()
	}
	_, _ = io.Copy(io.Discard, conn)
}

// setSmallBuffers makes the kernels of both ends take in few bytes that the client does not read. The segments of loopback
// are 64 KB, for which the sending kernel has a buffer of over a megabyte; over a network they are as small as here.
func setSmallBuffers(_, _ string, conn syscall.RawConn) error {
	return conn.Control(func(fd uintptr) {
		// With larger buffers the test is less strict, but not wrong.
		_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4096)
		_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, 1400)
	})
}

// awaitSent waits until all clients have written what they have, or sendLimit has passed.
func (c *crowd) awaitSent() {
	sent := make(chan struct{})
	go func() {
		c.sending.Wait()
		close(sent)
	}()
	select {
	case <-sent:
	case <-time.After(sendLimit):
	}
}

// awaitSettled waits until the process has taken in what the clients sent.
func (p *gatewayProcess) awaitSettled() {
	for began, lastPeak, lastOpen := time.Now(), int64(0), 0; time.Since(began) < settleLimit; <-time.After(settlePause) {
		// Without the files the process has ended, which the caller notices.
		_, peak, _ := p.memory()
		open, _ := p.descriptors()
		if peak == lastPeak && open == lastOpen {
			return
		}
		lastPeak, lastOpen = peak, open
	}
}

// end closes the connections.
func (c *crowd) end() {
	c.cancel()
	c.all.Wait()
}

// checkCrowd lets a crowd loose on a new process. The process must live, stay within its memory and its descriptors, and
// answer an ordinary caller while the crowd is connected and afterwards.
func checkCrowd(t *testing.T, address func(*gatewayProcess) string, size int, script func(i int) clientScript) {
	t.Helper()
	p := startGateway(t)
	checkCrowdAt(t, p, p, address(p), size, script)
}

// checkCrowdAt lets a crowd loose on an address of one process, and checks the memory and descriptors of another or the same
// one. The first must answer an ordinary caller. It returns the number of clients by the status of their first answer.
func checkCrowdAt(t *testing.T, p, checked *gatewayProcess, address string, size int, script func(i int) clientScript) map[string]int {
	t.Helper()
	calm, _, err := checked.memory()
	if err != nil {
		t.Fatal(err)
	}
	var maxOpen int
	over, sampled := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(sampled)
		for {
			// The count of a process that has ended is 0.
			open, _ := checked.descriptors()
			maxOpen = max(maxOpen, open)
			select {
			case <-over:
				return
			case <-time.After(samplePause):
			}
		}
	}()
	c := startCrowd(address, size, script)
	defer c.end()
	c.awaitSent()
	p.awaitSettled()
	during := p.awaitAnswer(answerLimit)
	c.end()
	afterwards := p.awaitAnswer(answerLimit)
	close(over)
	<-sampled
	_, peak, err := checked.memory()
	switch {
	case !p.isAlive() || !checked.isAlive():
		t.Fatalf("a process has ended: %v, %v", p.command.ProcessState, checked.command.ProcessState)
	case err != nil:
		t.Fatal(err)
	}
	t.Logf("%d of %d clients connected and sent %.1f MB; memory %.1f MB at rest, %.1f MB at most; %d descriptors at most",
		c.connected.Load(), size, float64(c.written.Load())/1e6, float64(calm)/(1<<20), float64(peak)/(1<<20), maxOpen)
	if peak > memoryMB<<20 {
		t.Errorf("the process used %.1f MB, limit %d", float64(peak)/(1<<20), memoryMB)
	}
	if maxOpen > maxFDs {
		t.Errorf("the process had %d open descriptors, limit %d", maxOpen, maxFDs)
	}
	if during != nil || afterwards != nil {
		t.Errorf("an ordinary request is not answered within %v: while the clients are connected: %v; afterwards: %v", answerLimit, during, afterwards)
	}
	return c.statuses
}
