package fake

import (
	"io"
	"net"
	"sync"
)

// Relay forwards TCP connections on loopback to a target. It can stop forwarding on its open connections without
// closing them, as a middlebox does that has lost track of them, while new connections work.
//
// mu guards pairs and closed.
type Relay struct {
	listener net.Listener
	target   string
	running  sync.WaitGroup

	mu     sync.Mutex
	pairs  []*relayPair
	closed bool
}

// RelayTraffic counts what one direction carried.
type RelayTraffic struct {
	// Bytes is payload without TCP and IP headers. Writes counts the pieces that the sender wrote; at least one packet
	// carries each.
	Bytes, Writes int
}

// relayPair is one connection through the relay.
type relayPair struct {
	toTarget, toClient *relayDirection
}

// relayDirection copies from one end to the other.
//
// mu guards the fields after it; changed is signalled when they change.
type relayDirection struct {
	from, to net.Conn

	mu      sync.Mutex
	changed *sync.Cond
	stopped bool
	// allowance is the number of bytes that still pass before the direction stops; negative for no limit.
	allowance int
	ended     bool
	traffic   RelayTraffic
}

// NewRelay starts a relay to the target address.
func NewRelay(target string) (*Relay, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &Relay{listener: listener, target: target}
	r.running.Add(1)
	go r.accept()
	return r, nil
}

// Address is where clients connect.
func (r *Relay) Address() string { return r.listener.Addr().String() }

// accept joins each client to the target until the listener is closed.
func (r *Relay) accept() {
	defer r.running.Done()
	for {
		client, err := r.listener.Accept()
		if err != nil {
			return
		}
		target, err := net.Dial("tcp", r.target)
		if err != nil {
			client.Close()
			continue
		}
		r.join(client, target)
	}
}

func (r *Relay) join(client, target net.Conn) {
	p := &relayPair{toTarget: newRelayDirection(client, target), toClient: newRelayDirection(target, client)}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		client.Close()
		target.Close()
		return
	}
	r.pairs = append(r.pairs, p)
	r.running.Add(2)
	go p.toTarget.run(&r.running)
	go p.toClient.run(&r.running)
}

// Silence stops the chosen directions of all open connections. Data and closes that arrive are held back.
func (r *Relay) Silence(toTarget, toClient bool) {
	for _, p := range r.open() {
		if toTarget {
			p.toTarget.stop(true)
		}
		if toClient {
			p.toClient.stop(true)
		}
	}
}

// SilenceClientAfter lets the next bytes of each open connection pass to the client and then stops that direction.
func (r *Relay) SilenceClientAfter(bytes int) {
	for _, p := range r.open() {
		p.toClient.allow(bytes)
	}
}

// Resume forwards what was held back, and all that follows.
func (r *Relay) Resume() {
	for _, p := range r.open() {
		p.toTarget.stop(false)
		p.toClient.stop(false)
	}
}

// Connections is the number of connections accepted so far.
func (r *Relay) Connections() int { return len(r.open()) }

// Traffic returns the sums over all connections.
func (r *Relay) Traffic() (toTarget, toClient RelayTraffic) {
	for _, p := range r.open() {
		p.toTarget.count(&toTarget)
		p.toClient.count(&toClient)
	}
	return toTarget, toClient
}

func (r *Relay) open() []*relayPair {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]*relayPair(nil), r.pairs...)
}

// Close ends all connections and waits for them.
func (r *Relay) Close() {
	r.listener.Close()
	r.mu.Lock()
	r.closed = true
	r.mu.Unlock()
	for _, p := range r.open() {
		p.toTarget.end()
		p.toClient.end()
	}
	r.running.Wait()
}

func newRelayDirection(from, to net.Conn) *relayDirection {
	d := &relayDirection{from: from, to: to, allowance: -1}
	d.changed = sync.NewCond(&d.mu)
	return d
}

// run copies until an end is closed, and passes the close on.
func (d *relayDirection) run(running *sync.WaitGroup) {
	defer running.Done()
	buffer := make([]byte, 64<<10)
	for {
		n, err := d.from.Read(buffer)
		if !d.pass(buffer[:n]) || err != nil {
			break
		}
	}
	d.pass(nil)
	if c, ok := d.to.(*net.TCPConn); ok {
		c.CloseWrite()
	}
	io.Copy(io.Discard, d.from)
	d.from.Close()
}

// pass forwards the data when the direction is not stopped. It reports whether the connection goes on.
func (d *relayDirection) pass(data []byte) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(data) > 0 {
		d.traffic.Bytes += len(data)
		d.traffic.Writes++
	}
	if d.allowance >= 0 && len(data) > d.allowance {
		head := data[:d.allowance]
		data = data[d.allowance:]
		d.allowance, d.stopped = -1, true
		d.to.Write(head)
	}
	for d.stopped && !d.ended {
		d.changed.Wait()
	}
	if d.ended {
		return false
	}
	_, err := d.to.Write(data)
	return err == nil
}

func (d *relayDirection) stop(stopped bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.stopped = stopped
	d.changed.Broadcast()
}

func (d *relayDirection) allow(bytes int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.allowance = bytes
}

func (d *relayDirection) end() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.ended = true
	d.from.Close()
	d.to.Close()
	d.changed.Broadcast()
}

func (d *relayDirection) count(sum *RelayTraffic) {
	d.mu.Lock()
	defer d.mu.Unlock()
	sum.Bytes += d.traffic.Bytes
	sum.Writes += d.traffic.Writes
}
