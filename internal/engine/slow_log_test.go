package engine

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"heatherreel/internal/fake"
	"heatherreel/internal/ledger"
	"heatherreel/internal/platformlog"
)

// slowUploadLog is a log behind a link on which a record takes uploadTime.
type slowUploadLog struct {
	platformlog.Log
	uploadTime time.Duration
	appends    atomic.Int32
}

func (l *slowUploadLog) Append(ctx context.Context, r *ledger.Record) (ledger.Offset, error) {
	l.appends.Add(1)
	if !sleep(ctx, l.uploadTime) {
		return 0, ctx.Err()
	}
	return l.Log.Append(ctx, r)
}

// Guards against a record that is given up and sent again while it is on a slow link, so that its copies keep the link
// full and none arrives.
func TestSlowAppendIsNotRepeated(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		stored := fake.NewLog()
		log := &slowUploadLog{Log: stored, uploadTime: 4 * time.Second}
		e := newUnstartedEngine(t, log)
		defer e.Close()
		e.propose(&proposal{
			purpose: purposeLeave,
			record:  &ledger.Record{Kind: ledger.KindLeave, ID: "r", Leave: &ledger.Leave{Incarnation: 7}},
			done:    func(ledger.Offset, ledger.Rejection) {},
		})
		<-time.After(5 * time.Second)
		if n := log.appends.Load(); n != 1 || stored.Len() != 1 {
			t.Errorf("the record was sent %d times and stored %d times within 5 s, want once", n, stored.Len())
		}
	})
}
