package clienttest

import (
	"encoding/binary"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"
)

// slowPause is the pause between the bytes of a slow client.
const slowPause = 200 * time.Millisecond

// target is an HTTP address of the process and a request that clients send there.
type target struct {
	name               string
	address            func(*gatewayProcess) string
	method, host, path string
}

// Addresses of the process.
func callersAddress(p *gatewayProcess) string { return p.callers }
func nodesAddress(p *gatewayProcess) string   { return p.nodes }

var targets = []target{
	{"route", callersAddress, "POST", routeHost, "/a"},
	{"no_route", callersAddress, "POST", "other.example", "/none"},
	{"ready", func(p *gatewayProcess) string { return p.ready }, "GET", "ready.example", "/v1/ready"},
	{"heartbeats", func(p *gatewayProcess) string { return p.heartbeats }, "POST", "node.example", "/v1/instances/s-2/heartbeat"},
	{"metrics", func(p *gatewayProcess) string { return p.metrics }, "GET", "node.example", "/metrics"},
}

// head returns the head of the request of client i, with further fields and without its end.
func (g target) head(i int, fields ...string) string {
	return g.method + " " + g.path + " HTTP/1.1\r\nHost: " + g.host + "\r\nHeatherreel-Request-Id: r" + strconv.Itoa(i) +
		"\r\nHeatherreel-Deadline-Ms: 60000\r\n" + strings.Join(fields, "")
}

const chunked = "Transfer-Encoding: chunked\r\n\r\n"

func contentLength(n int64) string { return fmt.Sprintf("Content-Length: %d\r\n\r\n", n) }

// chunk returns a chunk of n bytes.
func chunk(n int) string { return fmt.Sprintf("%x\r\n%s\r\n", n, strings.Repeat("x", n)) }

// checkTargets runs a crowd of the size at each HTTP address, each on a new process.
func checkTargets(t *testing.T, size int, script func(g target, i int) clientScript) {
	t.Helper()
	for _, g := range targets {
		t.Run(g.name, func(t *testing.T) {
			checkCrowd(t, g.address, size, func(i int) clientScript { return script(g, i) })
		})
	}
}

// Guards against a process that exceeds its limits because many clients send bodies of a usual size, in one piece, in
// small pieces or in chunks, stop just short of the end and stay.
func TestUnfinishedSmallBodies(t *testing.T) {
	const size, sent, piece = 64_000, 60_000, 1_000
	checkTargets(t, crowdSize, func(g target, i int) clientScript {
		if i%10 == 9 {
			// Some finish, and keep their connection.
			return clientScript{sends: []string{g.head(i, contentLength(size)) + strings.Repeat("x", size)}}
		}
		switch i % 3 {
		case 0:
			return clientScript{sends: []string{g.head(i, contentLength(size)) + strings.Repeat("x", sent)}}
		case 1:
			pieces := slices.Repeat([]string{strings.Repeat("x", piece)}, sent/piece)
			return clientScript{sends: append([]string{g.head(i, contentLength(size))}, pieces...)}
		default:
			return clientScript{sends: append([]string{g.head(i, chunked)}, slices.Repeat([]string{chunk(piece)}, sent/piece)...)}
		}
	})
}

// Guards against the same with a few bodies that have nearly the largest legal size.
func TestUnfinishedLargeBodies(t *testing.T) {
	const piece = 64 << 10
	checkTargets(t, largeCrowdSize, func(g target, i int) clientScript {
		n := maxBody/piece - 1
		if i%8 == 6 {
			n++ // This body is whole.
		}
		pieces := slices.Repeat([]string{strings.Repeat("x", piece)}, n)
		if i%2 == 0 {
			return clientScript{sends: append([]string{g.head(i, contentLength(maxBody))}, pieces...)}
		}
		return clientScript{sends: append([]string{g.head(i, chunked)}, slices.Repeat([]string{chunk(piece)}, maxBody/piece-1)...)}
	})
}

// Guards against a process that buffers bodies far over the limit, with a length or in chunks without one.
func TestBodiesOverLimit(t *testing.T) {
	const piece, pieces = 64 << 10, 3 * maxBody / 2 / (64 << 10)
	checkTargets(t, largeCrowdSize, func(g target, i int) clientScript {
		if i%2 == 0 {
			return clientScript{sends: append([]string{g.head(i, contentLength(1<<40))}, slices.Repeat([]string{strings.Repeat("x", piece)}, pieces)...)}
		}
		return clientScript{sends: append([]string{g.head(i, chunked)}, slices.Repeat([]string{chunk(piece)}, pieces)...)}
	})
}

// shortFields returns fields of together at most size bytes, each with another name and no value.
func shortFields(size int) string {
	var b strings.Builder
	for i := 0; ; i++ {
		field := strconv.FormatInt(int64(36*36+i), 36) + ":\r\n"
		if b.Len()+len(field) > size {
			return b.String()
		}
		b.WriteString(field)
	}
}

