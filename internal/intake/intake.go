// Package intake decides how much memory and how many connections clients may take of the process, and which of them are
// given up when there is no more. A Book accounts for bytes before they are kept.
//
// A Book is not safe for concurrent use. Times are inputs, as in all decision packages.
package intake

import (
	"math"
	"slices"
	"time"
)

// Group is a set of listen addresses with a limit of connections of its own, so that clients of one cannot keep those of
// another out.
type Group uint8

// Groups of listen addresses.
const (
	// Callers is the address for requests.
	Callers Group = iota
	// Heartbeats is the address for the backend server.
	Heartbeats
	// Upkeep are the addresses for readiness and metrics.
	Upkeep
	// Nodes is the address for other nodes. Its connections are given up only until their first byte has arrived.
	Nodes
	GroupCount
)

// Stage is what a connection is doing.
type Stage uint8

// Stages of a connection.
const (
	// Unused means that nothing has arrived yet, and Head that a head is incomplete.
	Unused Stage = iota
	Head
	// Body means that a body is incomplete.
	Body
	// Handling means that requests are in progress or answers are being written.
	Handling
	// Idle means that all requests are answered.
	Idle
)

// Limits are the limits of a Book. All are positive.
type Limits struct {
	// Bytes is the memory for heads, bodies and answers. Reserve is the part of it that only short requests get, and
	// ShortBytes the largest size of these.
	Bytes, Reserve, ShortBytes int64
	// Connections and PerClient are the largest numbers of connections in a group and of one client address in it; Heads
	// and HeadsPerClient those of connections that are unused or send a head.
	Connections, PerClient, Heads, HeadsPerClient [GroupCount]int
}

const (
	// stallTime is the time without a byte after which a body, or an answer that is being read, counts as stalled. It is
	// several times the longest pause of callers on links of 10 Mbit/s.
	stallTime = time.Second
	// stallRate is the rate in bytes a second under which a head or body counts as stalled while memory is short. It is a
	// hundredth of a link of 10 Mbit/s.
	stallRate = 12_500
	// youngTime is the age up to which a connection may lack its first head: callers send it with the first packets.
	youngTime = 500 * time.Millisecond
	// idleTime is the time after which an idle connection may be given up for a new one. Callers that send without pause
	// use theirs earlier.
	idleTime = time.Second
	// batchDivisor is the part of the budget that is freed at once from stalled connections, so that not each
	// reservation searches for one.
	batchDivisor = 16
	// writeOffDivisor is the part of the budget that connections may still hold while they are being given up, and
	// shortWriteOffDivisor that up to which short requests get bytes of others. It is the memory beyond the budget that a
	// process may use: handlers of given-up connections return their bytes only when they run again.
	writeOffDivisor      = 4
	shortWriteOffDivisor = 2
	// answerDivisor is the part of the budget that one expected answer takes at most.
	answerDivisor = 2
)

// LargeAnswer is the expected size in bytes from which the memory of an answer is reserved before its request runs.
const LargeAnswer = 16 << 10

// Account is what a connection takes.
type Account struct {
	group  Group
	client string
	stage  Stage
	// since is the begin of the stage, and progressed when its last bytes arrived.
	since, progressed time.Time
	// held are the bytes reserved, received the part of them for the head or body that is incomplete, and moved the bytes
	// of that which have arrived.
	held, received, moved int64
	// large is set while the head is too large for a short request.
	large bool
	// blockedSince is when the write of an answer began or last progressed that is in progress; zero if none is.
	blockedSince time.Time
	// shed is set when the connection is being given up. writtenOff are the bytes of it that do not count any more.
	shed       bool
	writtenOff int64
	index      int
}

// Book accounts for the connections and bytes of clients.
type Book struct {
	limits Limits
	used   int64
	// writtenOff are the bytes of all accounts that are held but do not count any more.
	writtenOff int64
	accounts   []*Account
	totals     [GroupCount]counts
	clients    [GroupCount]map[string]counts
}

// counts are the numbers of connections and of those that are unused or send a head.
type counts struct{ connections, heads int }

// New returns an empty book.
func New(limits Limits) *Book {
	b := &Book{limits: limits}
	for g := range b.clients {
		b.clients[g] = map[string]counts{}
	}
	return b
}

