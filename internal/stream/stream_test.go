package stream

import (
	"testing"

	"heatherreel/internal/request"
)

// Guards against more bodies in progress than the limit, a slot that is not returned, and roles that share their slots.
func TestSlotsOfEachRole(t *testing.T) {
	s := NewSlots(2)
	for _, r := range []Role{Ingress, Owner} {
		if first, second, third := s.Take(r), s.Take(r), s.Take(r); first != "" || second != "" || third != request.LargeBodiesFull {
			t.Errorf("%v: three bodies got %q, %q and %q", r, first, second, third)
		}
		s.Return(r)
		if reason := s.Take(r); reason != "" {
			t.Errorf("%v: no slot after one was returned: %q", r, reason)
		}
	}
}

// Guards against bodies that are streamed although the setting forbids it, and against a 413 for a request that another node
// could run.
func TestNoSlots(t *testing.T) {
	s := NewSlots(0)
	if in, run := s.Take(Ingress), s.Take(Owner); in != request.TooLarge || run != request.LargeBodiesFull {
		t.Errorf("without slots: ingress %q, owner %q", in, run)
	}
}

// Guards against a request that runs twice, or whose second send lacks the begin of the body.
func TestMayRepeat(t *testing.T) {
	for _, c := range []struct {
		outcome     request.Outcome
		begun, want bool
	}{
		{request.NotRun, false, true}, {request.NotRun, true, false}, {request.Unknown, false, false}, {request.Unknown, true, false},
		{request.Done, false, false},
	} {
		if got := MayRepeat(c.outcome, c.begun); got != c.want {
			t.Errorf("outcome %v, begun %v: %v", c.outcome, c.begun, got)
		}
	}
}
