package wirefields

import (
	"fmt"
	"hash/fnv"
	"testing"
)

// Guards against a changed table: a node of another version would read other header fields than were sent. A table that
// has to change needs another name of the call.
func TestTablesAreUnchanged(t *testing.T) {
	const want = "f7fe62a1662bb049"
	hash := fnv.New64a()
	fmt.Fprintf(hash, "%+v %q", names, values)
	if got := fmt.Sprintf("%x", hash.Sum64()); got != want {
		t.Errorf("the tables have the hash %s, want %s", got, want)
	}
}

// Guards against two entries for one name or value, of which one would never be used.
func TestTableEntriesAreDistinct(t *testing.T) {
	if len(nameIndex) != len(names) || len(valueIndex) != len(values) {
		t.Errorf("%d of %d names and %d of %d values are distinct", len(nameIndex), len(names), len(valueIndex), len(values))
	}
}
