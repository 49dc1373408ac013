package ctl

import (
	"context"
	"fmt"
	"io"
	"net/url"
	"slices"
	"strings"

	"github.com/urfave/cli/v3"

	"skylarklead/internal/config"
	"skylarklead/internal/follow"
	"skylarklead/internal/platform"
)

// noLimit is the maxArgs of a command that takes any number of arguments.
const noLimit = 1 << 20

func configCommand() *cli.Command {
	return &cli.Command{
		Name:  "config",
		Usage: "check, publish and show configuration records",
		Commands: []*cli.Command{
			{
				Name: "check", Usage: "check files without publishing them", ArgsUsage: "FILE…",
				Description: "With --platform it also compares each group's load_permits with its number of replicas.\n\n" +
					"  skylarkctl config check examples/huon-ledger/records.json",
				Flags:  []cli.Flag{outputFlag(), platformFlag(), timeoutFlag()},
				Action: withArgs(1, noLimit, check),
			},
			publishCommand(),
			logCommand("get", "show the record in force for a key", "KIND KEY", "config get organisation river-hospice", 2, 2, get),
			logCommand("list", "list the records in force", "[KIND]", "config list model", 0, 1, list),
			logCommand("diff", "show what publishing a file would change", "FILE", "config diff records.json", 1, 1, diff),
			logCommand("history", "show every record on the log and whether it was accepted", "[KIND KEY]", "config history group ledger-llm", 0, 2, history),
			exportCommand(),
		},
	}
}

// logCommand returns a command that reads the configuration log.
func logCommand(name, usage, args, example string, minArgs, maxArgs int, action cli.ActionFunc) *cli.Command {
	return &cli.Command{
		Name: name, Usage: usage, ArgsUsage: args, Description: "  skylarkctl " + example,
		Flags:  []cli.Flag{outputFlag(), platformFlag(), timeoutFlag()},
		Action: withArgs(minArgs, maxArgs, action),
	}
}

func platformURL(c *cli.Command) (string, error) {
	base := c.String("platform")
	if base == "" {
		return "", fmt.Errorf("the platform's address is missing: set --platform URL or SKYLARK_PLATFORM")
	}
	u, err := url.Parse(base)
	if err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.Host == "" {
		return "", fmt.Errorf("the platform's address %q is not a URL such as http://127.0.0.1:7000", base)
	}
	return base, nil
}

func openLog(c *cli.Command) (*platform.Log, error) {
	u, err := platformURL(c)
	if err != nil {
		return nil, err
	}
	return platform.NewLog(u), nil
}

func readHistory(ctx context.Context, c *cli.Command) (*follow.History, error) {
	log, err := openLog(c)
	if err != nil {
		return nil, err
	}
	defer log.Close()
	return readLog(ctx, log)
}

func readLog(ctx context.Context, log *platform.Log) (*follow.History, error) {
	h, err := follow.ReadLog(ctx, log)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errUnreachable, err)
	}
	return h, nil
}

func check(ctx context.Context, c *cli.Command) error {
	sources, err := readFiles(c.Args().Slice())
	if err != nil {
		return err
	}
	if c.String("platform") != "" {
		base, err := platformURL(c)
		if err != nil {
			return err
		}
		warnLoadPermits(ctx, c.Root().ErrWriter, base, sources)
	}
	return show(c, map[string]int{"records": len(sources)}, func(w io.Writer) {
		fmt.Fprintf(w, "%d records are good\n", len(sources))
	})
}

func parseKind(text string) (config.Kind, error) {
	kind := config.Kind(text)
	if !slices.Contains(config.Kinds, kind) {
		return "", fmt.Errorf("%q is not a record kind; want one of %v", text, config.Kinds)
	}
	return kind, nil
}

// item is the output of get and list for one key.
type item struct {
	Kind     config.Kind    `json:"kind"`
	Key      string         `json:"key"`
	Offset   uint64         `json:"offset"`
	Revision uint64         `json:"revision"`
	Schema   int            `json:"schema,omitempty"`
	Operator string         `json:"operator,omitempty"`
	Note     string         `json:"note,omitempty"`
	Record   *config.Record `json:"record,omitempty"`
}

