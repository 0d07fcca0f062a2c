package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"golang.org/x/sys/unix"

	"heatherreel/internal/fake"
	"heatherreel/internal/lease"
	"heatherreel/internal/ledger"
	"heatherreel/internal/node"
	"heatherreel/internal/platformlog"
	"heatherreel/internal/request"
)

// Header sizes on the wire, in bytes.
const (
	// udpHeaders covers the headers of IPv4 and UDP.
	udpHeaders = 28
	// tcpHeaders covers the headers of IP and of TCP with timestamps; an acknowledgement without data has the same
	// size.
	tcpHeaders = 52
)

// meteredListener keeps the accepted connections, so that the kernel's byte and segment counts can be read.
//
// mu guards conns.
type meteredListener struct {
	net.Listener
	mu    sync.Mutex
	conns []*net.TCPConn
}

// Accept implements net.Listener.
func (l *meteredListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err == nil {
		l.mu.Lock()
		l.conns = append(l.conns, conn.(*net.TCPConn))
		l.mu.Unlock()
	}
	return conn, err
}

// wireBytes returns the bytes of all connections in both directions, headers and acknowledgements included.
func (l *meteredListener) wireBytes() uint64 {
	// The kernel may delay the last acknowledgement by 40 ms.
	<-time.After(60 * time.Millisecond)
	l.mu.Lock()
	defer l.mu.Unlock()
	var total uint64
	for _, conn := range l.conns {
		raw, err := conn.SyscallConn()
		if err != nil {
			continue
		}
		_ = raw.Control(func(fd uintptr) {
			info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
			if err == nil {
				total += info.Bytes_received + info.Bytes_acked + tcpHeaders*uint64(info.Segs_in+info.Segs_out)
			}
		})
	}
	return total
}

// listenMetered returns a meteredListener on a free port of 127.0.0.1.
func listenMetered() (*meteredListener, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	return &meteredListener{Listener: listener}, err
}

// measureWire sends each kind of message and measures its bytes on the wire.
func measureWire(ctx context.Context, o options) error {
	if err := measureLeaseBytes(); err != nil {
		return err
	}
	t := &table{
		title:  "Bytes on the wire of one call over TCP, both directions, with headers and acknowledgements (kernel's TCP_INFO)",
		header: []string{"call", "payload", "bytes on the wire", "the node's own estimate"},
	}
	if err := measureLogBytes(ctx, t, o.seed); err != nil {
		return err
	}
	if err := measureForwardBytes(ctx, t); err != nil {
		return err
	}
	t.print()
	return nil
}

// measureLeaseBytes sends each kind of lease message over UDP. Offsets and incarnations have the size that they have in
// a log with two million records.
func measureLeaseBytes() error {
	const offset, earlier = ledger.Offset(2_000_000), ledger.Offset(1_990_000)
	const holder, witness, claimant = ledger.Incarnation(1_950_000), ledger.Incarnation(1_980_000), ledger.Incarnation(1_960_000)
	// A holder numbers its renewals from 1; this is the number after a week with 12 renewals a second: one every 250 ms
	// to each of three witnesses.
	const sequence = 7 * secondsPerDay * 12
	sender, err := node.ListenLeaseMessages("127.0.0.1:0")
	if err != nil {
		return err
	}
	defer sender.Close()
	t := &table{
		title:  "Lease messages, by sending them; the baseline is the same message over a TCP connection with one acknowledgement each",
		header: []string{"message", "payload", "UDP with headers", "baseline: TCP", "per node each second", "UDP bytes/s"},
	}
	for _, m := range []struct {
		name    string
		rate    float64
		message node.LeaseMessage
	}{
		{"renewal", 24, node.LeaseMessage{Renewal: &lease.Renewal{Holder: holder, SetVersion: earlier, Sequence: sequence, Witness: witness}}},
		{"renewal answer", 24, node.LeaseMessage{RenewalAnswer: &lease.RenewalAnswer{
			Holder: holder, Witness: witness, SetVersion: earlier, Sequence: sequence, Marked: true, LedgerOffset: offset}}},
		{"promise request", 0, node.LeaseMessage{PromiseRequest: &lease.PromiseRequest{
			Holder: holder, SetVersion: earlier, Claimant: claimant, Witness: witness}}},
		{"promise answer", 0, node.LeaseMessage{PromiseAnswer: &lease.PromiseAnswer{
			Holder: holder, SetVersion: earlier, Claimant: claimant, Witness: witness, Wait: 500 * time.Millisecond}}},
	} {
		before := sender.Traffic().Sent.Load()
		if err := sender.SendLeaseMessage(sender.Address(), m.message); err != nil {
			return err
		}
		wire := float64(sender.Traffic().Sent.Load() - before)
		payload := wire - udpHeaders
		t.add(m.name, formatNumber(payload), formatNumber(wire), formatNumber(payload+2*tcpHeaders),
			formatNumber(m.rate), formatNumber(m.rate*wire))
	}
	t.print()
	return nil
}

