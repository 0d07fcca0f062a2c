package intake

import (
	"slices"
	"strconv"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// start is the time at which the tests begin.
var start = time.Unix(1_800_000_000, 0)

// testLimits are small limits.
func testLimits() Limits {
	return Limits{Bytes: 1000, Reserve: 200, ShortBytes: 50, Connections: [GroupCount]int{4, 2, 2, 2}, PerClient: [GroupCount]int{3, 2, 2, 2},
		Heads: [GroupCount]int{3, 2, 2, 2}, HeadsPerClient: [GroupCount]int{2, 2, 2, 2}}
}

// open opens a connection that must not be refused.
func open(t *testing.T, b *Book, client string, stage Stage, now time.Time) *Account {
	t.Helper()
	a, _, kind := b.Open(Callers, client, now)
	if a == nil {
		t.Fatalf("refused: %v", kind)
	}
	b.Enter(a, stage, now)
	return a
}

// Guards against bytes of other nodes that exceed the memory, or that push out a client.
func TestHeldBytesCount(t *testing.T) {
	b := New(Limits{Bytes: 1000, Reserve: 200, ShortBytes: 10})
	if first, second := b.Hold(500), b.Hold(301); !first || second {
		t.Errorf("500 bytes of 800: %v; 301 more: %v", first, second)
	}
	b.Drop(500)
	if used, _ := b.Used(); used != 0 || !b.Hold(800) {
		t.Errorf("%d bytes stay in use", used)
	}
}

// Guards against clients that keep others out by connections on which they send nothing, or that are idle, and against new
// connections that close those in use.
func TestNewConnectionReplacesExpendableOne(t *testing.T) {
	for name, c := range map[string]struct {
		stage Stage
		age   time.Duration
		given bool
	}{
		"unused, young":  {Unused, 100 * time.Millisecond, false},
		"unused, old":    {Unused, time.Second, true},
		"part of a head": {Head, time.Second, true},
		"stalled body":   {Body, 2 * time.Second, true},
		"handling":       {Handling, time.Minute, false},
		"idle, in use":   {Idle, 100 * time.Millisecond, false},
		"idle":           {Idle, 2 * time.Second, true},
	} {
		b := New(testLimits())
		b.limits.Heads[Callers] = 4
		old := open(t, b, "old", c.stage, start)
		now := start.Add(c.age)
		for i := range 3 {
			open(t, b, strconv.Itoa(i), Handling, now)
		}
		opened, victim, kind := b.Open(Callers, "new", now)
		if (opened != nil) != c.given || c.given && victim != old || kind != ConnectionLimit {
			t.Errorf("%s: opened %v, given up %v, %v", name, opened != nil, victim == old, kind)
		}
		if _, _, kind := b.Open(Upkeep, "new", now); kind != None {
			t.Errorf("%s: another group is refused: %v", name, kind)
		}
	}
}

// Guards against one client address that takes all connections, and against connections without a head that take all.
func TestLimitsPerClientAndForHeads(t *testing.T) {
	b := New(testLimits())
	for range 3 {
		open(t, b, "c", Handling, start)
	}
	if a, _, kind := b.Open(Callers, "c", start); a != nil || kind != ClientLimit {
		t.Errorf("fourth connection of a client: %v, %v", a, kind)
	}
	b = New(testLimits())
	for i := range 3 {
		if a, _, _ := b.Open(Callers, strconv.Itoa(i), start); a == nil {
			t.Fatal("refused")
		}
	}
	b.Enter(b.accounts[0], Handling, start)
	b.Enter(b.accounts[0], Idle, start)
	b.Enter(b.accounts[0], Head, start)
	if a, _, kind := b.Open(Callers, "d", start); a != nil || kind != HeadLimit {
		t.Errorf("fourth connection without a head: %v, %v", a, kind)
	}
	b = New(testLimits())
	for range 2 {
		if a, _, _ := b.Open(Callers, "c", start); a == nil {
			t.Fatal("refused")
		}
	}
	if a, _, kind := b.Open(Callers, "c", start); a != nil || kind != HeadLimit {
		t.Errorf("third connection of a client without a head: %v, %v", a, kind)
	}
	if a, victim, _ := b.Open(Callers, "c", start.Add(time.Second)); a == nil || victim != b.accounts[0] {
		t.Error("an old connection without a head is kept")
	}
}

// Guards against large or stalled bodies that take the memory of short requests, and against giving up a body that
// progresses while a stalled one holds memory.
func TestMemoryGoesToShortAndProgressingRequests(t *testing.T) {
	limits := testLimits()
	limits.Connections[Callers], limits.PerClient[Callers] = 100, 100
	b := New(limits)
	stalled, moving := open(t, b, "s", Body, start), open(t, b, "m", Body, start)
	for _, a := range []*Account{stalled, moving} {
		if ok, _ := b.Reserve(a, 400, start); !ok {
			t.Fatal("refused within the limits")
		}
	}
	large := open(t, b, "l", Body, start)
	if ok, victims := b.Reserve(large, 500, start); ok || len(victims) > 0 {
		t.Error("a large body gets the reserve")
	}
	if ok, victims := b.Reserve(open(t, b, "k", Handling, start), 40, start); !ok || len(victims) > 0 {
		t.Error("a short request does not get the reserve")
	}
	now := start.Add(2 * time.Second)
	b.Progress(moving, 1<<20, now)
	late := open(t, b, "n", Body, now)
	if ok, victims := b.Reserve(late, 300, now); !ok || !slices.Equal(victims, []*Account{stalled}) {
		t.Errorf("granted %v, %d given up", ok, len(victims))
	}
	if ok, _ := b.Reserve(stalled, 1, now); ok {
		t.Error("a connection that is given up gets memory")
	}
}

// Guards against answers that are cut although their callers read, and against unread ones that are kept.
func TestUnreadAnswersAreGivenUp(t *testing.T) {
	b := New(testLimits())
	unread, read := open(t, b, "u", Handling, start), open(t, b, "r", Handling, start)
	b.Take(unread, 500, start)
	b.Blocked(unread, start)
	b.Take(read, 400, start)
	now := start.Add(5 * time.Second)
	b.Blocked(read, now)
	running := open(t, b, "x", Handling, start)
	if victims := b.Take(running, 300, now); !slices.Equal(victims, []*Account{unread}) || !unread.IsBlocked() {
		t.Errorf("%d given up", len(victims))
	}
}

// Guards against large answers of requests that are let in although memory is short, against an answer that no process
// admits, and against bodies that progress and are given up for answers.
func TestExpectedAnswersKeepToMemory(t *testing.T) {
	b := New(testLimits())
	body, unread, reader := open(t, b, "b", Body, start), open(t, b, "u", Handling, start), open(t, b, "r", Handling, start)
	held, _, ok := b.Expect(unread, 0, 1<<40, start)
	if !ok || held != 400 {
		t.Errorf("an idle process: admitted %v, %d bytes", ok, held)
	}
	if ok, _ := b.Reserve(body, 300, start); !ok {
		t.Fatal("refused within the limits")
	}
	if more, victims, ok := b.Expect(reader, 0, 300, start); ok || more != 0 || len(victims) > 0 {
		t.Errorf("an answer over the budget: admitted %v, %d bytes, %d given up", ok, more, len(victims))
	}
	b.Correct(unread, held, 500, start)
	if used, _ := b.Used(); used != 800 || body.received != 300 {
		t.Errorf("%d bytes in use after the answer, %d of a body", used, body.received)
	}
	b.Blocked(unread, start)
	now := start.Add(2 * time.Second)
	b.Progress(body, 1<<20, now)
	held, victims, ok := b.Expect(reader, 0, 300, now)
	if !ok || !slices.Equal(victims, []*Account{unread}) {
		t.Errorf("admitted %v, %d given up for an answer", ok, len(victims))
	}
	if more, _, ok := b.Expect(reader, held, 350, now); !ok || more != 350 {
		t.Errorf("raised %v, %d bytes", ok, more)
	}
	if used, _ := b.Used(); used != 650 {
		t.Errorf("%d bytes in use", used)
	}
}

// Guards against bytes or connections that stay accounted for, or are returned twice, after any sequence of steps.
func TestNothingStaysAccountedFor(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := New(testLimits())
		now := start
		var accounts []*Account
		held, expected := map[*Account]int64{}, map[*Account]int64{}
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 1500).Draw(t, "ms")) * time.Millisecond)
			if len(accounts) == 0 || rapid.IntRange(0, 3).Draw(t, "open") == 0 {
				group := Group(rapid.IntRange(0, int(GroupCount)-1).Draw(t, "group"))
				if a, _, _ := b.Open(group, strconv.Itoa(rapid.IntRange(0, 2).Draw(t, "client")), now); a != nil {
					accounts = append(accounts, a)
				}
				continue
			}
			i := rapid.IntRange(0, len(accounts)-1).Draw(t, "account")
			a, n := accounts[i], int64(rapid.IntRange(1, 400).Draw(t, "bytes"))
			switch rapid.IntRange(0, 8).Draw(t, "step") {
			case 0:
				b.Enter(a, Stage(rapid.IntRange(int(Head), int(Idle)).Draw(t, "stage")), now)
			case 1:
				if ok, _ := b.Reserve(a, n, now); ok {
					held[a] += n
				}
			case 2:
				b.Take(a, n, now)
				held[a] += n
			case 3:
				n = min(n, held[a])
				b.Release(a, n)
				held[a] -= n
			case 4:
				b.Blocked(a, now)
			case 5:
				b.Answered(a, held[a], true, now)
				held[a] = 0
			case 7:
				expected[a], _, _ = b.Expect(a, expected[a], n, now)
			case 8:
				b.Correct(a, expected[a], n, now)
				held[a] += n
				expected[a] = 0
			case 6:
				delete(expected, a)
				b.Close(a)
				accounts = slices.Delete(accounts, i, i+1)
			}
			if b.used < 0 {
				t.Fatalf("%d bytes used", b.used)
			}
		}
		for _, a := range accounts {
			b.Close(a)
		}
		if bytes, connections := b.Used(); bytes != 0 || connections != 0 || b.totals != [GroupCount]counts{} {
			t.Errorf("%d bytes, %d connections, %v", bytes, connections, b.totals)
		}
		for g, clients := range b.clients {
			if len(clients) > 0 {
				t.Errorf("group %d has %v", g, clients)
			}
		}
	})
}

