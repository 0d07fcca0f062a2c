// Package registry holds the records that nodes keep in the platform's store, and the interface of that store.
//
// The store keeps the newest record of each key of a topic for ever. Two topics are the nodes' own: the members, one
// record for each instance, and the ownership of keys, one record for each service.
package registry

import (
	"context"
	"encoding/json"
	"time"

	"heatherreel/internal/problem"
	"heatherreel/internal/route"
)

// Topics of the nodes' own records.
const (
	Members = "keyed.heatherreel-members"
	Ranges  = "keyed.heatherreel-ranges"
)

// Anywhere is the expected end of an append that holds at any end.
const Anywhere = -1

// Record is one record of a keyed topic. A record without a value removes its key.
type Record struct {
	Key   string
	Value []byte
}

// Page is the answer to a read.
type Page struct {
	Records []Record
	// End is the offset after the last record of the partition.
	End int64
}

// Store is the platform's store. Errors are problem.Conflict for an append at another end than expected, problem.Forgotten
// for a read of records that are gone, problem.Overloaded or problem.NotSent when nothing was done, and
// problem.Unavailable when nothing is known about the effect.
type Store interface {
	// Newest returns the newest record of each key, and the end from which later records are read.
	Newest(ctx context.Context, topic string) (Page, error)
	// Read returns the records from the offset on; with none there, it waits up to wait.
	Read(ctx context.Context, topic string, from int64, wait time.Duration) (Page, error)
	// Append adds a record if the partition ends at the offset at, or anywhere. It returns the end after it.
	Append(ctx context.Context, topic string, at int64, r Record) (end int64, err error)
}

// OperatorWord is one decoded record of the operators. Exactly one of its parts is set.
type OperatorWord struct {
	// Table is a configuration.
	Table *route.Table
	// DataCentre is one whose evacuation begins, or ends if Ended.
	DataCentre string
	Ended      bool
}

// Server is what a member tells of the backend server beside it.
type Server struct {
	ID       string
	Born     int64
	Ready    bool
	Draining bool
	Slots    int
	// WorkPercent is how long work takes on the machine while nothing slows it, in percent of the usual time; 0 if unknown.
	WorkPercent int `json:",omitempty"`
}

// Member is the record of one instance.
type Member struct {
	Instance    string
	Incarnation int64
	// Address is the drpc address of the node.
	Address    string
	DataCentre string
	Region     string
	Service    string
	// Server is the zero value while no backend server runs beside the node.
	Server Server
	// Stopping is set shortly before the node takes no more requests for its backend server, until its next process.
	Stopping bool
}

// EncodeMember returns the record of a member.
func EncodeMember(m Member) (Record, error) { return encode(m.Instance, m) }

// DecodeMember returns the member of a record, or a problem.Malformed error.
func DecodeMember(r Record) (Member, error) {
	var m Member
	err := decode(r, &m)
	if err == nil && (m.Instance != r.Key || m.Address == "") {
		err = problem.New(problem.Malformed, writerRemedy, "the member record %q names no instance or address", r.Key)
	}
	return m, err
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
