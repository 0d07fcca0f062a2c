package wirefields

import "testing"

// Guards against two entries for one name or value, of which one would never be used.
func TestTableEntriesAreDistinct(t *testing.T) {
	table := NewTable(nil)
	if len(table.nameIndex) != len(table.names) || len(table.valueIndex) != len(values) {
		t.Errorf("%d of %d names and %d of %d values are distinct", len(table.nameIndex), len(table.names), len(table.valueIndex), len(values))
	}
}
