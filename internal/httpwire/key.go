package httpwire

import (
	"net/url"
	"unicode/utf8"

	"heatherreel/internal/problem"
)

// MaxKeyBytes is the maximum length of a decoded key. Percent-encoding at most triples it, which keeps the request line
// below the 8 KiB that common HTTP servers accept.
const MaxKeyBytes = 1024

// EscapeKey returns key percent-encoded as one path segment.
func EscapeKey(key string) string {
	// url.PathEscape does not escape dots, and servers that clean paths would remove the segments "." and "..".
	switch key {
	case ".":
		return "%2E"
	case "..":
		return "%2E%2E"
	}
	return url.PathEscape(key)
}

// UnescapeKey decodes a path segment to a key. It returns a problem.Malformed error for an invalid escape, an empty key
// or one that is not UTF-8, and a problem.TooLarge error for one over MaxKeyBytes.
func UnescapeKey(segment string) (string, error) {
	key, err := url.PathUnescape(segment)
	if err != nil {
		return "", problem.New(problem.Malformed, "percent-encode the key as one path segment", "bad escape in the key")
	}
	if len(key) > MaxKeyBytes {
		return "", problem.New(problem.TooLarge, "use a shorter key", "the key has %d bytes, the limit is %d", len(key), MaxKeyBytes)
	}
	if key == "" || !utf8.ValidString(key) {
		return "", problem.New(problem.Malformed, "send a key of UTF-8 text", "the key is empty or not UTF-8")
	}
	return key, nil
}
