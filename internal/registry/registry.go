// Package registry defines the records that nodes write to the platform's store, their encoding, and the interface of
// that store.
//
// The store keeps the newest record of each key of a topic for ever. Nodes write two topics: the members, with one
// record for each instance, and the ownership of keys, with one record for each service.
package registry

import (
	"context"
	"encoding/json"
	"fmt"
	"net/netip"
	"time"

	"heatherreel/internal/problem"
	"heatherreel/internal/route"
)

// Topics that the nodes write.
const (
	MembersTopic = "keyed.heatherreel-members"
	RangesTopic  = "keyed.heatherreel-ranges"
)

// SettlingKey is the key of the records in RangesTopic that hold no table. Such a record only moves the end of the topic,
// so that a write which is conditional on the end before it cannot take effect any more. No service has this name.
const SettlingKey = "heatherreel/settled"

// AnyOffset is the expected offset of an append that does not depend on the end of the partition.
const AnyOffset = -1

// Record is one record of a keyed topic. A record without a value deletes its key.
type Record struct {
	Key   string
	Value []byte
}

// Page is the result of a read.
type Page struct {
	Records []Record
	// End is the offset from which to read later records.
	End int64
	// Era is the era of the store that answered, 0 if it has none; see package storeera. It is set with an error, too, if
	// the store answered.
	Era uint64
	// Partial is set if the partition had records after End when it was read. A store that is called through a node of
	// an earlier version does not set it.
	Partial bool
}

// Store is the platform's store. Errors are problem.Conflict if the partition does not end at the offset that an append
// expects, problem.PastRetention if the records to read are no longer retained, problem.Overloaded or problem.NotSent
// if the call had no effect, and problem.Unavailable if it is unknown whether it had one. The latter wraps
// context.DeadlineExceeded if the answer kept arriving but took too long. A Store counts the bytes of answers in the
// Transfer of the context, if it has one.
type Store interface {
	// Newest returns the newest record of each key, and the offset from which to read later records.
	Newest(ctx context.Context, topic string) (Page, error)
	// Read returns the records from an offset on. If there are none yet, it waits for one, at most for wait.
	Read(ctx context.Context, topic string, from int64, wait time.Duration) (Page, error)
	// Append appends a record if the partition ends at the offset at; with AnyOffset, it appends in any case. It
	// returns the offset after the record.
	Append(ctx context.Context, topic string, at int64, r Record) (end int64, err error)
}

// OperatorRecord is one decoded record that operators wrote. Either Table or DataCentre is set.
type OperatorRecord struct {
	// Table is a configuration, and Replaced the values of its record that are out of range.
	Table    *route.Table
	Replaced []route.Replacement
	// DataCentre is the data centre whose evacuation begins, or ends if Ended is set.
	DataCentre string
	Ended      bool
}

// Server is the state of the backend server of a member.
type Server struct {
	ID string `json:"ID"`
	// StartedUnixMS is its start time in Unix milliseconds.
	StartedUnixMS int64 `json:"Born"`
	Ready         bool  `json:"Ready"`
	Draining      bool  `json:"Draining"`
	Slots         int   `json:"Slots"`
	// WorkPercent is how long work takes on the machine while nothing slows it down, in percent of the usual time; 0 if
	// unknown.
	WorkPercent int `json:"WorkPercent,omitempty"`
}

// Member is the record of one instance.
type Member struct {
	Instance    string `json:"Instance"`
	Incarnation int64  `json:"Incarnation"`
	// Address is the drpc address of the node.
	Address    string `json:"Address"`
	DataCentre string `json:"DataCentre"`
	Region     string `json:"Region"`
	Service    string `json:"Service"`
	// Server is the zero value while no backend server runs on the instance.
	Server Server `json:"Server"`
	// Stopping is set shortly before the node stops accepting requests for its backend server, and stays set until its
	// process is started again.
	Stopping bool `json:"Stopping"`
}

// EncodeMember returns the record of a member.
func EncodeMember(m Member) (Record, error) { return encode(m.Instance, m) }

// Bounds of the numbers in a record. Another writer may leave any number there, and the weights of backend servers are
// products of these.
const (
	maxSlots       = 100_000
	maxWorkPercent = 1_000_000
	// maxUnixMS is in the year 2200.
	maxUnixMS = 7_258_118_400_000
)

// DecodeMember decodes the member of a record. It returns a problem.Malformed error if the record is not valid.
func DecodeMember(r Record) (Member, error) {
	var m Member
	if err := decode(r, &m); err != nil {
		return Member{}, err
	}
	if err := m.check(r.Key); err != nil {
		return Member{}, problem.New(problem.Malformed, writerRemedy, "member record %q: %w", r.Key, err)
	}
	return m, nil
}

// check returns an error for a member that no node writes under the key.
func (m Member) check(key string) error {
	address, err := netip.ParseAddrPort(m.Address)
	isTime := func(unixMS int64) bool { return 0 <= unixMS && unixMS <= maxUnixMS }
	switch {
	case m.Instance != key || key == "":
		return fmt.Errorf("it has the name of instance %q", m.Instance)
	case err != nil || address.Port() == 0:
		return fmt.Errorf("%q is not an IP address and port", m.Address)
	case !isTime(m.Incarnation) || !isTime(m.Server.StartedUnixMS):
		return fmt.Errorf("incarnation %d or start time %d is not a time", m.Incarnation, m.Server.StartedUnixMS)
	case m.Server.Slots < 0 || m.Server.Slots > maxSlots || m.Server.WorkPercent < 0 || m.Server.WorkPercent > maxWorkPercent:
		return fmt.Errorf("%d slots or %d percent are out of range", m.Server.Slots, m.Server.WorkPercent)
	}
	return nil
}

const writerRemedy = "find the writer of the record; nothing but heatherreel may write to its topics"

func encode(key string, value any) (Record, error) {
	data, err := json.Marshal(value)
	if err != nil {
		return Record{}, problem.New(problem.Malformed, "report this as a defect", "record %q cannot be encoded: %w", key, err)
	}
	return Record{Key: key, Value: data}, nil
}

func decode(r Record, value any) error {
	if err := json.Unmarshal(r.Value, value); err != nil {
		return problem.New(problem.Malformed, writerRemedy, "record %q cannot be decoded: %w", r.Key, err)
	}
	return nil
}
