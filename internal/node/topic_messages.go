package node

import (
	"bytes"
	"compress/flate"
	"context"
	"io"
	"strings"
	"sync"
	"time"

	"github.com/zeebo/errs/v2"

	"heatherreel/internal/feed"
	"heatherreel/internal/node/nodepb"
	"heatherreel/internal/problem"
	"heatherreel/internal/registry"
)

// ReadTopic implements nodepb.DRPCRouterServer. An error of the service is encoded in the response, so that it does not
// count as an error of the connection.
func (e *routerEndpoint) ReadTopic(ctx context.Context, m *nodepb.TopicRequest) (*nodepb.TopicResponse, error) {
	answer, err := e.service.ReadTopic(ctx, feed.Request{Topic: m.Topic, From: m.From, Wait: min(decodeDuration(m.WaitUs), maxStoreWait), Urgent: m.Urgent, Era: m.Era,
		Needed: m.Needed})
	if err != nil {
		return &nodepb.TopicResponse{Failure: failureKind(err), Detail: failureDetail(err)}, nil
	}
	return encodeTopicAnswer(answer), nil
}

// topicSilenceLimit is the longest time without data from a feed while its answer is due or arrives. It covers a pause
// of the process of the feed.
const topicSilenceLimit = 300 * time.Millisecond

// ReadTopic asks the node at address for the records of a topic that it has read from the platform's store. Errors are
// problem.Overloaded if it does not answer such requests at present, and problem.NotSent or problem.Unavailable if it
// could not be reached, stopped responding, or runs a version without this call.
func (c *Client) ReadTopic(ctx context.Context, address string, r feed.Request) (feed.Answer, error) {
	conn, err := c.connPool.take(ctx, address, true)
	if err != nil {
		return feed.Answer{}, err
	}
	sent := time.Now()
	conn.watchdog.transfer.Store(registry.TransferOf(ctx))
	conn.watchdog.arm(silenceRule{limit: r.Wait + topicSilenceLimit, patience: untilLimit}, 0)
	response, err := nodepb.NewDRPCRouterClient(conn).ReadTopic(ctx, &nodepb.TopicRequest{Topic: r.Topic, From: r.From, WaitUs: encodeDuration(r.Wait), Urgent: r.Urgent, Era: r.Era, Needed: r.Needed})
	conn.watchdog.disarm()
	conn.watchdog.transfer.Store(nil)
	if err = c.finishCall(address, conn, c.explainSilence(address, conn, sent, r.Wait, err)); err != nil {
		return feed.Answer{}, err
	}
	if response.Failure != "" {
		return feed.Answer{}, problem.New(errs.Tag(response.Failure), "read from the platform's store", "the node at %s: %s", address, response.Detail)
	}
	answer, err := decodeTopicAnswer(response)
	if err != nil {
		return feed.Answer{}, problem.New(problem.Malformed, "read from the platform's store", "the node at %s: %w", address, err)
	}
	return answer, nil
}

// failureKind returns the kind of an error as it is encoded in a response.
func failureKind(err error) string {
	if kind := problem.KindOf(err); kind != "" {
		return string(kind)
	}
	return string(problem.Unavailable)
}

// failureDetail returns the text of an error as it is encoded in a response. It may quote bytes that are not UTF-8.
func failureDetail(err error) string { return strings.ToValidUTF8(problem.DetailOf(err), "?") }

func encodeTopicAnswer(a feed.Answer) *nodepb.TopicResponse {
	records := encodeRecords(a.Page.Records)
	for _, r := range records {
		if len(r.Value) >= minCompressedBytes {
			r.CompressedValue, r.Value = compress(r.Value), nil
		}
	}
	return &nodepb.TopicResponse{Records: records, End: a.Page.End, Era: a.Page.Era, Snapshot: a.Snapshot,
		// The next lower microsecond is the earlier time.
		ReadOffsetUs: a.ReadOffset.Microseconds() - 1}
}

func decodeTopicAnswer(m *nodepb.TopicResponse) (feed.Answer, error) {
	for _, r := range m.Records {
		if len(r.GetCompressedValue()) == 0 {
			continue
		}
		value, err := decompress(r.CompressedValue)
		if err != nil {
			return feed.Answer{}, err
		}
		r.Value, r.CompressedValue = value, nil
	}
	offset := time.Duration(min(max(m.ReadOffsetUs, -int64(maxDurationUs)), int64(maxDurationUs))) * time.Microsecond
	return feed.Answer{Page: registry.Page{Records: decodeRecords(m.Records), End: m.End, Era: m.Era}, Snapshot: m.Snapshot, ReadOffset: offset}, nil
}

const (
	// minCompressedBytes is the size of a record from which it is compressed. The links of small instances carry 10 Mbit/s,
	// and a feed sends each record to several nodes.
	minCompressedBytes = 8 << 10
	// maxDecompressedBytes is above the size of a record, which the store limits to 256 KiB.
	maxDecompressedBytes = 1 << 20
)

// compressors holds unused compressors, whose tables are larger than most records.
var compressors = sync.Pool{New: func() any {
	// The level is valid, so that there is no error.
	w, _ := flate.NewWriter(nil, flate.BestSpeed)
	return w
}}

// compress returns data in DEFLATE format.
func compress(data []byte) []byte {
	var compressed bytes.Buffer
	w := compressors.Get().(*flate.Writer)
	defer compressors.Put(w)
	w.Reset(&compressed)
	// Writes to a buffer do not fail.
	_, _ = w.Write(data)
	_ = w.Close()
	return compressed.Bytes()
}

// decompress returns the data of a record in DEFLATE format.
func decompress(compressed []byte) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(compressed)), maxDecompressedBytes+1))
	if err != nil {
		return nil, problem.New(problem.Malformed, "run the same version on all nodes", "a compressed record: %w", err)
	}
	if len(data) > maxDecompressedBytes {
		return nil, problem.New(problem.TooLarge, "run the same version on all nodes", "a compressed record is over %d bytes", maxDecompressedBytes)
	}
	return data, nil
}
