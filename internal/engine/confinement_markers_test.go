package engine

import (
	"bytes"
	"encoding/base64"
	"encoding/hex"
	"encoding/json"
	"net/url"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"time"
)

// marker is a text that occurs only in requests with one home region.
type marker struct {
	homeRegion string
	// encodings are the byte sequences that represent the text in the encodings in use.
	encodings [][]byte
}

// newMarker returns a marker with all its encodings.
func newMarker(homeRegion, text string) marker {
	quoted, _ := json.Marshal(text)
	ascii := strconv.QuoteToASCII(text)
	hexDigits := hex.EncodeToString([]byte(text))
	encodings := []string{
		text, url.QueryEscape(text), url.PathEscape(text), string(quoted[1 : len(quoted)-1]), ascii[1 : len(ascii)-1],
		hexDigits, strings.ToUpper(hexDigits),
	}
	m := marker{homeRegion: homeRegion}
	for shift := range 3 {
		shifted := base64AtOffset(text, shift)
		encodings = append(encodings, shifted, strings.NewReplacer("+", "-", "/", "_").Replace(shifted))
	}
	slices.Sort(encodings)
	for _, encoding := range slices.Compact(encodings) {
		m.encodings = append(m.encodings, []byte(encoding))
	}
	return m
}

// base64AtOffset returns the base64 characters that depend on text alone when text starts offset bytes into a group of
// three bytes.
func base64AtOffset(text string, offset int) string {
	padded := append(make([]byte, offset), text...)
	encoded := base64.StdEncoding.EncodeToString(padded[:len(padded)/3*3])
	// The first characters also encode bits of the bytes before the text.
	return encoded[(offset*8+5)/6:]
}

// occursIn reports whether the bytes contain the marker.
func (m marker) occursIn(p []byte) bool {
	for _, encoding := range m.encodings {
		if bytes.Contains(p, encoding) {
			return true
		}
	}
	return false
}

// byteWalker visits all strings and byte sequences in a value, including those in unexported fields.
type byteWalker struct {
	seen  map[uintptr]bool
	visit func([]byte)
}

// visitBytes calls visit for each string and byte sequence in v.
func visitBytes(v any, visit func([]byte)) {
	w := byteWalker{seen: map[uintptr]bool{}, visit: visit}
	w.walk(reflect.ValueOf(v))
}

func (w byteWalker) walk(v reflect.Value) {
	switch v.Kind() {
	case reflect.String:
		w.visit([]byte(v.String()))
	case reflect.Pointer:
		if !v.IsNil() && !w.seen[v.Pointer()] {
			w.seen[v.Pointer()] = true
			w.walk(v.Elem())
		}
	case reflect.Interface:
		w.walk(v.Elem())
	case reflect.Struct:
		w.walkStruct(v)
	case reflect.Map:
		for pairs := v.MapRange(); pairs.Next(); {
			w.walk(pairs.Key())
			w.walk(pairs.Value())
		}
	case reflect.Slice, reflect.Array:
		w.walkList(v)
	}
}

func (w byteWalker) walkStruct(v reflect.Value) {
	if v.Type() == reflect.TypeFor[time.Time]() {
		return
	}
	for i := range v.NumField() {
		w.walk(v.Field(i))
	}
}

func (w byteWalker) walkList(v reflect.Value) {
	if v.Type().Elem().Kind() != reflect.Uint8 {
		for i := range v.Len() {
			w.walk(v.Index(i))
		}
		return
	}
	p := make([]byte, v.Len())
	for i := range p {
		p[i] = byte(v.Index(i).Uint())
	}
	w.visit(p)
}
