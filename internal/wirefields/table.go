package wirefields

import (
	"fmt"
	"hash/fnv"
)

// Usual is where the usual value of a header field comes from.
type Usual int

// Sources of usual values.
const (
	// NoUsualValue is for fields whose values differ.
	NoUsualValue Usual = iota
	// UsualText is for fields that usually have a fixed value.
	UsualText
	// UsualID and UsualKey are for fields that repeat the id or the key of the request.
	UsualID
	UsualKey
	// usualAgent is for the field whose usual value is the one in the sequence before on the same connection.
	usualAgent
)

// Name is a common name of a header field with the value that the field usually has.
type Name struct {
	Name  string
	Usual Usual
	// Text is the usual value if Usual is UsualText.
	Text string
}

// Table holds the names and the values that are encoded by their index. Both ends must have the same table: an entry must
// not be changed, moved or added. A different table needs another name of the call that carries it.
type Table struct {
	names      []Name
	nameIndex  map[string]int
	valueIndex map[string]int
}

// NewTable returns a table with the names of a protocol and those that are common in HTTP. The first 63 names take one byte.
func NewTable(protocol []Name) *Table {
	t := &Table{names: append(append([]Name{}, protocol...), common...), nameIndex: map[string]int{}, valueIndex: map[string]int{}}
	for i, n := range t.names {
		t.nameIndex[n.Name] = i
	}
	for i, v := range values {
		t.valueIndex[v] = i
	}
	return t
}

// Hash returns a hash of all entries, by which tests recognize a changed table.
func (t *Table) Hash() string {
	hash := fnv.New64a()
	fmt.Fprintf(hash, "%+v %q", t.names, values)
	return fmt.Sprintf("%x", hash.Sum64())
}

// common are the names that follow those of the protocol.
var common = []Name{
	{"Heatherreel-Request-Id", UsualID, ""},
	{"Content-Type", UsualText, "application/octet-stream"},
	{"User-Agent", usualAgent, ""},
	{"Accept", UsualText, "*/*"},
	{"Accept-Encoding", UsualText, "identity"},
	{"Cookie", NoUsualValue, ""},
	{"Heatherreel-Deadline-Ms", NoUsualValue, ""},
	{"Heatherreel-Tenant", NoUsualValue, ""},
	{"Heatherreel-Idempotent", UsualText, "true"},
	{"Authorization", NoUsualValue, ""},
	{"Traceparent", NoUsualValue, ""},
	{"Tracestate", NoUsualValue, ""},
	{"Baggage", NoUsualValue, ""},
	{"Date", NoUsualValue, ""},
	{"Server", NoUsualValue, ""},
	{"Set-Cookie", NoUsualValue, ""},
	{"Cache-Control", UsualText, "no-cache"},
	{"Pragma", UsualText, "no-cache"},
	{"Content-Encoding", UsualText, "gzip"},
	{"Content-Language", NoUsualValue, ""},
	{"Content-Disposition", NoUsualValue, ""},
	{"Content-Range", NoUsualValue, ""},
	{"Content-Length", NoUsualValue, ""},
	{"Accept-Language", NoUsualValue, ""},
	{"Accept-Charset", UsualText, "utf-8"},
	{"Accept-Ranges", UsualText, "bytes"},
	{"Age", NoUsualValue, ""},
	{"Allow", NoUsualValue, ""},
	{"ETag", NoUsualValue, ""},
	{"Etag", NoUsualValue, ""},
	{"Expires", NoUsualValue, ""},
	{"Forwarded", NoUsualValue, ""},
	{"From", NoUsualValue, ""},
	{"If-Match", NoUsualValue, ""},
	{"If-Modified-Since", NoUsualValue, ""},
	{"If-None-Match", NoUsualValue, ""},
	{"If-Range", NoUsualValue, ""},
	{"If-Unmodified-Since", NoUsualValue, ""},
	{"Last-Modified", NoUsualValue, ""},
	{"Link", NoUsualValue, ""},
	{"Location", NoUsualValue, ""},
	{"Origin", NoUsualValue, ""},
	{"Range", NoUsualValue, ""},
	{"Referer", NoUsualValue, ""},
	{"Retry-After", UsualText, "1"},
	{"Vary", UsualText, "Accept-Encoding"},
	{"Via", NoUsualValue, ""},
	{"Warning", NoUsualValue, ""},
	{"Www-Authenticate", NoUsualValue, ""},
	{"X-Forwarded-For", NoUsualValue, ""},
	{"X-Forwarded-Host", NoUsualValue, ""},
	{"X-Forwarded-Proto", UsualText, "https"},
	{"X-Real-Ip", NoUsualValue, ""},
	{"X-Request-Id", UsualID, ""},
	{"Idempotency-Key", UsualID, ""},
	{"Access-Control-Allow-Origin", UsualText, "*"},
	{"Strict-Transport-Security", NoUsualValue, ""},
	{"X-Content-Type-Options", UsualText, "nosniff"},
}

// values are the texts that are encoded by their index.
var values = [...]string{
	"GET", "POST", "PUT", "DELETE", "PATCH", "HEAD", "OPTIONS",
	"true", "false",
	"*/*", "identity", "gzip", "gzip, deflate", "gzip, deflate, br",
	"application/octet-stream",
	// A text with an index of at least 16 takes two bytes.
	"application/json", "application/json; charset=utf-8", "application/x-www-form-urlencoded", "application/problem+json",
	"text/plain", "text/plain; charset=utf-8", "text/html; charset=utf-8",
	"no-cache", "no-store", "chunked", "keep-alive", "close", "en-US,en;q=0.9",
}

// usualValue returns the usual value of a name in the table, and false if it has none.
func (k *Known) usualValue(n *Name) (string, bool) {
	switch n.Usual {
	case UsualText:
		return n.Text, true
	case UsualID:
		return k.ID, k.ID != ""
	case UsualKey:
		return k.Key, k.Key != ""
	case usualAgent:
		return k.Recent[RecentAgent], k.Recent[RecentAgent] != ""
	default:
		return "", false
	}
}
