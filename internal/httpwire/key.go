package httpwire

import (
	"net/url"
	"unicode/utf8"

	"heatherreel/internal/problem"
)

// MaxKeyBytes bounds a decoded key. It keeps the request line, at most three times as long when escaped, below the
// 8 KiB that common HTTP servers accept.
const MaxKeyBytes = 1024

// EscapeKey returns key as one path segment.
func EscapeKey(key string) string {
	// url.PathEscape leaves dots; servers that clean paths would drop these two segments.
	switch key {
	case ".":
		return "%2E"
	case "..":
		return "%2E%2E"
	}
	return url.PathEscape(key)
}

// UnescapeKey returns the key that a path segment stands for. It returns a problem.Malformed error for a bad escape,
// an empty key or one that is not UTF-8, and problem.TooLarge for one over MaxKeyBytes.
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