func get(ctx context.Context, c *cli.Command) error {
	kind, err := parseKind(c.Args().Get(0))
	if err != nil {
		return err
	}
	h, err := readHistory(ctx, c)
	if err != nil {
		return err
	}
	key := c.Args().Get(1)
	it := itemOf(h.State, kind, key)
	if it.Record == nil {
		return fmt.Errorf("%w: no %s %s is in force%s", errRefused, kind, key, noteSuffix(it.Note))
	}
	return show(c, it, func(w io.Writer) {
		fmt.Fprintf(w, "# in force since offset %d, revision %d%s\n", it.Offset, it.Revision, noteSuffix(it.Note))
		fmt.Fprintln(w, pretty(it.Record))
	})
}

func noteSuffix(note string) string {
	if note == "" {
		return ""
	}
	return "; " + note
}

func itemOf(s *config.State, kind config.Kind, key string) item {
	it := item{Kind: kind, Key: key, Revision: s.Revision(kind, key), Note: noteOf(s, kind, key)}
	if e, ok := s.RecordInForce(kind, key); ok {
		it.Offset = e.Offset
		if r, err := config.ParseRecord(e.Data, "log"); err == nil {
			it.Record, it.Schema, it.Operator = &r, r.Schema, r.Operator
		}
	}
	return it
}

// noteOf describes records of a key that are on the log but not in force: kept for
// a newer schema, invalid, or a deletion.
func noteOf(s *config.State, kind config.Kind, key string) string {
	n := string(kind) + "/" + key
	var notes []string
	if o, ok := s.Opaque[n]; ok {
		notes = append(notes, fmt.Sprintf("record %d of schema %d is kept", o.Offset, o.Schema))
	}
	if offset, ok := s.Invalid[n]; ok {
		notes = append(notes, fmt.Sprintf("record %d was invalid", offset))
	}
	if offset, ok := s.Deleted[n]; ok {
		notes = append(notes, fmt.Sprintf("deleted at %d", offset))
	}
	return strings.Join(notes, ", ")
}

func list(ctx context.Context, c *cli.Command) error {
	kinds := config.Kinds
	if c.Args().Present() {
		kind, err := parseKind(c.Args().First())
		if err != nil {
			return err
		}
		kinds = []config.Kind{kind}
	}
	h, err := readHistory(ctx, c)
	if err != nil {
		return err
	}
	items := []item{}
	for _, kind := range kinds {
		for _, key := range h.State.Keys(kind) {
			it := itemOf(h.State, kind, key)
			it.Record = nil
			items = append(items, it)
		}
	}
	return show(c, map[string]any{"offset": h.State.Offset, "items": items}, func(w io.Writer) {
		row(w, "KIND", "KEY", "OFFSET", "SCHEMA", "OPERATOR", "NOTE")
		for _, it := range items {
			row(w, it.Kind, it.Key, it.Offset, it.Schema, it.Operator, it.Note)
		}
	})
}

// event is one record of the history, with its verdict.
type event struct {
	Offset   uint64         `json:"offset"`
	Kind     config.Kind    `json:"kind,omitempty"`
	Key      string         `json:"key,omitempty"`
	Base     uint64         `json:"base"`
	Delete   bool           `json:"delete,omitempty"`
	Operator string         `json:"operator,omitempty"`
	Verdict  config.Verdict `json:"verdict"`
}

func history(ctx context.Context, c *cli.Command) error {
	if c.Args().Len() == 1 {
		return fmt.Errorf("usage: skylarkctl config history [KIND KEY]")
	}
	h, err := readHistory(ctx, c)
	if err != nil {
		return err
	}
	events := []event{}
	for i, v := range h.Verdicts {
		r := v.Record
		if c.Args().Len() == 2 && (string(r.Kind) != c.Args().Get(0) || r.Key != c.Args().Get(1)) {
			continue
		}
		if v.Reason == "" {
			v.Detail = "from before the oldest usable snapshot"
		}
		events = append(events, event{
			Offset: h.Records[i].Offset, Kind: r.Kind, Key: r.Key, Base: r.Base, Delete: r.Delete, Operator: r.Operator, Verdict: v,
		})
	}
	return show(c, events, func(w io.Writer) {
		row(w, "OFFSET", "KIND", "KEY", "BASE", "DELETE", "OPERATOR", "VERDICT", "DETAIL")
		for _, e := range events {
			detail, _, _ := strings.Cut(e.Verdict.Detail, "\n")
			row(w, e.Offset, e.Kind, e.Key, e.Base, yesNo(e.Delete), e.Operator, e.Verdict.Reason, detail)
		}
	})
}