// SetLimits replaces the limits. What is reserved stays.
func (b *Book) SetLimits(limits Limits) { b.limits = limits }

// Used returns the bytes in use and the number of connections.
func (b *Book) Used() (bytes int64, connections int) { return b.used, len(b.accounts) }

// Open returns the account of a new connection, and one to give up for it if that is not nil. The account is nil if the
// connection is refused. kind is what was exceeded.
func (b *Book) Open(g Group, client string, now time.Time) (opened, victim *Account, kind Kind) {
	of := func(a *Account) bool { return a.group == g }
	ofClient := func(a *Account) bool { return a.group == g && a.client == client }
	total, own := b.totals[g], b.clients[g][client]
	switch {
	case own.connections >= b.limits.PerClient[g]:
		kind, of = ClientLimit, ofClient
	case total.connections >= b.limits.Connections[g]:
		kind = ConnectionLimit
	case own.heads >= b.limits.HeadsPerClient[g]:
		kind = HeadLimit
		of = func(a *Account) bool { return ofClient(a) && a.sendsHead() }
	case total.heads >= b.limits.Heads[g]:
		kind = HeadLimit
		of = func(a *Account) bool { return a.group == g && a.sendsHead() }
	}
	if kind != None {
		if victim = b.expendable(of, now); victim == nil {
			return nil, nil, kind
		}
		b.giveUp(victim)
	}
	opened = &Account{group: g, client: client, since: now, progressed: now, index: len(b.accounts)}
	b.accounts = append(b.accounts, opened)
	b.count(opened, 1)
	return opened, victim, kind
}

// sendsHead reports whether a connection is unused or sends a head.
func (a *Account) sendsHead() bool { return a.stage <= Head }

// count adds a connection to the numbers, or removes it.
func (b *Book) count(a *Account, n int) {
	heads := 0
	if a.sendsHead() {
		heads = n
	}
	b.add(a, counts{n, heads})
}

// add changes the numbers for the group and the client of a connection.
func (b *Book) add(a *Account, n counts) {
	b.totals[a.group].connections += n.connections
	b.totals[a.group].heads += n.heads
	of := b.clients[a.group][a.client]
	of.connections += n.connections
	of.heads += n.heads
	if of.connections == 0 {
		delete(b.clients[a.group], a.client)
		return
	}
	b.clients[a.group][a.client] = of
}

// expendable returns the connection to give up for a new one; nil if there is none. Those that have sent no head come
// first, then stalled ones, then idle ones; among these the oldest.
func (b *Book) expendable(of func(*Account) bool, now time.Time) *Account {
	var worst *Account
	worstRank := 0
	for _, a := range b.accounts {
		if a.shed || !of(a) {
			continue
		}
		if rank := a.expendableRank(now); rank > worstRank || rank > 0 && rank == worstRank && a.since.Before(worst.since) {
			worst, worstRank = a, rank
		}
	}
	return worst
}

func (a *Account) expendableRank(now time.Time) int {
	age := now.Sub(a.since)
	switch {
	case (a.stage == Unused || a.stage == Head) && age >= youngTime:
		return 3
	case a.isStalled(now):
		return 2
	case a.stage == Idle && age >= idleTime:
		return 1
	}
	return 0
}

// isStalled reports whether no byte has moved for stallTime in a direction in which the client must send or read, or
// whether they arrive at less than stallRate.
func (a *Account) isStalled(now time.Time) bool {
	if !a.blockedSince.IsZero() {
		return now.Sub(a.blockedSince) >= stallTime
	}
	if a.stage != Head && a.stage != Body {
		return false
	}
	age := now.Sub(a.since)
	return now.Sub(a.progressed) >= stallTime || age >= stallTime && float64(a.moved) < stallRate*age.Seconds()
}

// IsBlocked reports whether the connection was given up because its client does not read an answer.
func (a *Account) IsBlocked() bool { return a.writtenOff > 0 && !a.blockedSince.IsZero() }

// giveUp marks an account as being given up. Its bytes are counted as free, and its connection as closed, from now on.
func (b *Book) giveUp(a *Account) {
	a.shed = true
	a.writtenOff = a.freeable()
	b.writtenOff += a.writtenOff
	b.used -= a.writtenOff
	b.count(a, -1)
}

