// Package egress paces large answers to the rate of the link of the instance.
//
// It answers one load pattern: downloads that together exceed the bandwidth of a slow link. Sent as soon as they are ready,
// they fill the send queues of all connections, and small answers and the handshakes of new connections wait behind
// them for longer than the deadline of a nested call. Paced, a large answer waits in the node instead, and the link queue
// stays short. The package does no I/O and reads no clock; callers must serialize access.
package egress

import "time"

// LargeAnswer is the size in bytes from which on answers are paced. A smaller one delays others by less than 30 ms at
// 10 Mbit/s.
const LargeAnswer = 32 << 10

// pacedShare is the part of the link that large answers may use together. The rest is for small answers, and for the
// overhead of the protocols.
const pacedShare = 0.9

// Pacer decides when large answers are sent.
type Pacer struct {
	bytesPerSecond float64
	// freeAt is when the large answers that were scheduled so far have been sent at the paced rate.
	freeAt time.Time
	// expected is the size of the answers to admitted requests that are not scheduled yet, in bytes.
	expected int64
}

// New returns the pacer of a link with the given rate in Mbit/s, which must be positive.
func New(linkMbps float64) *Pacer { return &Pacer{bytesPerSecond: linkMbps * 1e6 / 8 * pacedShare} }

// Admit decides whether a request with an expected answer of size bytes may run. It may if its answer can be sent
// completely by finishBy, behind those of all earlier requests; otherwise running it would only delay theirs. An admitted
// request must be followed by one call of Schedule or Drop. For one that is not admitted, retryAfter is the time until such
// a request would be admitted with the time that it has now.
func (p *Pacer) Admit(now, finishBy time.Time, size int) (admitted bool, retryAfter time.Duration) {
	if size < LargeAnswer {
		return true, 0
	}
	sentAt := now.Add(p.Backlog(now) + p.sendTime(int64(size)))
	if late := sentAt.Sub(finishBy); late > 0 && p.Backlog(now) > 0 {
		return false, late
	}
	p.expected += int64(size)
	return true, 0
}

// Schedule returns when to send an answer of size bytes; a time that is not after now means at once. expected is the size
// that was passed to Admit.
func (p *Pacer) Schedule(now time.Time, expected, size int) time.Time {
	p.Drop(expected)
	if size < LargeAnswer {
		return now
	}
	sendAt := now
	if p.freeAt.After(now) {
		sendAt = p.freeAt
	}
	p.freeAt = sendAt.Add(p.sendTime(int64(size)))
	return sendAt
}

// Drop ends an admitted request without a large answer.
func (p *Pacer) Drop(expected int) {
	if expected >= LargeAnswer {
		p.expected -= int64(expected)
	}
}

// Backlog returns the time that the large answers take which are scheduled or expected.
func (p *Pacer) Backlog(now time.Time) time.Duration {
	return max(0, p.freeAt.Sub(now)) + p.sendTime(p.expected)
}

// sendTime returns the time that bytes take at the paced rate.
func (p *Pacer) sendTime(bytes int64) time.Duration {
	return time.Duration(float64(bytes) / p.bytesPerSecond * float64(time.Second))
}
