package node

import (
	"context"
	"time"

	"github.com/zeebo/errs/v2"

	"heatherreel/internal/node/nodepb"
	"heatherreel/internal/problem"
	"heatherreel/internal/registry"
)

// StoreCall implements nodepb.DRPCRouterServer. A failed call to the store is encoded in the response, so that it does
// not count as an error of the connection.
func (e *routerEndpoint) StoreCall(ctx context.Context, m *nodepb.StoreRequest) (*nodepb.StoreResponse, error) {
	page, err := e.service.StoreCall(ctx, decodeStoreCall(m))
	if err != nil {
		return &nodepb.StoreResponse{Failure: failureKind(err), Detail: failureDetail(err), Era: page.Era}, nil
	}
	return encodePage(page), nil
}

// storeCheckInterval is the time without data from a node that calls the store after which that node is checked. A check
// takes checkTimeout at most.
const storeCheckInterval = 400 * time.Millisecond

// StoreCall makes a call to the platform's store through the node at address. Errors are those of registry.Store, and
// wrap a SilenceError if the node stopped responding. The call lasts as long as the node answers other connections: it
// may read a large record over a slow link.
func (c *Client) StoreCall(ctx context.Context, address string, call registry.Call) (registry.Page, error) {
	conn, err := c.connPool.take(ctx, address, true)
	if err != nil {
		return registry.Page{}, err
	}
	sent := time.Now()
	conn.watchdog.transfer.Store(registry.TransferOf(ctx))
	conn.watchdog.arm(silenceRule{checkAfter: storeCheckInterval, lastChance: storeCheckInterval, patience: untilUnanswered}, sendTime(len(call.Record.Value)))
	response, err := nodepb.NewDRPCRouterClient(conn).StoreCall(ctx, encodeStoreCall(call))
	conn.watchdog.disarm()
	conn.watchdog.transfer.Store(nil)
	if err = c.finishCall(address, conn, c.explainSilence(address, conn, sent, storeCheckInterval, err)); err != nil {
		return registry.Page{}, err
	}
	if response.Failure != "" {
		return registry.Page{Era: response.Era}, problem.New(errs.Tag(response.Failure), "check the platform's store and the routes of both nodes to it",
			"the node at %s could not call the store: %s", address, response.Detail)
	}
	return decodePage(response), nil
}

func encodeStoreCall(c registry.Call) *nodepb.StoreRequest {
	return &nodepb.StoreRequest{Operation: nodepb.StoreOperation(c.Operation), Topic: c.Topic, From: c.From, WaitUs: encodeDuration(c.Wait),
		At: c.At, Record: &nodepb.StoreRecord{Key: []byte(c.Record.Key), Value: c.Record.Value}}
}

// maxStoreWait bounds the wait time of a read on behalf of another node.
const maxStoreWait = 15 * time.Second

func decodeStoreCall(m *nodepb.StoreRequest) registry.Call {
	return registry.Call{Operation: registry.Operation(m.Operation), Topic: m.Topic, From: m.From, Wait: min(decodeDuration(m.WaitUs), maxStoreWait),
		At: m.At, Record: registry.Record{Key: string(m.Record.GetKey()), Value: m.Record.GetValue()}}
}

func encodePage(p registry.Page) *nodepb.StoreResponse {
	return &nodepb.StoreResponse{End: p.End, Partial: p.Partial, Era: p.Era, Records: encodeRecords(p.Records)}
}

func decodePage(m *nodepb.StoreResponse) registry.Page {
	return registry.Page{End: m.End, Partial: m.Partial, Era: m.Era, Records: decodeRecords(m.Records)}
}

func encodeRecords(records []registry.Record) []*nodepb.StoreRecord {
	encoded := make([]*nodepb.StoreRecord, len(records))
	for i, r := range records {
		encoded[i] = &nodepb.StoreRecord{Key: []byte(r.Key), Value: r.Value}
	}
	return encoded
}

func decodeRecords(records []*nodepb.StoreRecord) []registry.Record {
	decoded := make([]registry.Record, len(records))
	for i, r := range records {
		decoded[i] = registry.Record{Key: string(r.GetKey()), Value: r.GetValue()}
	}
	return decoded
}
