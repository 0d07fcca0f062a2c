package feed

import "testing"

// Guards against reads of the store for records that a node already has or that the store is about to send, and against
// records that are never read because the answer of the store is lost.
func TestReaderGetsNeededRecords(t *testing.T) {
	for _, c := range []struct {
		name   string
		reader Reader
		want   Refresh
	}{
		{"nothing needed", Reader{End: 5, Polling: true}, RefreshNotNeeded},
		{"records held", Reader{End: 5, Needed: 5, Polling: true}, RefreshNotNeeded},
		{"next read looks at the need", Reader{End: 5, Needed: 6}, RefreshNotNeeded},
		{"answer on its way", Reader{End: 5, Needed: 6, Polling: true}, RefreshAwaited},
		{"answer lost", Reader{End: 5, Needed: 6, Polling: true, Awaited: true}, RefreshFromStore},
		{"feed in a batch delay", Reader{End: 5, Needed: 6, Polling: true, Follows: true}, RefreshThroughFeed},
	} {
		if got := c.reader.Next(); got != c.want {
			t.Errorf("%s: got %v, want %v", c.name, got, c.want)
		}
	}
}

// Guards against an answer without the needed records although the store has them, and against a follower that is kept
// waiting for records that the store does not have.
func TestAnswerSatisfiesRequest(t *testing.T) {
	for _, c := range []struct {
		name      string
		needed    int64
		end       int64
		reads     int
		sentAfter bool
		want      bool
	}{
		{"newer records", 0, 6, 0, false, true},
		{"no records and no read", 0, 5, 0, false, false},
		{"no records after a read", 0, 5, 1, false, true},
		{"needed records held", 7, 7, 0, false, true},
		{"some of the needed records held", 7, 6, 1, false, false},
		{"poll ended without the needed records", 7, 5, 1, false, false},
		{"needed records do not exist", 7, 5, 1, true, true},
		{"feed is behind the follower", 7, 4, 1, true, false},
	} {
		r := Request{From: 5, Needed: c.needed}
		if got := r.Satisfies(5, c.end, c.reads, c.sentAfter); got != c.want {
			t.Errorf("%s: got %v", c.name, got)
		}
	}
}
