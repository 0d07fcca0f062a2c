// Package keyspace maps keys to slices.
//
// A slice is a fixed range of the key hashes of one group. A group is a service together with a set of home regions;
// keys with different home regions therefore never share a slice.
package keyspace

import (
	"fmt"
	"math/bits"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// homeSeparator separates the region names in a Home.
const homeSeparator = "+"

// Home is a set of home regions in canonical form: the sorted names, joined by "+". The empty string allows all
// regions.
type Home string

// NewHome returns the set of the regions in canonical form.
func NewHome(regions []string) Home {
	sorted := slices.Clone(regions)
	slices.Sort(sorted)
	return Home(strings.Join(slices.Compact(sorted), homeSeparator))
}

// Allows reports whether region belongs to the set.
func (h Home) Allows(region string) bool {
	if h == "" {
		return true
	}
	rest := string(h)
	for {
		name, tail, more := strings.Cut(rest, homeSeparator)
		if name == region {
			return true
		}
		if !more {
			return false
		}
		rest = tail
	}
}

// Regions returns the names of the regions in the set, or nil if all regions are allowed.
func (h Home) Regions() []string {
	if h == "" {
		return nil
	}
	return strings.Split(string(h), homeSeparator)
}

// Group is a service with a set of home regions.
type Group struct {
	Service string `json:"service"`
	Home    Home   `json:"home,omitempty"`
}

// String returns the group as service@home.
func (g Group) String() string {
	if g.Home == "" {
		return g.Service
	}
	return g.Service + "@" + string(g.Home)
}

// Compare orders groups by service, then by home regions.
func (g Group) Compare(other Group) int {
	if c := strings.Compare(g.Service, other.Service); c != 0 {
		return c
	}
	return strings.Compare(string(g.Home), string(other.Home))
}

// SliceID identifies one slice.
type SliceID struct {
	Group
	Index uint32 `json:"index"`
}

// String returns the slice as service@home/index.
func (s SliceID) String() string {
	return fmt.Sprintf("%s/%d", s.Group, s.Index)
}

// Compare orders slices by group, then by index.
func (s SliceID) Compare(other SliceID) int {
	if c := s.Group.Compare(other.Group); c != 0 {
		return c
	}
	return int(s.Index) - int(other.Index)
}

// Hash returns the hash of a key, which determines its slice.
func Hash(key string) uint64 { return xxhash.Sum64String(key) }

// Index returns the index of the range that contains hash, if the hash space is divided into count equal ranges. count
// must be positive.
func Index(hash uint64, count uint32) uint32 {
	high, _ := bits.Mul64(hash, uint64(count))
	return uint32(high)
}
