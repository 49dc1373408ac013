package ctl

import (
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/urfave/cli/v3"
)

// show writes value as JSON or, unless the flag output is json, calls table with
// an aligning writer.
func show(c *cli.Command, value any, table func(w io.Writer)) error {
	out := c.Root().Writer
	if c.String("output") == "json" {
		enc := json.NewEncoder(out)
		enc.SetIndent("", "  ")
		enc.SetEscapeHTML(false)
		return enc.Encode(value)
	}
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	table(w)
	return w.Flush()
}

// row writes one line of a table; an empty string becomes "-".
func row(w io.Writer, cells ...any) {
	for i, cell := range cells {
		if i > 0 {
			fmt.Fprint(w, "\t")
		}
		if cell == "" {
			cell = "-"
		}
		fmt.Fprint(w, cell)
	}
	fmt.Fprintln(w)
}

func yesNo(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}
