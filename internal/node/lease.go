package node

import (
	"time"

	"heatherreel/internal/lease"
	"heatherreel/internal/ledger"
	"heatherreel/internal/node/nodepb"
)

// LeaseMessage is one message of the lease protocol; exactly one field is set.
type LeaseMessage struct {
	Renewal        *lease.Renewal
	RenewalAnswer  *lease.RenewalAnswer
	PromiseRequest *lease.PromiseRequest
	PromiseAnswer  *lease.PromiseAnswer
}

// LeaseSender sends lease messages. A lost message is not reported.
type LeaseSender interface {
	SendLeaseMessage(address string, m LeaseMessage) error
}

var _ LeaseSender = (*LeaseSocket)(nil)

// SendLeaseMessage implements LeaseSender.
func (s *LeaseSocket) SendLeaseMessage(address string, m LeaseMessage) error {
	return s.send(address, encodeLeaseMessage(m))
}

// encodeLeaseMessage returns the datagram for a message.
func encodeLeaseMessage(m LeaseMessage) *nodepb.LeaseDatagram {
	switch {
	case m.Renewal != nil:
		return &nodepb.LeaseDatagram{Message: &nodepb.LeaseDatagram_Renewal{Renewal: &nodepb.Renewal{
			Holder:     uint64(m.Renewal.Holder),
			SetVersion: uint64(m.Renewal.SetVersion),
			Sequence:   m.Renewal.Sequence,
			Witness:    uint64(m.Renewal.Witness),
		}}}
	case m.RenewalAnswer != nil:
		return &nodepb.LeaseDatagram{Message: &nodepb.LeaseDatagram_RenewalAnswer{RenewalAnswer: &nodepb.RenewalAnswer{
			Holder:       uint64(m.RenewalAnswer.Holder),
			Witness:      uint64(m.RenewalAnswer.Witness),
			SetVersion:   uint64(m.RenewalAnswer.SetVersion),
			Sequence:     m.RenewalAnswer.Sequence,
			Refused:      m.RenewalAnswer.Refused,
			Marked:       m.RenewalAnswer.Marked,
			LedgerOffset: uint64(m.RenewalAnswer.LedgerOffset),
		}}}
	case m.PromiseRequest != nil:
		return &nodepb.LeaseDatagram{Message: &nodepb.LeaseDatagram_PromiseRequest{PromiseRequest: &nodepb.PromiseRequest{
			Holder:     uint64(m.PromiseRequest.Holder),
			SetVersion: uint64(m.PromiseRequest.SetVersion),
			Claimant:   uint64(m.PromiseRequest.Claimant),
			Witness:    uint64(m.PromiseRequest.Witness),
		}}}
	case m.PromiseAnswer != nil:
		return &nodepb.LeaseDatagram{Message: &nodepb.LeaseDatagram_PromiseAnswer{PromiseAnswer: &nodepb.PromiseAnswer{
			Holder:     uint64(m.PromiseAnswer.Holder),
			SetVersion: uint64(m.PromiseAnswer.SetVersion),
			Claimant:   uint64(m.PromiseAnswer.Claimant),
			Witness:    uint64(m.PromiseAnswer.Witness),
			Granted:    m.PromiseAnswer.Granted,
			WaitMs:     waitMilliseconds(m.PromiseAnswer.Wait),
		}}}
	}
	return &nodepb.LeaseDatagram{}
}

// waitMilliseconds rounds up, so that a claimant does not repeat its request too early.
func waitMilliseconds(wait time.Duration) uint64 {
	return uint64((wait + time.Millisecond - 1) / time.Millisecond)
}

// decodeLeaseMessage returns the message in a datagram. ok is false if there is none.
func decodeLeaseMessage(d *nodepb.LeaseDatagram) (m LeaseMessage, ok bool) {
	switch {
	case d.GetRenewal() != nil:
		r := d.GetRenewal()
		m.Renewal = &lease.Renewal{
			Holder:     ledger.Incarnation(r.Holder),
			SetVersion: ledger.Offset(r.SetVersion),
			Sequence:   r.Sequence,
			Witness:    ledger.Incarnation(r.Witness),
		}
	case d.GetRenewalAnswer() != nil:
		a := d.GetRenewalAnswer()
		m.RenewalAnswer = &lease.RenewalAnswer{
			Holder:       ledger.Incarnation(a.Holder),
			Witness:      ledger.Incarnation(a.Witness),
			SetVersion:   ledger.Offset(a.SetVersion),
			Sequence:     a.Sequence,
			Refused:      a.Refused,
			Marked:       a.Marked,
			LedgerOffset: ledger.Offset(a.LedgerOffset),
		}
	case d.GetPromiseRequest() != nil:
		r := d.GetPromiseRequest()
		m.PromiseRequest = &lease.PromiseRequest{
			Holder:     ledger.Incarnation(r.Holder),
			SetVersion: ledger.Offset(r.SetVersion),
			Claimant:   ledger.Incarnation(r.Claimant),
			Witness:    ledger.Incarnation(r.Witness),
		}
	case d.GetPromiseAnswer() != nil:
		a := d.GetPromiseAnswer()
		m.PromiseAnswer = &lease.PromiseAnswer{
			Holder:     ledger.Incarnation(a.Holder),
			SetVersion: ledger.Offset(a.SetVersion),
			Claimant:   ledger.Incarnation(a.Claimant),
			Witness:    ledger.Incarnation(a.Witness),
			Granted:    a.Granted,
			Wait:       time.Duration(a.WaitMs) * time.Millisecond,
		}
	default:
		return m, false
	}
	return m, true
}
