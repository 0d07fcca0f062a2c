package lease

import (
	"time"

	"heatherreel/internal/ledger"
)

// SetSendTime replaces the recorded send time of a renewal. It injects the bug of counting an answer from its receipt.
func (h *Holder) SetSendTime(witness ledger.Incarnation, sequence uint64, at time.Time) {
	w := h.witnessState(witness)
	if w == nil {
		return
	}
	for i := range w.sentRenewals {
		if w.sentRenewals[i].sequence == sequence {
			w.sentRenewals[i].at = at
		}
	}
}

// ClearPromise deletes a promise of the witness. It injects the bug of granting renewals after a promise.
func (w *Witness) ClearPromise(holder ledger.Incarnation) {
	if held := w.holders[holder]; held != nil {
		held.promised = false
	}
}
