package registry

import (
	"context"
	"time"

	"heatherreel/internal/problem"
)

// Operation is one of the calls of Store.
type Operation uint8

// Operations, each named after its method of Store.
const (
	OperationNewest Operation = iota + 1
	OperationRead
	OperationAppend
)

// String returns the name of the operation in events.
func (o Operation) String() string {
	switch o {
	case OperationNewest:
		return "newest"
	case OperationRead:
		return "read"
	case OperationAppend:
		return "append"
	default:
		return "unknown"
	}
}

// Call describes one call of a Store, so that another node can make it.
type Call struct {
	Operation Operation
	Topic     string
	// From and Wait are the arguments of a read.
	From int64
	Wait time.Duration
	// At and Record are the arguments of an append.
	At     int64
	Record Record
}

// Do makes the call. The page of an append has no records, only the end. Page.Era is set also if the call failed.
func (c Call) Do(ctx context.Context, s Store) (Page, error) {
	ctx, transfer := TrackTransfer(ctx)
	transfer.SetEra(0)
	page, err := c.do(ctx, s)
	page.Era = transfer.Era()
	return page, err
}

func (c Call) do(ctx context.Context, s Store) (Page, error) {
	switch c.Operation {
	case OperationNewest:
		return s.Newest(ctx, c.Topic)
	case OperationRead:
		return s.Read(ctx, c.Topic, c.From, c.Wait)
	case OperationAppend:
		end, err := s.Append(ctx, c.Topic, c.At, c.Record)
		return Page{End: end}, err
	default:
		return Page{}, problem.New(problem.Invalid, "run the same version on all nodes", "store operation %d is not known", c.Operation)
	}
}
