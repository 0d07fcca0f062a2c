package fake

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// relayQueueSize is how many chunks of at most 64 KiB one direction of a connection holds while they are delayed.
const relayQueueSize = 64

// Relay is a TCP proxy on the loopback interface. It can stop forwarding on its open connections without closing them,
// as a middlebox does that has lost the state of its connections, while new connections work. It can also delay all
// data, as a congested link does.
//
// mu guards connections and closed.
type Relay struct {
	listener net.Listener
	target   string
	// delayToTarget and delayToClient are the delays of data on all connections, in nanoseconds.
	delayToTarget, delayToClient atomic.Int64
	// delayEnded is closed by EndDelay.
	delayEnded chan struct{}
	// goroutines counts the running goroutines of the relay.
	goroutines sync.WaitGroup

	mu sync.Mutex
	// connections holds all connections accepted so far, including closed ones.
	connections []*relayConnection
	closed      bool
}

// RelayTraffic is the traffic of one direction. It includes data that the relay holds back.
type RelayTraffic struct {
	// Bytes is the payload, without TCP and IP headers. Writes is the number of chunks in which the data arrived; at
	// least one packet carried each.
	Bytes, Writes int
}

// relayConnection is one client connection and its connection to the target.
type relayConnection struct {
	toTarget, toClient *relayDirection
}

// relayDirection copies data from one connection to the other.
//
// mu guards the fields below it. changed is signalled when stalled or closed changes.
type relayDirection struct {
	from, to net.Conn
	// delay is shared by all connections.
	delay *atomic.Int64
	// delayEnded is closed when the relay forwards all data at once.
	delayEnded <-chan struct{}
	// done is closed with the relay.
	done chan struct{}

	mu      sync.Mutex
	changed *sync.Cond
	// stalled holds back data and the end of the stream.
	stalled bool
	// bytesUntilStall is the number of bytes that are still forwarded before the direction stalls; it is negative if
	// the direction does not stall by itself.
	bytesUntilStall int
	closed          bool
	traffic         RelayTraffic
}

// NewRelay starts a relay to the address target, on a port that the system chooses.
func NewRelay(target string) (*Relay, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &Relay{listener: listener, target: target, delayEnded: make(chan struct{})}
	r.goroutines.Add(1)
	go r.accept()
	return r, nil
}

// Address returns the address to which clients connect.
func (r *Relay) Address() string { return r.listener.Addr().String() }

// accept connects each client to the target, until the listener is closed.
func (r *Relay) accept() {
	defer r.goroutines.Done()
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
		r.startConnection(client, target)
	}
}

// startConnection starts to copy in both directions, or closes the connections if the relay is closed.
func (r *Relay) startConnection(client, target net.Conn) {
	c := &relayConnection{
		toTarget: newRelayDirection(client, target, &r.delayToTarget, r.delayEnded),
		toClient: newRelayDirection(target, client, &r.delayToClient, r.delayEnded),
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		client.Close()
		target.Close()
		return
	}
	r.connections = append(r.connections, c)
	r.goroutines.Add(2)
	go c.toTarget.copyData(&r.goroutines)
	go c.toClient.copyData(&r.goroutines)
}

// Delay delays the data of all connections, open ones and new ones, from the time at which it arrives. Connections are
// established without delay.
func (r *Relay) Delay(toTarget, toClient time.Duration) {
	r.delayToTarget.Store(int64(toTarget))
	r.delayToClient.Store(int64(toClient))
}

// EndDelay forwards all data without delay from now on, also what is held back. A path that recovers keeps no data back that
// other connections overtake. EndDelay is called at most once.
func (r *Relay) EndDelay() { close(r.delayEnded) }

// Silence stops forwarding on all open connections in the chosen directions. Data and the end of a stream are held back
// until Resume.
func (r *Relay) Silence(toTarget, toClient bool) {
	for _, c := range r.acceptedConnections() {
		if toTarget {
			c.toTarget.setStalled(true)
		}
		if toClient {
			c.toClient.setStalled(true)
		}
	}
}

// SilenceToClientAfter stops forwarding to the client on each open connection after the given number of further bytes.
func (r *Relay) SilenceToClientAfter(bytes int) {
	for _, c := range r.acceptedConnections() {
		c.toClient.stallAfter(bytes)
	}
}

// Resume forwards what was held back, and continues to forward on all open connections.
func (r *Relay) Resume() {
	for _, c := range r.acceptedConnections() {
		c.toTarget.setStalled(false)
		c.toClient.setStalled(false)
	}
}

