package ctl

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"io"
	"os"
	"slices"
	"time"

	"github.com/urfave/cli/v3"

	"skylarklead/internal/config"
	"skylarklead/internal/follow"
	"skylarklead/internal/platform"
	"skylarklead/internal/wait"
)

const (
	// pollInterval is the pause between two reads of the log or of a process's state.
	pollInterval = 200 * time.Millisecond
	// resendAfter is how long to look for a record on the log before resending it.
	resendAfter = 2 * time.Second
	// appendBatch is the maximum number of records in one append.
	appendBatch = 100
)

func publishCommand() *cli.Command {
	return &cli.Command{
		Name: "publish", Usage: "publish a file of records and report whether each was accepted", ArgsUsage: "FILE",
		Description: "A record without \"base\" is based on what is in force now. Records that change\n" +
			"nothing are skipped. A lost reply is resolved by reading the log back.\n\n" +
			"  skylarkctl config publish examples/huon-ledger/records.json\n" +
			"  skylarkctl config publish --wait organisation.json",
		Flags: append(fleetFlags(),
			&cli.StringFlag{Name: "operator", Usage: "`NAME` to publish under", Value: os.Getenv("USER"), Sources: cli.EnvVars("SKYLARK_OPERATOR")},
			&cli.BoolFlag{Name: "wait", Usage: "wait until the records are in force at every live instance"}),
		Action: withArgs(1, 1, publish),
	}
}

// result is the outcome of publishing one record.
type result struct {
	Kind     config.Kind    `json:"kind"`
	Key      string         `json:"key"`
	Offset   uint64         `json:"offset,omitempty"`
	Verdict  config.Verdict `json:"verdict"`
	Nonce    string         `json:"nonce,omitempty"`
	encoded  []byte
	resolved bool // Verdict is known
}

const reasonUnchanged config.Reason = "unchanged"

func publish(ctx context.Context, c *cli.Command) error {
	sources, err := readFiles(c.Args().Slice())
	if err != nil {
		return err
	}
	log, err := openLog(c)
	if err != nil {
		return err
	}
	defer log.Close()
	h, err := readLog(ctx, log)
	if err != nil {
		return err
	}
	results, next, err := prepare(h.State, sources, c.String("operator"))
	if err != nil {
		return err
	}
	for _, text := range next.DanglingReferences() {
		fmt.Fprintln(c.Root().ErrWriter, "warning:", text)
	}
	warnLoadPermits(ctx, c.Root().ErrWriter, c.String("platform"), sources)
	if err := appendAll(ctx, log, h.State, results); err != nil {
		return err
	}
	if err := showResults(c, results); err != nil {
		return err
	}
	if c.Bool("wait") {
		return waitInForce(ctx, c, lastOffset(results))
	}
	return nil
}

// prepare sets each record's base and nonce and applies it to s locally, so that no
// record is sent that would be refused. It returns a result for every record,
// including unchanged ones, and the resulting state.
func prepare(s *config.State, sources []source, operator string) (results []*result, next *config.State, err error) {
	results = make([]*result, len(sources))
	for i, src := range sources {
		r := src.record
		res := &result{Kind: r.Kind, Key: r.Key}
		results[i] = res
		if !src.hasBase && unchanged(s, r) {
			res.resolved = true
			res.Verdict = config.Verdict{Accepted: true, Reason: reasonUnchanged, Revision: s.Revision(r.Kind, r.Key)}
			continue
		}
		if !src.hasBase {
			r.Base = s.Revision(r.Kind, r.Key)
		}
		if r.Operator == "" {
			r.Operator = operator
		}
		r.Nonce = rand.Text()
		encoded, err := r.Encode()
		if err != nil {
			return nil, nil, err
		}
		var v config.Verdict
		if s, v = s.Apply(s.Offset+1, encoded); !v.Accepted {
			return nil, nil, fmt.Errorf("%w: %s: %s: %s", errRefused, r.Name(), v.Reason, v.Detail)
		}
		res.Nonce, res.encoded = r.Nonce, encoded
	}
	return results, s, nil
}

// unchanged reports whether r would change nothing: the key is already deleted, or
// its newest record is in force and has the same content.
func unchanged(s *config.State, r config.Record) bool {
	it := itemOf(s, r.Kind, r.Key)
	if r.Delete {
		return it.Record == nil && it.Revision == s.Deleted[r.Name()]
	}
	return it.Record != nil && it.Offset == it.Revision && content(it.Record) == content(&r)
}

// appendAll appends the unresolved records and reads the log until the verdict on
// each is known. The reply to an append may be lost after the append took effect,
// so a failed append doesn't show that nothing was appended. Resending the same
// bytes is safe: at most one of two records with the same base is accepted.
func appendAll(ctx context.Context, log *platform.Log, before *config.State, results []*result) error {
	pending := unresolved(results)
	var sent time.Time
	var lastErr error
	for len(pending) > 0 {
		if sent.IsZero() || time.Since(sent) > resendAfter {
			lastErr = appendOnce(ctx, log, pending)
			if errors.Is(lastErr, platform.ErrNotAppended) {
				sent = time.Time{}
			} else {
				sent = time.Now()
			}
		}
		if err := resolve(ctx, log, before, pending); err != nil {
			lastErr = err
		}
		if pending = unresolved(pending); len(pending) == 0 {
			return nil
		}
		if err := wait.For(ctx, pollInterval); err != nil {
			return fmt.Errorf("%w: it is not known whether the records were published; publishing them again is safe: %w", errUnreachable, lastErr)
		}
	}
	return nil
}

// appendOnce appends all pending records in order, in batches, and stops at the
// first failure.
func appendOnce(ctx context.Context, log *platform.Log, pending []*result) error {
	for batch := range slices.Chunk(pending, appendBatch) {
		records := make([][]byte, len(batch))
		for i, res := range batch {
			records[i] = res.encoded
		}
		if _, err := log.Append(ctx, follow.Stream, records); err != nil {
			return err
		}
	}
	return nil
}

func unresolved(results []*result) []*result {
	var pending []*result
	for _, res := range results {
		if !res.resolved {
			pending = append(pending, res)
		}
	}
	return pending
}

// resolve looks for the pending records on the log by nonce. The first record with
// a nonce counts; later ones are resent copies.
func resolve(ctx context.Context, log *platform.Log, before *config.State, pending []*result) error {
	h, err := follow.ReadSince(ctx, log, before)
	if err != nil {
		return err
	}
	for i, v := range h.Verdicts {
		for _, res := range pending {
			if !res.resolved && res.Nonce == v.Record.Nonce {
				res.resolved, res.Offset, res.Verdict = true, h.Records[i].Offset, v
			}
		}
	}
	return nil
}

func showResults(c *cli.Command, results []*result) error {
	err := show(c, results, func(w io.Writer) {
		row(w, "KIND", "KEY", "OFFSET", "VERDICT", "REVISION", "DETAIL")
		for _, res := range results {
			row(w, res.Kind, res.Key, res.Offset, res.Verdict.Reason, res.Verdict.Revision, res.Verdict.Detail)
		}
	})
	if err != nil {
		return err
	}
	for _, res := range results {
		if !res.Verdict.Accepted {
			return fmt.Errorf("%w: %s/%s: %s; the current revision is at offset %d", errRefused, res.Kind, res.Key, res.Verdict.Detail, res.Verdict.Revision)
		}
	}
	return nil
}

func lastOffset(results []*result) uint64 {
	last := uint64(0)
	for _, res := range results {
		last = max(last, res.Offset, res.Verdict.Revision)
	}
	return last
}