// freeable returns the bytes that are freed soon if the connection is given up. Requests that are in progress keep theirs.
func (a *Account) freeable() int64 {
	switch {
	case !a.blockedSince.IsZero():
		return a.held
	case a.stage == Head || a.stage == Body:
		return a.received
	}
	return 0
}

// Close removes the account of a closed connection.
func (b *Book) Close(a *Account) {
	if !a.shed {
		b.count(a, -1)
	}
	b.used -= a.held - a.writtenOff
	b.writtenOff -= a.writtenOff
	a.held, a.writtenOff, a.shed = 0, 0, true
	last := len(b.accounts) - 1
	b.accounts[a.index] = b.accounts[last]
	b.accounts[a.index].index = a.index
	b.accounts[last] = nil
	b.accounts = b.accounts[:last]
}

// Enter records that a connection is in another stage.
func (b *Book) Enter(a *Account, stage Stage, now time.Time) {
	if a.stage == stage {
		return
	}
	before := a.sendsHead()
	a.stage = stage
	if after := a.sendsHead(); before != after && !a.shed {
		change := 1
		if before {
			change = -1
		}
		b.add(a, counts{0, change})
	}
	a.since, a.progressed, a.received, a.moved = now, now, 0, 0
	if stage == Head || stage == Idle {
		a.large = false
	}
}

// BeginBody records that a body begins to arrive, whose head holds the bytes. They are freed with the body if the
// connection is given up.
func (b *Book) BeginBody(a *Account, bytes int64, now time.Time) {
	b.Enter(a, Body, now)
	a.received = bytes
}

// Grow is Reserve for a head that is larger than usual, and so does not count as short.
func (b *Book) Grow(a *Account, bytes int64, now time.Time) (bool, []*Account) {
	a.large = true
	return b.Reserve(a, bytes, now)
}

// Settle returns all bytes of a connection that is closing.
func (b *Book) Settle(a *Account) { b.Release(a, a.held) }

// Answered records that an answer is written, whose request held the bytes. last is set if no other is in progress.
func (b *Book) Answered(a *Account, bytes int64, last bool, now time.Time) {
	b.Release(a, bytes)
	a.blockedSince = time.Time{}
	// The next head may have begun already.
	if last && a.stage == Handling {
		b.Enter(a, Idle, now)
	}
}

// Progress records that bytes of a head or body have arrived.
func (b *Book) Progress(a *Account, bytes int64, now time.Time) {
	a.moved += bytes
	a.progressed = now
}

// Blocked records that the write of an answer begins, or has progressed; a zero time means that it has ended.
func (b *Book) Blocked(a *Account, since time.Time) { a.blockedSince = since }

// Reserve reserves bytes for a head or body, and returns the accounts to give up for them. It returns false if the request
// is to be refused.
func (b *Book) Reserve(a *Account, bytes int64, now time.Time) (bool, []*Account) {
	if a.shed {
		return false, nil
	}
	limit := b.limits.Bytes
	short := a.held+bytes <= b.limits.ShortBytes && !a.large && !a.isStalled(now)
	if !short {
		limit -= b.limits.Reserve
	}
	var victims []*Account
	if need := b.used + bytes - limit; need > 0 {
		bound, divisor := int64(0), int64(shortWriteOffDivisor)
		if !short {
			bound, divisor = a.received+bytes, writeOffDivisor
		}
		var enough bool
		if victims, enough = b.victims(a, need, bound, now); !enough || !b.mayWriteOff(victims, divisor) {
			return false, nil
		}
		for _, v := range victims {
			b.giveUp(v)
		}
	}
	b.take(a, bytes)
	return true, victims
}

// Take accounts for an answer, which is kept in any case, and returns the accounts to give up for it.
func (b *Book) Take(a *Account, bytes int64, now time.Time) []*Account {
	b.take(a, bytes)
	a.received -= bytes
	need := b.used - b.limits.Bytes
	if need <= 0 {
		return nil
	}
	victims, _ := b.victims(a, need, 0, now)
	for _, v := range victims {
		b.giveUp(v)
	}
	return victims
}

