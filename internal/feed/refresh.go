package feed

import "time"

// PollAnswerTime is how long the answer to a read of the store that waits for records is awaited after another node has
// named a record that the read must return: the store answers such a read as soon as a record is appended, usually within
// a few milliseconds. After this time the answer counts as lost.
const PollAnswerTime = 50 * time.Millisecond

// Reader is what a node does at present to read a topic.
type Reader struct {
	// End is the end up to which the node has read the topic, and Needed an end that the topic is known to have.
	End, Needed int64
	// Polling is set while a read that waits for records is in progress, and Follows if it goes through a feed.
	Polling, Follows bool
	// Awaited is set if the read has been in progress for PollAnswerTime since the record was named.
	Awaited bool
}

// Refresh is what a node does to get the records up to Reader.Needed.
type Refresh int

const (
	// RefreshNotNeeded means that the node has the records, or that the read in progress or due next returns them.
	RefreshNotNeeded Refresh = iota
	// RefreshAwaited means that the answer of the store is on its way. The node decides again after PollAnswerTime.
	RefreshAwaited
	// RefreshThroughFeed ends the read in progress. The next one names the needed end to the feed.
	RefreshThroughFeed
	// RefreshFromStore ends the read in progress. The next one goes to the store and does not wait.
	RefreshFromStore
)

// Next decides how a node gets the records that it needs.
func (r Reader) Next() Refresh {
	switch {
	case r.Needed <= r.End || !r.Polling:
		// The reader looks at Needed before each read.
		return RefreshNotNeeded
	case r.Follows:
		return RefreshThroughFeed
	case r.Awaited:
		return RefreshFromStore
	}
	return RefreshAwaited
}

// Satisfies reports whether a feed that has read up to end may answer the request. reads is the number of its completed
// reads of the store since the request arrived, and sentAfter is set if the last of them was sent after that.
func (r Request) Satisfies(from, end int64, reads int, sentAfter bool) bool {
	if r.Needed > 0 {
		// Without the needed records, the answer must show that the store does not have them.
		return end >= r.Needed && end > from || end >= from && sentAfter
	}
	return end > from || end == from && reads > 0
}