// measureLogBytes measures polls of the log and appends of each kind of record.
func measureLogBytes(ctx context.Context, t *table, seed uint64) error {
	sim, err := newSimulatedFleet(53, slicesPerMember, seed)
	if err != nil {
		return err
	}
	listener, err := listenMetered()
	if err != nil {
		return err
	}
	server := &http.Server{Handler: fake.NewLogHandler(fake.NewLog()), ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(listener) }()
	defer server.Close()
	client := platformlog.NewClient("http://"+listener.Addr().String(), "heatherreel")
	defer client.Close()
	next := ledger.Offset(1)
	call := func(name, payload string, f func() error) error {
		before, estimated := listener.wireBytes(), client.Traffic().Sent.Load()+client.Traffic().Received.Load()
		if err := f(); err != nil {
			return err
		}
		estimated = client.Traffic().Sent.Load() + client.Traffic().Received.Load() - estimated
		t.add(name, payload, fmt.Sprint(listener.wireBytes()-before), fmt.Sprint(estimated))
		return nil
	}
	read := func() error {
		page, err := client.Read(ctx, next, 256, 0)
		next = page.Next
		return err
	}
	// The first call opens the connection and is not measured.
	if err := read(); err != nil {
		return err
	}
	if err := call("idle long poll of the log", "", read); err != nil {
		return err
	}
	for _, s := range sampleRecords(sim) {
		data, err := platformlog.Encode(s.record)
		if err != nil {
			return err
		}
		payload := fmt.Sprint(len(data))
		err = call("append "+string(s.record.Kind), payload, func() error {
			_, err := client.Append(ctx, s.record)
			return err
		})
		if err != nil {
			return err
		}
		if err := call("poll that returns "+string(s.record.Kind), payload, read); err != nil {
			return err
		}
	}
	return nil
}

// echoService is a node service that answers each forwarded request with the body of the request.
type echoService struct{}

// Forward implements node.Service.
func (echoService) Forward(_ context.Context, f node.ForwardedRequest) request.Answer {
	return request.Answer{Outcome: request.Done, Status: 200, ContentType: "application/octet-stream", Body: f.Request.Body}
}

// Release implements node.Service.
func (echoService) Release(_ context.Context, r node.ReleaseRequest) (node.ReleaseResult, error) {
	return node.ReleaseResult{Released: r.Slices}, nil
}

// Snapshot implements node.Service.
func (echoService) Snapshot(context.Context) (node.Snapshot, error) { return node.Snapshot{}, nil }

// measureForwardBytes measures a forwarded request, with and without opening the connection, and a release.
func measureForwardBytes(ctx context.Context, t *table) error {
	listener, err := listenMetered()
	if err != nil {
		return err
	}
	server, err := node.NewServer(echoService{})
	if err != nil {
		return err
	}
	serverCtx, stop := context.WithCancel(ctx)
	defer stop()
	go func() { _ = server.Serve(serverCtx, listener) }()
	client := node.NewClient()
	defer client.Close()
	address := listener.Addr().String()
	forward := func() error {
		r := request.Request{
			Service: "service-00", Tenant: "tenant-007", Key: "position-1234567", ID: sampleUUID, Class: request.Interactive,
			Deadline: time.Now().Add(time.Second), Method: "POST", ContentType: "application/json", Body: make([]byte, 32),
		}
		_, err := client.Forward(ctx, address, node.ForwardedRequest{Request: r, LedgerOffset: 2_000_000, HomesEpoch: 1_999_000})
		return err
	}
	release := func() error {
		var list []ledger.SliceFence
		for _, o := range newOwnedSlices(slicesPerMove) {
			list = append(list, o.SliceFence)
		}
		_, err := client.Release(ctx, address, node.ReleaseRequest{Owner: 1_950_000, Source: 1_960_000, Slices: list})
		return err
	}
	for _, c := range []struct {
		name, payload string
		call          func() error
	}{
		{"opening a connection and forwarding a request", "32 both ways", forward},
		{"forwarded request", "32 both ways", forward},
		{"release of 4 slices without outcomes", "", release},
	} {
		before := listener.wireBytes()
		if err := c.call(); err != nil {
			return err
		}
		t.add(c.name, c.payload, fmt.Sprint(listener.wireBytes()-before), "not counted")
	}
	return nil
}