// Guards against heads of legal size whose many short fields take many times as much memory in a header map, held by
// clients that never finish a body.
func TestManyShortFields(t *testing.T) {
	fields := shortFields(16_000)
	checkTargets(t, crowdSize, func(g target, i int) clientScript {
		return clientScript{sends: []string{g.head(i, fields, contentLength(2)) + "x"}}
	})
}

// Guards against trailers and chunk extensions that are kept although nothing uses them, and against clients that stay in the
// middle of them. One client in four sends so many that the request is refused.
func TestManyTrailersAndChunkExtensions(t *testing.T) {
	extension := "1;" + strings.Repeat("a=b;", 200) + "\r\nx\r\n"
	checkTargets(t, crowdSize, func(g target, i int) clientScript {
		extensions, trailers := 15, 3_000
		if i%8 < 2 {
			extensions, trailers = 64, 16_000
		}
		if i%2 == 0 {
			return clientScript{sends: []string{g.head(i, chunked) + strings.Repeat(extension, extensions)}}
		}
		return clientScript{sends: []string{g.head(i, chunked) + chunk(10) + "0\r\n" + shortFields(trailers)}}
	})
}

// Guards against answers that pile up in the process, because clients send requests without reading what they get.
func TestPipelinedRequestsWithoutReading(t *testing.T) {
	const requests = 64
	checkTargets(t, readerCrowdSize, func(g target, i int) clientScript {
		if g.name == "route" {
			g.method, g.path = "GET", mediumPath
		}
		one := g.head(i, contentLength(0))
		return clientScript{sends: []string{strings.Repeat(one, requests)}, ignoresAnswers: true}
	})
}

// Guards against clients that hold connections and memory by sending a head or a body byte by byte.
func TestSlowSenders(t *testing.T) {
	checkTargets(t, crowdSize, func(g target, i int) clientScript {
		s := clientScript{sends: []string{g.head(i, "X-Slow: ")}, repeat: "x", pause: slowPause}
		if i%2 == 0 {
			s.sends = []string{g.head(i, contentLength(64_000))}
		}
		return s
	})
}

// Guards against large answers that are held for clients that read them byte by byte.
func TestSlowReaders(t *testing.T) {
	const requests = 6
	checkTargets(t, readerCrowdSize, func(g target, i int) clientScript {
		if g.name == "route" {
			g.method, g.path = "GET", largePath
		}
		one := g.head(i, contentLength(0))
		return clientScript{sends: []string{strings.Repeat(one, requests)}, ignoresAnswers: true, pause: slowPause}
	})
}

// Guards against clients that hold a connection, and what it costs, by sending nothing or stopping half-way.
func TestStopHalfWay(t *testing.T) {
	checkTargets(t, crowdSize, func(g target, i int) clientScript {
		head := g.head(i, contentLength(64_000))
		switch i % 4 {
		case 0:
			return clientScript{}
		case 1:
			return clientScript{sends: []string{head[:8]}}
		case 2:
			return clientScript{sends: []string{head[:len(head)/2]}}
		default:
			return clientScript{sends: []string{head + strings.Repeat("x", 32_000)}}
		}
	})
}

// frame returns the begin of a drpc frame of a kind with a body of size bytes; kinds are 1 for the name of a call and 2
// for a message, and last is set if the message ends with the frame.
func frame(kind byte, last bool, size int) string {
	control := kind << 1
	if last {
		control |= 1
	}
	// The stream is 1, and the kinds number the messages of it.
	return string(binary.AppendUvarint([]byte{control, 1, kind}, uint64(size)))
}

// Guards against the same clients at the address for other nodes, where messages have up to 16 MiB.
func TestClientsAtNodesAddress(t *testing.T) {
	const call = "/heatherreel.node.Router/Dispatch"
	begin := frame(1, true, len(call)) + call
	piece := strings.Repeat("x", 64<<10)
	for _, c := range []struct {
		name   string
		size   int
		script func(i int) clientScript
	}{
		{"unfinished_messages", largeCrowdSize, func(int) clientScript {
			return clientScript{sends: append([]string{begin + frame(2, true, maxBody)}, slices.Repeat([]string{piece}, maxBody/len(piece)-1)...)}
		}},
		{"messages_over_limit", largeCrowdSize, func(int) clientScript {
			return clientScript{sends: append([]string{begin}, slices.Repeat([]string{frame(2, false, len(piece)) + piece}, 3*maxBody/2/len(piece))...)}
		}},
		{"slow_senders", crowdSize, func(int) clientScript {
			return clientScript{sends: []string{begin + frame(2, true, maxBody)}, repeat: "x", pause: slowPause}
		}},
		{"stop_half_way", crowdSize, func(i int) clientScript {
			return clientScript{sends: []string{begin[:i%len(begin)]}}
		}},
	} {
		t.Run(c.name, func(t *testing.T) { checkCrowd(t, nodesAddress, c.size, c.script) })
	}
}
