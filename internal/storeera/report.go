package storeera

import "slices"

// Report is the answer of a node that is asked about earlier eras. The zero value is that of a node that has seen no
// rollback, or runs an earlier version; it states nothing.
type Report struct {
	// Era is the highest era that the node has seen.
	Era uint64
	// Revision is the highest revision of a configuration that the node knows of in any era; 0 if it knows none.
	Revision uint64
	// NoRanges is set if the node knows no table of its service in any era, and no key of its backend server can be granted
	// by an earlier process of the node.
	NoRanges bool
	// Settled is set if the node has seen the era for RevisionDoubtPeriod.
	Settled bool
}

// Witness is a member that may be asked for its Report.
type Witness struct {
	Instance, Region string
}

// NoRangesConfirmed reports whether all members of a service that were asked in an era have answered that they know no
// table of it.
func NoRangesConfirmed(era uint64, asked []Witness, answers map[string]Report) bool {
	return !slices.ContainsFunc(asked, func(w Witness) bool {
		r := answers[w.Instance]
		return !r.NoRanges || r.Era < era
	})
}
