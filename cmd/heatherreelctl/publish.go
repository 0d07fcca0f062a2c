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

// Limits of reading the log.
const (
	pageSize = 1000
	// pollWait is how long one read waits for new records.
	pollWait = 2 * time.Second
	// retryPause is the time between reads while the log gives no answers.
	retryPause = 200 * time.Millisecond
)

// publish returns the command that publishes a document.
func (t *tool) publish() *cobra.Command {
	c := &cobra.Command{
		Use: "publish FILE", Short: "Publish a configuration that builds on the base revision", Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			if err := require(c, "base", "note"); err != nil {
				return err
			}
			if t.flags.author == "" {
				return usage("publish needs --author or %s", environmentName("author"))
			}
			return t.publishFile(c, args[0])
		},
	}
	c.Flags().Uint64Var(&t.flags.base, "base", 0, "revision that the change builds on; 0 for the first")
	c.Flags().StringVar(&t.flags.note, "note", "", "what the change is for")
	c.Flags().StringVar(&t.flags.author, "author", defaultAuthor(), "who makes the change")
	return c
}

// publishFile validates the document, appends it and waits for the verdict.
func (t *tool) publishFile(c *cobra.Command, path string) error {
	document, err := t.read(path)
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
	ctx, cancel := t.limited(c)
	defer cancel()
	record := &ledger.Record{Kind: ledger.KindConfiguration, ID: uuid.NewString(), Configuration: &ledger.Configuration{
		Base: ledger.Offset(t.flags.base), Document: string(document), Author: t.flags.author, Note: t.flags.note,
	}}
	revision, err := publishRecord(ctx, log, record, decoded)
	return t.printIf(publishOutput{Revision: revision.Revision, Base: revision.Base, Warnings: warnings}, err)
}

// publishOutput is the output of publish.
type publishOutput struct {
	Revision ledger.Offset  `json:"revision"`
	Base     ledger.Offset  `json:"base"`
	Warnings []config.Fault `json:"warnings,omitempty"`
}

// rows implements tabular.
func (p publishOutput) rows() [][]string {
	return [][]string{{fmt.Sprintf("revision %d is in effect; it builds on revision %d", p.Revision, p.Base)}}
}

// publishRecord checks the record against the log, appends it, and reads on until it or a rival takes effect.
func publishRecord(ctx context.Context, log platformlog.Log, record *ledger.Record, next *config.Configuration) (ledger.Revision, error) {
	replay, from, err := catchUp(ctx, log, record.Configuration.Base)
	if err != nil {
		return ledger.Revision{}, err
	}
	p, err := publication.New(replay, record, next)
	if err != nil {
		return ledger.Revision{}, err
	}
	if _, err := log.Append(ctx, record); errors.Is(err, problem.NotSent) {
		return ledger.Revision{}, err
	}
	// Any other answer, and none, leaves open whether the record is in the log. Reading on tells.
	switch follow(ctx, log, p, from) {
	case publication.Published:
		return p.Decider(), nil
	case publication.Lost:
		winner := p.Decider()
		return ledger.Revision{}, publication.Conflict(record.Configuration.Base, &winner)
	default:
		return ledger.Revision{}, problem.New(errUnknownOutcome,
			"look with `heatherreelctl history` for your note; publishing again with the same base is safe, as only one can take effect",
			"the record %s was sent, but the log did not show it or a rival in time", record.ID)
	}
}

// catchUp replays the log until the base revision decides or the log ends, and returns the offset to read next. It
// does not insist on the end of the log once it has the base: a log with several hundred appends a second always has
// another record, and the base in the appended record guards against a newer revision.
func catchUp(ctx context.Context, log platformlog.Log, base ledger.Offset) (*publication.Replay, ledger.Offset, error) {
	page, err := log.Read(ctx, 1, pageSize, 0)
	if errors.Is(err, problem.Forgotten) {
		page, err = log.Read(ctx, page.Earliest, pageSize, 0)
	}
	if err != nil {
		return nil, 0, err
	}
	replay := publication.NewReplay(page.Earliest)
	for len(page.Entries) > 0 {
		for _, e := range page.Entries {
			replay.Add(e.Offset, e.Record)
		}
		if len(page.Entries) < pageSize && replay.Complete() && replay.State().Revision() >= base {
			break
		}
		if page, err = log.Read(ctx, page.Next, pageSize, 0); err != nil {
			return nil, 0, err
		}
	}
	return replay, page.Next, nil
}

// follow reads on until the verdict is known or ctx ends. Failed reads are repeated: the outcome is unknown until
// then.
func follow(ctx context.Context, log platformlog.Log, p *publication.Publication, from ledger.Offset) publication.Verdict {
	for ctx.Err() == nil {
		page, err := log.Read(ctx, from, pageSize, pollWait)
		if errors.Is(err, problem.Forgotten) {
			return publication.Pending
		}
		if err != nil || len(page.Entries) == 0 {
			pause(ctx, retryPause)
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

// pause waits for the duration or the end of ctx.
func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
