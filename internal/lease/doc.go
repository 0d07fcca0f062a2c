// Package lease implements the lease protocol that decides which incarnation may own slices. It contains the state
// machines of three roles: the holder of a lease, a witness that answers renewals, and a claimant that ends an
// incarnation whose lease expired.
//
// A holder derives two leases from the answers to its renewals. Its first-level lease is valid while a majority of its
// witnesses has answered within the lease time. A witness marks an answer if its own first-level lease is valid when it
// answers. The holder owns its slices while a majority of its witnesses has given marked answers within the lease time.
// While a change of its witness set may be in force without the holder having read it, both conditions must also be met
// for the new set. A holder without witnesses renews its lease by records in the log.
//
// The types do no I/O and read no clock. Every time is a reading of the caller's own clock. Only differences between
// readings of one clock are used, so clocks need not be synchronized, but the rate of each may differ from true time by
// at most the drift bound. None of the types is safe for concurrent use; callers must serialize access.
//
// Safety depends on three rules:
//   - A holder counts an answer from the time it sent the renewal, for the lease time minus the drift bound.
//   - A witness makes a promise no earlier than the lease time plus the drift bound after its last answer.
//   - A claimant counts a witness that was itself ended only after the lease time plus the drift bound since it read
//     that end, and only if the end was direct (see Ended).
package lease
