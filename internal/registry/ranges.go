package registry

import (
	"fmt"
	"strconv"
	"strings"

	"heatherreel/internal/keyrange"
	"heatherreel/internal/problem"
)

// storedRanges is the stored form of a table. It is compact, because all nodes read each change, some of them over
// links between regions: each owner is listed once, a range starts after the one before, and its trailing empty fields
// are omitted. Most ranges take 10 to 15 bytes.
type storedRanges struct {
	Service       string                        `json:"service"`
	LastFence     uint64                        `json:"last_fence"`
	Owners        []keyrange.Owner              `json:"owners,omitempty"`
	Ranges        string                        `json:"ranges,omitempty"`
	Suspicions    map[string]keyrange.Suspicion `json:"suspicions,omitempty"`
	LastSuspicion uint64                        `json:"last_suspicion,omitempty"`
	Lost          map[string]bool               `json:"lost,omitempty"`
}

// Format of the stored ranges. Each has the fields last key, fence, owner, next owner and handover token. Owners are
// indexes into storedRanges.Owners; an empty field stands for none.
const (
	rangeSeparator = ";"
	fieldSeparator = ","
	maxRangeFields = 5
)

// EncodeRanges returns the record of a table.
func EncodeRanges(t *keyrange.Table) (Record, error) {
	s := storedRanges{Service: t.Service, LastFence: t.LastFence, Suspicions: t.Suspicions, LastSuspicion: t.LastSuspicion, Lost: t.Lost}
	indexes := map[keyrange.Owner]int{}
	index := func(o keyrange.Owner) string {
		if (o == keyrange.Owner{}) {
			return ""
		}
		i, known := indexes[o]
		if !known {
			i = len(s.Owners)
			indexes[o] = i
			s.Owners = append(s.Owners, o)
		}
		return strconv.Itoa(i)
	}
	rows := make([]string, len(t.Ranges))
	for i, r := range t.Ranges {
		row := strings.Join([]string{strconv.Itoa(int(r.To)), strconv.FormatUint(r.Fence, 10),
			index(r.Owner), index(keyrange.Owner{Instance: r.Next}), r.HandoverToken}, fieldSeparator)
		rows[i] = strings.TrimRight(row, fieldSeparator)
	}
	s.Ranges = strings.Join(rows, rangeSeparator)
	return encode(t.Service, s)
}

// maxFence is the largest integer that every JSON reader decodes exactly, and far above the fences of any service.
const maxFence = 1<<53 - 1

// DecodeRanges decodes the table of a record. It returns a problem.Malformed error if the record is not valid.
func DecodeRanges(r Record) (*keyrange.Table, error) {
	var s storedRanges
	if err := decode(r, &s); err != nil {
		return nil, err
	}
	if s.Service != r.Key {
		return nil, problem.New(problem.Malformed, writerRemedy, "ranges record %q is of another service", r.Key)
	}
	if s.LastFence > maxFence || s.LastSuspicion > maxFence {
		return nil, problem.New(problem.Malformed, writerRemedy, "ranges record %q: fence %d or suspicion %d is too large", r.Key, s.LastFence, s.LastSuspicion)
	}
	t := &keyrange.Table{Service: s.Service, LastFence: s.LastFence, Suspicions: s.Suspicions, LastSuspicion: s.LastSuspicion, Lost: s.Lost}
	if t.Suspicions == nil {
		t.Suspicions = map[string]keyrange.Suspicion{}
	}
	if t.Lost == nil {
		t.Lost = map[string]bool{}
	}
	if s.Ranges == "" {
		return t, nil
	}
	next := 0
	for _, row := range strings.Split(s.Ranges, rangeSeparator) {
		decoded, err := decodeRange(row, s.Owners)
		switch {
		case err != nil:
		case int(decoded.To) < next:
			err = fmt.Errorf("range ends before its first key %d", next)
		case decoded.Fence > s.LastFence:
			err = fmt.Errorf("fence %d is above the last one, %d", decoded.Fence, s.LastFence)
		}
		if err != nil {
			return nil, problem.New(problem.Malformed, writerRemedy, "range %q of record %q: %w", row, r.Key, err)
		}
		decoded.From = uint16(next)
		next = int(decoded.To) + 1
		t.Ranges = append(t.Ranges, decoded)
	}
	if next != keyrange.KeyCount {
		return nil, problem.New(problem.Malformed, writerRemedy, "ranges record %q does not cover the keys from %d on", r.Key, next)
	}
	return t, nil
}

// minRangeFields is the number of fields of a range without an owner: its last key and its fence.
const minRangeFields = 2

// decodeRange decodes one range. It does not set the first key, which follows from the range before.
func decodeRange(row string, owners []keyrange.Owner) (keyrange.Range, error) {
	fields := strings.SplitN(row, fieldSeparator, maxRangeFields)
	if len(fields) < minRangeFields {
		return keyrange.Range{}, fmt.Errorf("too few fields: %d", len(fields))
	}
	fields = append(fields, make([]string, maxRangeFields-len(fields))...)
	to, err := strconv.ParseUint(fields[0], 10, 16)
	if err != nil {
		return keyrange.Range{}, err
	}
	fence, err := strconv.ParseUint(fields[1], 10, 64)
	if err != nil {
		return keyrange.Range{}, err
	}
	owner, err := ownerAt(fields[2], owners)
	if err != nil {
		return keyrange.Range{}, err
	}
	next, err := ownerAt(fields[3], owners)
	return keyrange.Range{To: uint16(to), Fence: fence, Owner: owner, Next: next.Instance, HandoverToken: fields[4]}, err
}

// ownerAt returns the owner with the index, or the zero value for an empty index.
func ownerAt(index string, owners []keyrange.Owner) (keyrange.Owner, error) {
	if index == "" {
		return keyrange.Owner{}, nil
	}
	i, err := strconv.Atoi(index)
	if err != nil || i < 0 || i >= len(owners) {
		return keyrange.Owner{}, fmt.Errorf("invalid owner index %q with %d owners", index, len(owners))
	}
	return owners[i], nil
}
