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
	// readBackPause is the pause between looks for a record on the log.
	readBackPause = 200 * time.Millisecond
	// appendAgainAfter is how long a record is looked for before it is sent again.
	appendAgainAfter = 2 * time.Second
	// appendBatch is how many records go into one append.
	appendBatch = 100
)

func publishCommand() *cli.Command {
	return &cli.Command{
		Name: "publish", Usage: "publish a file of records and tell what became of each", ArgsUsage: "FILE",
		Description: "A record without \"base\" is based on what is in force now. Records that change\n" +
			"nothing are passed over. A lost answer is resolved by reading the log back.\n\n" +
			"  skylarkctl config publish examples/huon-ledger/records.json\n" +
			"  skylarkctl config publish --wait organisation.json",
		Flags: append(fleetFlags(),
			&cli.StringFlag{Name: "operator", Usage: "`NAME` to publish under", Value: os.Getenv("USER"), Sources: cli.EnvVars("SKYLARK_OPERATOR")},
			&cli.BoolFlag{Name: "wait", Usage: "until every live instance has it in force"}),
		Action: withArgs(1, 1, publish),
	}
}

// result is what became of one record.
type result struct {
	Kind     config.Kind    `json:"kind"`
	Key      string         `json:"key"`
	Offset   uint64         `json:"offset,omitempty"`
	Verdict  config.Verdict `json:"verdict"`
	Nonce    string         `json:"nonce,omitempty"`
	encoded  []byte
	resolved bool
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
	results, after, err := prepare(h.State, sources, c.String("operator"))
	if err != nil {
		return err
	}
	for _, text := range after.DanglingReferences() {
		fmt.Fprintln(c.Root().ErrWriter, "warning:", text)
	}
	warnPermits(ctx, c.Root().ErrWriter, c.String("platform"), sources)
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

// prepare gives each record its base and nonce and tries it on the state, so that
// what would be refused isn't sent. It returns the results of those that change
// nothing, too, and the state as it would be.
func prepare(s *config.State, sources []source, operator string) (results []*result, after *config.State, err error) {
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

func unchanged(s *config.State, r config.Record) bool {
	it := itemOf(s, r.Kind, r.Key)
	if r.Delete {
		return it.Record == nil && it.Revision == s.Deleted[r.Name()]
	}
	return it.Record != nil && it.Offset == it.Revision && content(it.Record) == content(&r)
}

// appendAll appends what is to be sent and reads the log back until each record's
// verdict is known. The answer to an append may be lost after its effect, so an
// answer alone settles nothing; and sending the same bytes again is safe, since
// at most one of two records with the same base is accepted.
func appendAll(ctx context.Context, log *platform.Log, before *config.State, results []*result) error {
	pending := unresolved(results)
	var sent time.Time
	var lastErr error
	for len(pending) > 0 {
		if sent.IsZero() || time.Since(sent) > appendAgainAfter {
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
		if err := wait.For(ctx, readBackPause); err != nil {
			return fmt.Errorf("%w: it is not known whether the records were published, publishing again is safe: %w", errUnreachable, lastErr)
		}
	}
	return nil
}

// appendOnce sends all in order, a batch at a time, up to the first failure.
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
	var left []*result
	for _, res := range results {
		if !res.resolved {
			left = append(left, res)
		}
	}
	return left
}

// resolve looks for the records on the log by their nonces. The first one with a
// nonce counts; a later one was sent again.
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
			return fmt.Errorf("%w: %s/%s: %s; the winner is at offset %d", errRefused, res.Kind, res.Key, res.Verdict.Detail, res.Verdict.Revision)
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
