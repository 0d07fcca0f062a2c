package httpwire

import (
	"net/url"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"heatherreel/internal/problem"
)

// Guards against a key that changes between escaping and unescaping, or that takes more than one path segment.
func TestKeyRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		key := rapid.OneOf(rapid.String(), rapid.StringMatching(`[./%+ ?#]{1,8}`)).Draw(t, "key")
		if key == "" || len(key) > MaxKeyBytes {
			t.Skip()
		}
		segment := EscapeKey(key)
		if strings.ContainsAny(segment, "/?#") || segment == "." || segment == ".." {
			t.Fatalf("segment %q", segment)
		}
		u, err := url.Parse("http://127.0.0.1/keys/" + segment)
		if err != nil || u.EscapedPath() != "/keys/"+segment {
			t.Fatalf("path %q, error %v", u.EscapedPath(), err)
		}
		if got, err := UnescapeKey(segment); err != nil || got != key {
			t.Fatalf("key %q, error %v", got, err)
		}
	})
}

// Guards against accepting keys that other encodings, such as JSON, cannot represent, and keys over the limit.
func TestBadKeys(t *testing.T) {
	for segment, kind := range map[string]error{
		"": problem.Malformed, "%zz": problem.Malformed, "%ff": problem.Malformed,
		strings.Repeat("k", MaxKeyBytes+1): problem.TooLarge,
	} {
		if _, err := UnescapeKey(segment); problem.KindOf(err) != kind {
			t.Errorf("%.10q: error %v, want %v", segment, err, kind)
		}
	}
}
