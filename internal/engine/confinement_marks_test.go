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

// mark is a text or a byte sequence that only requests with one home region carry.
type mark struct {
	home string
	// forms are the encodings in which the mark may appear.
	forms [][]byte
}

// newMark returns a mark in all its encodings.
func newMark(home, text string) mark {
	quoted, _ := json.Marshal(text)
	ascii := strconv.QuoteToASCII(text)
	digits := hex.EncodeToString([]byte(text))
	forms := []string{
		text, url.QueryEscape(text), url.PathEscape(text), string(quoted[1 : len(quoted)-1]), ascii[1 : len(ascii)-1],
		digits, strings.ToUpper(digits),
	}
	m := mark{home: home}
	for shift := range 3 {
		core := base64Core(text, shift)
		forms = append(forms, core, strings.NewReplacer("+", "-", "/", "_").Replace(core))
	}
	slices.Sort(forms)
	for _, form := range slices.Compact(forms) {
		m.forms = append(m.forms, []byte(form))
	}
	return m
}

// base64Core returns the characters that encode text alone when shift bytes of the same group come before it.
func base64Core(text string, shift int) string {
	whole := append(make([]byte, shift), text...)
	encoded := base64.StdEncoding.EncodeToString(whole[:len(whole)/3*3])
	// The first characters also hold bits of the bytes before the text.
	return encoded[(shift*8+5)/6:]
}

// in reports whether the bytes hold the mark.
func (m mark) in(p []byte) bool {
	for _, form := range m.forms {
		if bytes.Contains(p, form) {
			return true
		}
	}
	return false
}

// walker visits all strings and byte sequences in a value, with those in unexported fields.
type walker struct {
	seen  map[uintptr]bool
	visit func([]byte)
}

// leaves calls visit with all strings and byte sequences in v.
func leaves(v any, visit func([]byte)) {
	w := walker{seen: map[uintptr]bool{}, visit: visit}
	w.walk(reflect.ValueOf(v))
}

func (w walker) walk(v reflect.Value) {
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

func (w walker) walkStruct(v reflect.Value) {
	if v.Type() == reflect.TypeFor[time.Time]() {
		return
	}
	for i := range v.NumField() {
		w.walk(v.Field(i))
	}
}

func (w walker) walkList(v reflect.Value) {
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