// Expect reserves bytes for an answer before its request runs, of which held are reserved already. It returns the bytes that
// are reserved then, the accounts to give up for them, and false if the request is to be refused. Only stalled accounts are
// given up. An answer counts for at most half of the budget, so that a calm process admits one of any size.
func (b *Book) Expect(a *Account, held, bytes int64, now time.Time) (int64, []*Account, bool) {
	limit := b.limits.Bytes - b.limits.Reserve
	more := min(bytes, limit/answerDivisor) - held
	if more <= 0 {
		return held, nil, true
	}
	if a.shed {
		return held, nil, false
	}
	var victims []*Account
	if need := b.used + more - limit; need > 0 {
		var enough bool
		if victims, enough = b.victims(a, need, math.MaxInt64, now); !enough || !b.mayWriteOff(victims, writeOffDivisor) {
			return held, nil, false
		}
		for _, v := range victims {
			b.giveUp(v)
		}
	}
	b.take(a, more)
	a.received -= more
	return held + more, victims, true
}

// Correct is Take for an answer for which expected bytes are reserved.
func (b *Book) Correct(a *Account, expected, bytes int64, now time.Time) []*Account {
	// Another request of the connection may be sending its body.
	received := a.received
	b.Release(a, expected)
	a.received = received
	return b.Take(a, bytes, now)
}

// Hold reserves bytes that belong to no connection of a client, such as those of a body that another node sends. Nothing is
// given up for them. It returns false if there are not as many.
func (b *Book) Hold(bytes int64) bool {
	if b.used+bytes > b.limits.Bytes-b.limits.Reserve {
		return false
	}
	b.used += bytes
	return true
}

// Drop returns bytes that were reserved by Hold.
func (b *Book) Drop(bytes int64) { b.used -= bytes }

func (b *Book) take(a *Account, bytes int64) {
	a.held += bytes
	a.received += bytes
	b.used += bytes
}

// Release returns bytes.
func (b *Book) Release(a *Account, bytes int64) {
	a.held -= bytes
	a.received = max(0, a.received-bytes)
	off := min(bytes, a.writtenOff)
	a.writtenOff -= off
	b.writtenOff -= off
	b.used -= bytes - off
}

// victims returns the accounts to give up so that bytes are freed, and whether they are enough. Stalled ones come first,
// then those that take the most memory for the longest time. Of those that are not stalled, only accounts that hold more
// than bound bytes are given up.
func (b *Book) victims(but *Account, bytes, bound int64, now time.Time) (chosen []*Account, enough bool) {
	var candidates []*Account
	var total int64
	for _, a := range b.accounts {
		free := a.freeable()
		if a.shed || a == but || free == 0 || !a.blockedSince.IsZero() && !a.isStalled(now) || !a.isStalled(now) && free <= max(bound, b.limits.ShortBytes) {
			continue
		}
		candidates = append(candidates, a)
		total += free
	}
	if total < bytes {
		// What is stalled is freed all the same for the next one.
		candidates = slices.DeleteFunc(candidates, func(a *Account) bool { return !a.isStalled(now) })
	}
	slices.SortFunc(candidates, func(x, y *Account) int { return y.compare(x, now) })
	freed, batch := int64(0), b.limits.Bytes/batchDivisor
	for _, a := range candidates {
		if freed >= bytes && (freed >= batch || !a.isStalled(now)) {
			break
		}
		chosen = append(chosen, a)
		freed += a.freeable()
	}
	return chosen, freed >= bytes
}

// mayWriteOff reports whether the accounts may be given up although what earlier ones hold is not returned yet. The first of
// them may hold any number of bytes.
func (b *Book) mayWriteOff(victims []*Account, divisor int64) bool {
	if b.writtenOff == 0 {
		return true
	}
	total := b.writtenOff
	for _, a := range victims {
		total += a.freeable()
	}
	return total <= b.limits.Bytes/divisor
}

// compare returns whether a is to be given up before (positive) or after (negative) o.
func (a *Account) compare(o *Account, now time.Time) int {
	switch x, y := a.isStalled(now), o.isStalled(now); {
	case x && !y:
		return 1
	case y && !x:
		return -1
	}
	weight := func(a *Account) float64 { return float64(a.freeable()) * now.Sub(a.since).Seconds() }
	switch x, y := weight(a), weight(o); {
	case x > y:
		return 1
	case x < y:
		return -1
	}
	return 0
}