// Connections returns the number of connections accepted so far.
func (r *Relay) Connections() int { return len(r.acceptedConnections()) }

// Traffic returns the traffic of all connections accepted so far.
func (r *Relay) Traffic() (toTarget, toClient RelayTraffic) {
	for _, c := range r.acceptedConnections() {
		c.toTarget.addTo(&toTarget)
		c.toClient.addTo(&toClient)
	}
	return toTarget, toClient
}

func (r *Relay) acceptedConnections() []*relayConnection {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]*relayConnection(nil), r.connections...)
}

// Close closes the listener and all connections, and waits for the goroutines of the relay.
func (r *Relay) Close() {
	r.listener.Close()
	r.mu.Lock()
	r.closed = true
	r.mu.Unlock()
	for _, c := range r.acceptedConnections() {
		c.toTarget.closeBoth()
		c.toClient.closeBoth()
	}
	r.goroutines.Wait()
}

func newRelayDirection(from, to net.Conn, delay *atomic.Int64, delayEnded <-chan struct{}) *relayDirection {
	d := &relayDirection{from: from, to: to, delay: delay, delayEnded: delayEnded, done: make(chan struct{}), bytesUntilStall: -1}
	d.changed = sync.NewCond(&d.mu)
	return d
}

// relayChunk is data, or the end of the stream if data is empty, that is forwarded when it is due.
type relayChunk struct {
	data []byte
	due  time.Time
}

// copyData forwards data until one end is closed, and then closes the other for writing. It discards what arrives after
// that until the sender closes its end.
func (d *relayDirection) copyData(goroutines *sync.WaitGroup) {
	defer goroutines.Done()
	chunks := make(chan relayChunk, relayQueueSize)
	goroutines.Add(1)
	go d.readChunks(chunks, goroutines)
	forwarding := true
	for c := range chunks {
		if forwarding {
			forwarding = d.awaitDue(c.due) && d.forward(c.data) && len(c.data) > 0
			if tcp, ok := d.to.(*net.TCPConn); ok && !forwarding {
				tcp.CloseWrite()
			}
		}
	}
	d.from.Close()
}

// readChunks reads until the sender closes its end.
func (d *relayDirection) readChunks(chunks chan<- relayChunk, goroutines *sync.WaitGroup) {
	defer goroutines.Done()
	defer close(chunks)
	buffer := make([]byte, 64<<10)
	for {
		n, err := d.from.Read(buffer)
		due := time.Now().Add(time.Duration(d.delay.Load()))
		if n > 0 {
			chunks <- relayChunk{data: append([]byte(nil), buffer[:n]...), due: due}
		}
		if err != nil {
			chunks <- relayChunk{due: due}
			return
		}
	}
}

// awaitDue waits until data is due. It returns false if the relay was closed.
func (d *relayDirection) awaitDue(due time.Time) bool {
	delay := time.Until(due)
	if delay <= 0 {
		return true
	}
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-d.delayEnded:
		return true
	case <-d.done:
		return false
	}
}

// forward writes data to the other end, and first waits while the direction is stalled. It returns false if the relay
// was closed or the write failed.
func (d *relayDirection) forward(data []byte) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(data) > 0 {
		d.traffic.Bytes += len(data)
		d.traffic.Writes++
	}
	if d.bytesUntilStall >= 0 && len(data) > d.bytesUntilStall {
		head := data[:d.bytesUntilStall]
		data = data[d.bytesUntilStall:]
		d.bytesUntilStall, d.stalled = -1, true
		d.to.Write(head)
	}
	for d.stalled && !d.closed {
		d.changed.Wait()
	}
	if d.closed {
		return false
	}
	_, err := d.to.Write(data)
	return err == nil
}

// setStalled stalls the direction or continues it.
func (d *relayDirection) setStalled(stalled bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.stalled = stalled
	d.changed.Broadcast()
}

// stallAfter makes the direction stall after the given number of further bytes.
func (d *relayDirection) stallAfter(bytes int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.bytesUntilStall = bytes
}

// closeBoth closes both connections and ends forward.
func (d *relayDirection) closeBoth() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.closed {
		d.closed = true
		close(d.done)
	}
	d.from.Close()
	d.to.Close()
	d.changed.Broadcast()
}

// addTo adds the traffic of the direction to sum.
func (d *relayDirection) addTo(sum *RelayTraffic) {
	d.mu.Lock()
	defer d.mu.Unlock()
	sum.Bytes += d.traffic.Bytes
	sum.Writes += d.traffic.Writes
}
