// Package wirefields packs the texts and header fields of requests and answers into few bytes for messages between nodes,
// and reads them. It changes nothing: the order, the repetition and all bytes of names and values are kept.
//
// A sequence may refer to texts of the sequence before it on the same connection. Both ends then keep Recent, and use a
// sequence only if the one before it has arrived.
//
// A packed sequence consists of texts and lists of header fields that are read in the order in which they were written.
//
// A text begins with a varint (as in protocol buffers). Its lowest 3 bits are the kind, and the others the argument:
//
//	kind 0: literal; the argument is the number of bytes that follow.
//	kind 1: the argument is the index of the text in the table.
//	kind 2: a text that the reader knows: 0 is the id of the request, 1 is its key, 2 is the recent text of the slot.
//	kind 3: groups of lower-case hexadecimal digits separated by dots; the argument is the number of bytes that follow.
//	kind 4: the same, separated by hyphens.
//
// Each group consists of half a byte for its number of digits (1 to 14; 15 stands for 16, and 0 for 32) and half a byte for
// each digit. The higher half of a byte comes first. A last half that is not used is 0.
//
// A list of fields begins with a varint, the number of fields. Each field begins with a varint. It is 0 if the name follows
// as a varint with its length and its bytes. Otherwise the number without its lowest bit is the index of the name in the
// table plus one; if the lowest bit is set, the field has the usual value of that name, which does not follow.
package wirefields

import (
	"encoding/binary"
	"fmt"
	"strings"

	"heatherreel/internal/problem"
	"heatherreel/internal/routed"
)

// Limits of a packed sequence.
const (
	// MaxSize is the maximum size of a packed sequence. Larger heads do not occur with the limits of callers.
	MaxSize = 1 << 20
	// MaxFields is the maximum number of fields in one list. A field of one byte takes 32 bytes of memory once it is read,
	// so that the size of a sequence alone does not bound its memory.
	MaxFields = 4096
)

// Kinds of texts.
const (
	kindLiteral = iota
	kindTable
	kindKnown
	kindDotted
	kindHyphenated
	kindBits = 3
)

// Known texts.
const (
	knownID = iota
	knownKey
	knownRecent
)

// Slots of texts that are often the same in successive sequences on a connection.
const (
	RecentHost = iota
	RecentOriginService
	RecentService
	RecentRoute
	RecentRegions
	// RecentAgent is the slot of the field User-Agent.
	RecentAgent
	RecentInstance
	slots
)

// noSlot is for texts that have no slot.
const noSlot = -1

// maxRecent is the maximum length of a text that is kept. It bounds the memory of a connection.
const maxRecent = 64

// Recent are the last texts of each slot on a connection in one direction; an empty one is unknown.
type Recent [slots]string

// keep replaces the text of a slot.
func (r *Recent) keep(slot int, s string) {
	if len(s) <= maxRecent && s != r[slot] {
		r[slot] = strings.Clone(s)
	}
}

// Known are texts that both ends know; an empty one is unknown. Texts equal to them are replaced by references.
type Known struct {
	ID     string
	Key    string
	Recent Recent
}

// Writer packs texts and header fields.
type Writer struct {
	// Known are the texts that the reader knows when it reads what is written next.
	Known  Known
	table  *Table
	packed []byte
	over   bool
	next   Recent
}

// NewWriter returns a writer with room for size bytes.
func (t *Table) NewWriter(size int, known Known) *Writer {
	return &Writer{table: t, Known: known, packed: make([]byte, 0, size), next: known.Recent}
}

// Recent returns the texts that the next sequence on the connection may refer to.
func (w *Writer) Recent() Recent { return w.next }

// Bytes returns the packed sequence, and false if it exceeds a limit and no reader would accept it.
func (w *Writer) Bytes() ([]byte, bool) { return w.packed, !w.over && len(w.packed) <= MaxSize }

// Text adds a text.
func (w *Writer) Text(s string) {
	switch {
	case s == "":
		w.head(kindLiteral, 0)
		return
	case s == w.Known.ID:
		w.head(kindKnown, knownID)
		return
	case s == w.Known.Key:
		w.head(kindKnown, knownKey)
		return
	}
	if i, ok := w.table.valueIndex[s]; ok {
		w.head(kindTable, i)
		return
	}
	if kind, size, ok := groupsSize(s); ok && size < len(s) {
		w.head(kind, size)
		w.groups(s)
		return
	}
	w.head(kindLiteral, len(s))
	w.packed = append(w.packed, s...)
}

// Slot adds a text that has a slot.
func (w *Writer) Slot(slot int, s string) {
	if s != "" && s == w.Known.Recent[slot] {
		w.head(kindKnown, knownRecent)
	} else {
		w.Text(s)
	}
	w.next.keep(slot, s)
}

// Fields adds a list of header fields.
func (w *Writer) Fields(fields []routed.Field) {
	if len(fields) > MaxFields {
		w.over = true
		return
	}
	w.packed = binary.AppendUvarint(w.packed, uint64(len(fields)))
	for _, f := range fields {
		w.field(f)
	}
}

