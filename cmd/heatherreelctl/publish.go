package main

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/google/uuid"
	"github.com/spf13/cobra"

	"heatherreel/internal/config"
	"heatherreel/internal/ledger"
	"heatherreel/internal/operator/publication"
	"heatherreel/internal/platformlog"
	"heatherreel/internal/problem"
)

// Parameters for reading the log.
const (
	// pageSize is the maximum number of records in the first read.
	pageSize = 1000
	// longPollWait is how long one read waits at the log for new records.
	longPollWait = 2 * time.Second
	// retryDelay is the delay before the next read after one that failed or returned no records.
	retryDelay = 200 * time.Millisecond
)

// publishCommand returns the command that publishes a configuration.
func (t *tool) publishCommand() *cobra.Command {
	c := &cobra.Command{
		Use: "publish FILE", Short: "Publish a configuration that builds on the base revision", Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			if err := requireFlags(c, "base", "note"); err != nil {
				return err
			}
			if t.flags.author == "" {
				return usageError("publish needs --author or %s", envName("author"))
			}
			return t.publishFile(c, args[0])
		},
	}
	c.Flags().Uint64Var(&t.flags.base, "base", 0, "revision that the change builds on; 0 for the first")
	c.Flags().StringVar(&t.flags.note, "note", "", "what the change is for")
	c.Flags().StringVar(&t.flags.author, "author", defaultAuthor(), "who makes the change")
	return c
}

// publishFile validates the document at path, appends it to the log, and waits until the log shows whether it took
// effect.
func (t *tool) publishFile(c *cobra.Command, path string) error {
	document, err := t.readDocument(path)
	if err != nil {
		return err
	}
	decoded, err := config.Decode(document)
	if err != nil {
		return err
	}
	warnings := decoded.Warnings()
	for _, w := range warnings {
		fmt.Fprintf(t.stderr, "warning: %s\n", w)
	}
	log, err := t.logClient(c)
	if err != nil {
		return err
	}
	ctx, cancel := t.withTimeout(c)
	defer cancel()
	record := &ledger.Record{Kind: ledger.KindConfiguration, ID: uuid.NewString(), Configuration: &ledger.Configuration{
		Base: ledger.Offset(t.flags.base), Document: string(document), Author: t.flags.author, Note: t.flags.note,
	}}
	revision, err := publishRecord(ctx, log, record, decoded)
	return t.printUnlessError(publishOutput{Revision: revision.Revision, Base: revision.Base, Warnings: warnings}, err)
}

// publishOutput is the output of the publish command.
type publishOutput struct {
	Revision ledger.Offset  `json:"revision"`
	Base     ledger.Offset  `json:"base"`
	Warnings []config.Fault `json:"warnings,omitempty"`
}

// rows implements tableResult.
func (p publishOutput) rows() [][]string {
	return [][]string{{fmt.Sprintf("revision %d is in effect; it builds on revision %d", p.Revision, p.Base)}}
}

// publishRecord checks the record against the current state of the log, appends it, and reads the log until this record
// or a competing one takes effect. decoded is the decoded document of the record.
func publishRecord(ctx context.Context, log platformlog.Log, record *ledger.Record, decoded *config.Configuration) (ledger.Revision, error) {
	replay, from, err := replayLog(ctx, log, record.Configuration.Base)
	if err != nil {
		return ledger.Revision{}, err
	}
	p, err := publication.New(replay, record, decoded)
	if err != nil {
		return ledger.Revision{}, err
	}
	if _, err := log.Append(ctx, record); errors.Is(err, problem.NotSent) {
		return ledger.Revision{}, err
	}
	// After any other error the record may still be in the log, and a successful append does not mean that it takes
	// effect. Only the records that follow show the outcome.
	switch awaitVerdict(ctx, log, p, from) {
	case publication.Published:
		return p.DecidingRevision(), nil
	case publication.Preempted:
		winner := p.DecidingRevision()
		return ledger.Revision{}, publication.Conflict(record.Configuration.Base, &winner)
	default:
		return ledger.Revision{}, problem.New(errUnknownOutcome,
			"look for your note in `heatherreelctl history`; publishing again with the same base is safe, because at most one record on this base can take effect",
			"the record %s was sent, but neither it nor a competing record was read from the log in time", record.ID)
	}
}

// replayLog replays the log from its earliest record and returns the replay and the offset to read next. It stops at
// the end of the log, or earlier at a page that is not full if the replayed state is complete and its revision has
// reached base. It doesn't wait for the end of the log then, because a log with several hundred appends per second
// always has another record. A newer revision that it misses does no harm: a record whose base is outdated does not
// take effect.
func replayLog(ctx context.Context, log platformlog.Log, base ledger.Offset) (*publication.Replay, ledger.Offset, error) {
	reader := logReader{log: log, pageSize: pageSize}
	page, err := reader.read(ctx, 1, 0)
	if errors.Is(err, problem.PastRetention) {
		page, err = reader.read(ctx, page.Earliest, 0)
	}
	if err != nil {
		return nil, 0, err
	}
	replay := publication.NewReplay(page.Earliest)
	for len(page.Entries) > 0 {
		for _, e := range page.Entries {
			replay.Add(e.Offset, e.Record)
		}
		if len(page.Entries) < reader.pageSize && replay.Complete() && replay.State().Revision() >= base {
			break
		}
		if page, err = reader.read(ctx, page.Next, 0); err != nil {
			return nil, 0, err
		}
	}
	return replay, page.Next, nil
}

// logReader reads pages of a log, with fewer records once a page was too large.
type logReader struct {
	log platformlog.Log
	// pageSize is the maximum number of records in one read.
	pageSize int
}

// read returns a page; see platformlog.Log.
func (r *logReader) read(ctx context.Context, from ledger.Offset, wait time.Duration) (platformlog.Page, error) {
	for {
		page, err := r.log.Read(ctx, from, r.pageSize, wait)
		if !errors.Is(err, problem.TooLarge) || r.pageSize == 1 {
			return page, err
		}
		r.pageSize /= 2
	}
}

// awaitVerdict reads the log from the offset until the verdict is known or ctx ends. It retries failed reads, because
// the record may have taken effect. It returns Pending if the outcome stays unknown.
func awaitVerdict(ctx context.Context, log platformlog.Log, p *publication.Publication, from ledger.Offset) publication.Verdict {
	reader := logReader{log: log, pageSize: pageSize}
	for ctx.Err() == nil {
		page, err := reader.read(ctx, from, longPollWait)
		if errors.Is(err, problem.PastRetention) {
			return publication.Pending
		}
		if err != nil || len(page.Entries) == 0 {
			sleep(ctx, retryDelay)
			continue
		}
		for _, e := range page.Entries {
			if verdict := p.Add(e.Offset, e.Record); verdict != publication.Pending {
				return verdict
			}
		}
		from = page.Next
	}
	return publication.Pending
}

// sleep waits for the duration d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
