// Package lease decides who may own slices: it holds the state machines of a lease holder, of a witness that answers
// renewals, and of a claimant that ends an incarnation whose lease ran out.
//
// The types do no I/O and read no clock. Every time is a reading of the caller's own clock; only differences between
// readings of one clock are used, so clocks need not agree, but their rates may differ from true time by at most the
// drift bound. None of the types is safe for concurrent use; the table that holds one guards it.
//
// Safety rests on three inequalities. A holder counts an answer from the moment it sent the renewal, for the lease time
// shortened by the drift bound. A witness promises no earlier than the lease time, lengthened by the drift bound, after
// it answered. A claimant counts a witness that was itself ended only after the lengthened lease time since it read
// that end, and only if the end was direct (see Ended).
package lease
