package wirefields

// valueSource is where the usual value of a header field comes from.
type valueSource int

const (
	noUsualValue valueSource = iota
	usualText
	usualID
	usualKey
	usualRecent
)

// tableName is a common field name with the value that the field usually has.
type tableName struct {
	name   string
	source valueSource
	// usual is the usual value if source is usualText.
	usual string
}

// names are the field names that are encoded by their index, and values the texts that are. Both ends must have the same
// tables: an entry must not be changed, moved or added. A different table needs another name of the call that carries it.
// The first 63 names take one byte.
var names = [...]tableName{
	{"Heatherreel-Request-Id", usualID, ""},
	{"Heatherreel-Shard-Key", usualKey, ""},
	{"Heatherreel-Response-Signature", noUsualValue, ""},
	{"Content-Type", usualText, "application/octet-stream"},
	{"User-Agent", usualRecent, ""},
	{"Accept", usualText, "*/*"},
	{"Accept-Encoding", usualText, "identity"},
	{"Cookie", noUsualValue, ""},
	{"Heatherreel-Deadline-Ms", noUsualValue, ""},
	{"Heatherreel-Expected-Instance", noUsualValue, ""},
	{"Heatherreel-Caller-Service", noUsualValue, ""},
	{"Heatherreel-Not-Executed", noUsualValue, ""},
	{"Heatherreel-Server-Load", noUsualValue, ""},
	{"Heatherreel-Handover", noUsualValue, ""},
	{"Heatherreel-Tenant", noUsualValue, ""},
	{"Heatherreel-Idempotent", usualText, "true"},
	{"Authorization", noUsualValue, ""},
	{"Traceparent", noUsualValue, ""},
	{"Tracestate", noUsualValue, ""},
	{"Baggage", noUsualValue, ""},
	{"Date", noUsualValue, ""},
	{"Server", noUsualValue, ""},
	{"Set-Cookie", noUsualValue, ""},
	{"Cache-Control", usualText, "no-cache"},
	{"Pragma", usualText, "no-cache"},
	{"Content-Encoding", usualText, "gzip"},
	{"Content-Language", noUsualValue, ""},
	{"Content-Disposition", noUsualValue, ""},
	{"Content-Range", noUsualValue, ""},
	{"Content-Length", noUsualValue, ""},
	{"Accept-Language", noUsualValue, ""},
	{"Accept-Charset", usualText, "utf-8"},
	{"Accept-Ranges", usualText, "bytes"},
	{"Age", noUsualValue, ""},
	{"Allow", noUsualValue, ""},
	{"ETag", noUsualValue, ""},
	{"Etag", noUsualValue, ""},
	{"Expires", noUsualValue, ""},
	{"Forwarded", noUsualValue, ""},
	{"From", noUsualValue, ""},
	{"If-Match", noUsualValue, ""},
	{"If-Modified-Since", noUsualValue, ""},
	{"If-None-Match", noUsualValue, ""},
	{"If-Range", noUsualValue, ""},
	{"If-Unmodified-Since", noUsualValue, ""},
	{"Last-Modified", noUsualValue, ""},
	{"Link", noUsualValue, ""},
	{"Location", noUsualValue, ""},
	{"Origin", noUsualValue, ""},
	{"Range", noUsualValue, ""},
	{"Referer", noUsualValue, ""},
	{"Retry-After", usualText, "1"},
	{"Vary", usualText, "Accept-Encoding"},
	{"Via", noUsualValue, ""},
	{"Warning", noUsualValue, ""},
	{"Www-Authenticate", noUsualValue, ""},
	{"X-Forwarded-For", noUsualValue, ""},
	{"X-Forwarded-Host", noUsualValue, ""},
	{"X-Forwarded-Proto", usualText, "https"},
	{"X-Real-Ip", noUsualValue, ""},
	{"X-Request-Id", usualID, ""},
	{"Idempotency-Key", usualID, ""},
	{"Access-Control-Allow-Origin", usualText, "*"},
	{"Strict-Transport-Security", noUsualValue, ""},
	{"X-Content-Type-Options", usualText, "nosniff"},
}

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

var (
	nameIndex  = indexNames()
	valueIndex = indexValues()
)

func indexNames() map[string]int {
	index := make(map[string]int, len(names))
	for i, n := range names {
		index[n.name] = i
	}
	return index
}

func indexValues() map[string]int {
	index := make(map[string]int, len(values))
	for i, v := range values {
		index[v] = i
	}
	return index
}

// usualValue returns the usual value of a name in the table, and false if it has none.
func (k Known) usualValue(n *tableName) (string, bool) {
	switch n.source {
	case usualText:
		return n.usual, true
	case usualID:
		return k.ID, k.ID != ""
	case usualKey:
		return k.Key, k.Key != ""
	case usualRecent:
		return k.Recent[RecentAgent], k.Recent[RecentAgent] != ""
	default:
		return "", false
	}
}
