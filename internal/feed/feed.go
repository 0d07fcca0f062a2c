// Package feed shares the reads of the platform's store among the nodes of a region. A few nodes, the feeds, read each
// topic from the store; each of the others gets the records through one of them. A node that gets its records through
// another one is no feed, so that there are no cycles.
//
// The package decides which nodes are feeds and holds the records that a feed serves. It makes no calls.
package feed

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"heatherreel/internal/registry"
)

// Request asks a feed for the records of a topic.
type Request struct {
	Topic string
	// From is the end up to which the follower has read the topic; negative if it has read nothing.
	From int64
	// Wait is how long the feed waits for a read of the store that ends after the request has arrived.
	Wait time.Duration
	// Era is the era of the store in which From is an offset.
	Era uint64
	// Urgent is set while requests wait for a record at the follower. The feed then passes on new records at once, and
	// answers after Wait that there are none.
	Urgent bool
	// Needed is an end that the topic is known to have and that the follower has not reached; 0 if there is none. A feed
	// that has it answers at once. Otherwise it reads at once, and answers when it has the end or a read of the store that
	// was sent after the request arrived shows that there is none.
	Needed int64
}

// FromInEra returns From as an offset of an era of the store. A follower that has read in an earlier era gets all records,
// as if it had read nothing. known is false if that would be repeated without end: a follower of an earlier version names
// no era, and does not learn of the present one.
func (r Request) FromInEra(era uint64) (from int64, known bool) {
	switch {
	case r.Era == era || r.From < 0:
		return r.From, true
	case r.Era == 0 || r.Era > era:
		return 0, false
	default:
		return -1, true
	}
}

// Answer is the answer of a feed.
type Answer struct {
	// Page holds the newest record of each key that has changed since Request.From, or of all keys if Snapshot is set. A
	// record without a value was removed.
	Page     registry.Page
	Snapshot bool
	// ReadOffset is the time from the arrival of the request to when the feed sent the read of the store that the answer
	// reflects; negative if that was before. A follower adds it to the time at which it sent its request. As the request
	// arrived later than that, the sum is never later than the read of the store, whatever the clocks show and however
	// long the request or its answer took.
	ReadOffset time.Duration
}

// Sizes of the groups of feeds.
const (
	// minNodes is the size of a region from which on it has feeds. In a smaller one nearly all nodes would be feeds.
	minNodes = 4
	// minFeeds lets the followers of a feed that has failed use another one.
	minFeeds = 2
	// feedsPerRoot is the number of feeds relative to the square root of the nodes of a region. Each change of a topic costs
	// a billed call of the store per feed, and a message within the region per follower. In a region of 280 nodes a feed has
	// 25 followers on average, fewer than it serves at once.
	feedsPerRoot = 0.6
)

// Member is a node of the region that is not stopping.
type Member struct {
	Instance   string
	DataCentre string
	// Failed is set while the node is not to be used as a feed.
	Failed bool
}

// Choose returns the feed that self uses; empty if self reads from the store, as it is a feed itself or there is none.
// members may include self; a node that is not a member yet is not chosen by others.
//
// The number of feeds grows with the square root of the nodes, as does the number of followers of each. The order of
// the nodes depends on their names and data centres only, so that all nodes choose from the same ones. If all of a group
// have failed, the next group takes over. A feed in the data centre of self is preferred.
func Choose(self Member, members []Member) string {
	if len(members) < minNodes {
		return ""
	}
	size := max(minFeeds, int(math.Ceil(feedsPerRoot*math.Sqrt(float64(len(members))))))
	for group := range slices.Chunk(rank(members), size) {
		if slices.ContainsFunc(group, func(m Member) bool { return m.Instance == self.Instance }) {
			return ""
		}
		group = slices.DeleteFunc(group, func(m Member) bool { return m.Failed })
		if near := slices.DeleteFunc(slices.Clone(group), func(m Member) bool { return m.DataCentre != self.DataCentre }); len(near) > 0 {
			group = near
		}
		if len(group) > 0 {
			// The hash of both names spreads the followers, and a feed that fails changes those of its own only.
			return slices.MaxFunc(group, func(a, b Member) int {
				return cmp.Compare(xxhash.Sum64String(self.Instance+"\x00"+a.Instance), xxhash.Sum64String(self.Instance+"\x00"+b.Instance))
			}).Instance
		}
	}
	return ""
}

// rank returns the members in the order in which they become feeds: one of each data centre in turn.
func rank(members []Member) []Member {
	byName := func(a, b Member) int {
		return cmp.Or(cmp.Compare(xxhash.Sum64String(a.Instance), xxhash.Sum64String(b.Instance)), cmp.Compare(a.Instance, b.Instance))
	}
	ranked := slices.SortedFunc(slices.Values(members), byName)
	turns, next := make(map[string]int, len(ranked)), map[string]int{}
	for _, m := range ranked {
		turns[m.Instance] = next[m.DataCentre]
		next[m.DataCentre]++
	}
	slices.SortStableFunc(ranked, func(a, b Member) int { return cmp.Compare(turns[a.Instance], turns[b.Instance]) })
	return ranked
}