// Guards against limits that a node of the smallest instances could not keep, and settings that are not applied.
func TestLimitsFollowSizes(t *testing.T) {
	l := Sizes{MemoryMB: 184, MaxFDs: 4100}.Limits()
	if l.Bytes > 184<<20/4 || l.Bytes-l.Reserve < 2*8<<20 || l.Connections[Callers] > 4100-1400 || l.Connections[Callers] < 1500 {
		t.Errorf("%+v", l)
	}
	if l := (Sizes{MemoryMB: 1, MaxFDs: 10}).Limits(); l.Connections[Callers] < 1 || l.Heads[Callers] < 1 {
		t.Errorf("%+v", l)
	}
	if l := (Sizes{MemoryMB: 184, MaxFDs: 1024}).Limits(); l.Connections[Callers] != 256 {
		t.Errorf("%+v", l)
	}
	l = Sizes{MemoryMB: 184, RequestMemoryMB: 1, Connections: 10, ConnectionsPerClient: 20}.Limits()
	if l.Bytes != 1<<20 || l.Connections[Callers] != 10 || l.PerClient[Callers] != 10 {
		t.Errorf("%+v", l)
	}
}

// Guards against a limit for each address that still applies when it is switched off, and against limits for all clients
// together that go with it.
func TestLimitPerClientCanBeSwitchedOff(t *testing.T) {
	sizes := Sizes{MemoryMB: 184, MaxFDs: 4100}
	with := sizes.Limits()
	sizes.ConnectionsPerClient = -1
	without := sizes.Limits()
	if without.PerClient[Callers] != with.Connections[Callers] || without.HeadsPerClient[Callers] != with.Heads[Callers] {
		t.Errorf("%+v", without)
	}
	without.PerClient[Callers], without.HeadsPerClient[Callers] = with.PerClient[Callers], with.HeadsPerClient[Callers]
	if without != with {
		t.Errorf("other limits have changed: %+v, before %+v", without, with)
	}
}
