package lease

import (
	"time"

	"heatherreel/internal/ledger"
)

// SetSendTime replaces the remembered send time of a renewal, for the slip that counts from the receipt of an answer.
func (h *Holder) SetSendTime(witness ledger.Incarnation, sequence uint64, at time.Time) {
	l := h.link(witness)
	if l == nil {
		return
	}
	for i := range l.sends {
		if l.sends[i].sequence == sequence {
			l.sends[i].at = at
		}
	}
}

// ClearPromise makes the witness forget a promise, for the slip of a witness that renews after it promised.
func (w *Witness) ClearPromise(holder ledger.Incarnation) {
	if held := w.holders[holder]; held != nil {
		held.promised = false
	}
}
