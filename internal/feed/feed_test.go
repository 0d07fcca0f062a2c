package feed

import (
	"fmt"
	"maps"
	"testing"

	"pgregory.net/rapid"

	"heatherreel/internal/registry"
)

func region(n int) []Member {
	var members []Member
	for i := range n {
		members = append(members, Member{Instance: fmt.Sprintf("i-%d", i), DataCentre: fmt.Sprintf("dc-%d", i%3)})
	}
	return members
}

// followers returns the number of nodes that use each feed. It fails the test if a feed uses a feed.
func followers(t *testing.T, members []Member) map[string]int {
	t.Helper()
	used := map[string]int{}
	for _, m := range members {
		if f := Choose(m, members); f != "" {
			used[f]++
		}
	}
	for _, m := range members {
		if chosen := Choose(m, members); chosen != "" && used[m.Instance] > 0 {
			t.Errorf("%s is a feed and uses %s", m.Instance, chosen)
		}
	}
	return used
}

// Guards against feeds that use feeds, more readers of the store than 0.6 times the square root of the region, and feeds that
// carry several times their share.
func TestFeedsAreFewAndEven(t *testing.T) {
	for n, readers := range map[int]int{1: 1, 3: 3, 4: 2, 9: 2, 30: 4, 280: 11} {
		members := region(n)
		direct := 0
		for _, m := range members {
			if Choose(m, members) == "" {
				direct++
			}
		}
		if direct != readers {
			t.Errorf("%d of %d nodes read from the store, want %d", direct, n, readers)
		}
		for f, count := range followers(t, members) {
			if share := float64(n) / float64(readers); float64(count) > 2.5*share {
				t.Errorf("%d of %d nodes use %s", count, n, f)
			}
		}
	}
}

// Guards against records that cross from one data centre to another although there is a feed in each.
func TestFeedsAreInDataCentreOfFollowers(t *testing.T) {
	members := region(30)
	dataCentres := map[string]string{}
	for _, m := range members {
		dataCentres[m.Instance] = m.DataCentre
	}
	for _, m := range members {
		if f := Choose(m, members); f != "" && dataCentres[f] != m.DataCentre {
			t.Errorf("%s in %s uses %s in %s", m.Instance, m.DataCentre, f, dataCentres[f])
		}
	}
}

// Guards against a feed that has failed and is used, and against followers of other feeds that change theirs.
func TestFailedFeedIsReplacedForItsFollowers(t *testing.T) {
	members := region(30)
	for i := range members {
		before := map[string]string{}
		for _, m := range members {
			before[m.Instance] = Choose(m, members)
		}
		members[i].Failed = true
		for _, m := range members {
			chosen := Choose(m, members)
			if previous := before[m.Instance]; chosen == members[i].Instance || previous != members[i].Instance && chosen != previous {
				t.Errorf("%s uses %q after %s failed, %q before", m.Instance, chosen, members[i].Instance, previous)
			}
		}
		members[i].Failed = false
	}
}

// Guards against a region whose nodes all read from the store because those that should do so have failed.
func TestNextGroupTakesOver(t *testing.T) {
	members := region(30)
	for rounds := range 4 {
		used := followers(t, members)
		if len(used) == 0 || len(used) > 6 {
			t.Errorf("%d feeds after the feeds failed %d times", len(used), rounds)
		}
		for i, m := range members {
			if _, isFeed := used[m.Instance]; isFeed {
				members[i].Failed = true
			}
		}
	}
}

// Guards against a node whose record is not known yet that becomes a feed which nobody uses.
func TestUnknownNodeIsNoFeed(t *testing.T) {
	if f := Choose(Member{Instance: "new"}, region(30)); f == "" {
		t.Error("a node that is not a member reads from the store")
	}
}

// Guards against a follower that misses a change, keeps a removed key or gets back an older record, whatever it has
// read before and however much is discarded of the removed keys.
func TestFollowerHasRecordsOfFeed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var served Topic
		reference, log := map[string]string{}, int64(0)
		type follower struct {
			from    int64
			records map[string]string
		}
		followers := make([]follower, 3)
		for i := range followers {
			followers[i] = follower{-1, map[string]string{}}
		}
		appendRecord := func(page *registry.Page, key, value string) {
			page.Records = append(page.Records, registry.Record{Key: key, Value: []byte(value)})
			if reference[key] = value; value == "" {
				delete(reference, key)
			}
			log++
			page.End = log
		}
		served.Apply(registry.Page{}, true)
		t.Repeat(map[string]func(*rapid.T){
			"page": func(t *rapid.T) {
				var page registry.Page
				for range rapid.IntRange(1, 5).Draw(t, "records") {
					appendRecord(&page, rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "key"), rapid.SampledFrom([]string{"", "1", "2", "3"}).Draw(t, "value"))
				}
				served.Apply(page, false)
			},
			"removals": func(t *rapid.T) {
				var page registry.Page
				for i := range rapid.IntRange(1, maxRemoved).Draw(t, "records") {
					appendRecord(&page, fmt.Sprint("gone-", log, "-", i), "")
				}
				served.Apply(page, false)
			},
			"snapshot": func(t *rapid.T) {
				page := registry.Page{End: log}
				for key, value := range reference {
					page.Records = append(page.Records, registry.Record{Key: key, Value: []byte(value)})
				}
				served.Apply(page, true)
			},
			"read": func(t *rapid.T) {
				f := &followers[rapid.IntRange(0, len(followers)-1).Draw(t, "follower")]
				page, snapshot := served.Since(f.from)
				if snapshot {
					clear(f.records)
				}
				for _, r := range page.Records {
					if f.records[r.Key] = string(r.Value); len(r.Value) == 0 {
						delete(f.records, r.Key)
					}
				}
				f.from = page.End
				if !maps.Equal(f.records, reference) {
					t.Fatalf("follower has %v, the store %v", f.records, reference)
				}
			},
			"": func(t *rapid.T) {
				if served.removed > maxRemoved || served.removed < 0 || served.bytes < 0 {
					t.Fatalf("%d removed keys, %d bytes are held", served.removed, served.bytes)
				}
			},
		})
	})
}

// Guards against a topic that takes memory without bound, and against one that is never served again.
func TestLargeTopicIsNotServed(t *testing.T) {
	var served Topic
	served.Apply(registry.Page{End: 1, Records: []registry.Record{{Key: "a", Value: make([]byte, maxBytes)}}}, true)
	if served.Held() {
		t.Error("a topic over the limit is held")
	}
	served.Apply(registry.Page{End: 2, Records: []registry.Record{{Key: "b", Value: []byte("1")}}}, false)
	if served.Held() {
		t.Error("a page without the records before it is served")
	}
	served.Apply(registry.Page{End: 2, Records: []registry.Record{{Key: "b", Value: []byte("1")}}}, true)
	if !served.Held() {
		t.Error("a topic below the limit is not held")
	}
}

// Guards against a record that keeps the whole answer in memory in which it arrived, or changes with it.
func TestRecordsAreCopied(t *testing.T) {
	buffer := []byte("value")
	var served Topic
	served.Apply(registry.Page{End: 1, Records: []registry.Record{{Key: "a", Value: buffer}}}, true)
	buffer[0] = 'X'
	if page, _ := served.Since(-1); string(page.Records[0].Value) != "value" {
		t.Errorf("the record became %s", page.Records[0].Value)
	}
}