func (w *Writer) field(f routed.Field) {
	i, ok := w.table.nameIndex[f.Name]
	if !ok {
		w.packed = binary.AppendUvarint(append(w.packed, 0), uint64(len(f.Name)))
		w.packed = append(w.packed, f.Name...)
		w.Text(f.Value)
		return
	}
	entry := &w.table.names[i]
	if entry.Usual == usualAgent {
		w.next.keep(RecentAgent, f.Value)
	}
	code := uint64(i+1) << 1
	if usual, ok := w.Known.usualValue(entry); ok && usual == f.Value {
		w.packed = binary.AppendUvarint(w.packed, code|1)
		return
	}
	w.packed = binary.AppendUvarint(w.packed, code)
	w.Text(f.Value)
}

func (w *Writer) head(kind, argument int) {
	w.packed = binary.AppendUvarint(w.packed, uint64(argument)<<kindBits|uint64(kind))
}

// Reader reads a packed sequence. After the first error, the texts are empty and Close returns the error.
type Reader struct {
	// Known are the texts to which the following references refer.
	Known  Known
	table  *Table
	packed string
	err    error
	next   Recent
}

// NewReader returns a reader of a packed sequence, which it copies.
func (t *Table) NewReader(packed []byte, known Known) *Reader {
	r := &Reader{table: t, Known: known, next: known.Recent}
	if len(packed) > MaxSize {
		r.fail("%d bytes, maximum %d", len(packed), MaxSize)
		return r
	}
	r.packed = string(packed)
	return r
}

// Recent returns the texts that the next sequence on the connection may refer to.
func (r *Reader) Recent() Recent { return r.next }

// Close returns the first error. It is problem.Malformed if the sequence is malformed or has bytes that were not read.
func (r *Reader) Close() error {
	if len(r.packed) > 0 {
		r.fail("%d bytes too many", len(r.packed))
	}
	return r.err
}

// More reports whether the sequence goes on.
func (r *Reader) More() bool { return len(r.packed) > 0 }

// Text reads a text.
func (r *Reader) Text() string { return r.text(noSlot) }

// Slot reads a text that has a slot. Callers may keep it for long, as it shares no memory with the sequence unless it is too
// long to be referred to.
func (r *Reader) Slot(slot int) string {
	s := r.text(slot)
	r.next.keep(slot, s)
	if s == r.next[slot] {
		return r.next[slot]
	}
	return s
}

func (r *Reader) text(slot int) string {
	head := r.varint()
	argument := head >> kindBits
	switch head & (1<<kindBits - 1) {
	case kindLiteral:
		return r.take(argument)
	case kindTable:
		if argument < uint64(len(values)) {
			return values[argument]
		}
	case kindKnown:
		if argument == knownID && r.Known.ID != "" {
			return r.Known.ID
		}
		if argument == knownKey && r.Known.Key != "" {
			return r.Known.Key
		}
		if argument == knownRecent && slot != noSlot && r.Known.Recent[slot] != "" {
			return r.Known.Recent[slot]
		}
	case kindDotted:
		return r.groups(r.take(argument), '.')
	case kindHyphenated:
		return r.groups(r.take(argument), '-')
	}
	r.fail("unknown text %d", head)
	return ""
}

// Fields reads a list of header fields.
func (r *Reader) Fields() []routed.Field {
	count := r.varint()
	// Each field takes at least a byte.
	if count > MaxFields || count > uint64(len(r.packed)) {
		r.fail("%d fields in %d bytes", count, len(r.packed))
		return nil
	}
	fields := make([]routed.Field, count)
	for i := range fields {
		fields[i] = r.field()
		if r.err != nil {
			return nil
		}
	}
	return fields
}

func (r *Reader) field() routed.Field {
	code := r.varint()
	if code == 0 {
		name := r.take(r.varint())
		return routed.Field{Name: name, Value: r.Text()}
	}
	index := code>>1 - 1
	if index >= uint64(len(r.table.names)) {
		r.fail("unknown name %d", code)
		return routed.Field{}
	}
	entry := &r.table.names[index]
	var value string
	if code&1 == 0 {
		value = r.Text()
	} else {
		usual, ok := r.Known.usualValue(entry)
		if !ok {
			r.fail("%s has no usual value", entry.Name)
		}
		value = usual
	}
	if entry.Usual == usualAgent {
		r.next.keep(RecentAgent, value)
	}
	return routed.Field{Name: entry.Name, Value: value}
}

// take returns the next n bytes.
func (r *Reader) take(n uint64) string {
	if n > uint64(len(r.packed)) {
		r.fail("a length of %d with %d bytes left", n, len(r.packed))
		return ""
	}
	taken := r.packed[:n]
	r.packed = r.packed[n:]
	return taken
}

func (r *Reader) varint() uint64 {
	var value uint64
	for i := 0; i < len(r.packed) && i < maxVarint; i++ {
		b := r.packed[i]
		value |= uint64(b&0x7f) << (7 * i)
		if b < 0x80 {
			r.packed = r.packed[i+1:]
			return value
		}
	}
	r.fail("no number at the start of %d bytes", len(r.packed))
	return 0
}

// maxVarint is the maximum number of bytes of a number in a sequence. Lengths and codes need fewer than 35 bits.
const maxVarint = 5

// fail records the first error. Nothing is read after it.
func (r *Reader) fail(format string, args ...any) {
	if r.err == nil {
		r.err = problem.New(problem.Malformed, "report this as a defect", "packed header: %s", fmt.Sprintf(format, args...))
	}
	r.packed = ""
}
