package strictjson

import (
	"fmt"
	"strings"
)

// Problem is one thing that is wrong with a document.
type Problem struct {
	// Name is the document's file name. Line is counted from 1.
	Name string
	Line int
	// Path is the field, such as "endpoint.heartbeat" or "models[0].name"; empty for
	// the whole document.
	Path string
	// Wrong says what is wrong, Want what is expected; Want may be empty.
	Wrong string
	Want  string
}

// String returns "file:line: path: wrong; want …".
func (p Problem) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s:%d: ", p.Name, p.Line)
	if p.Path != "" {
		b.WriteString(p.Path + ": ")
	}
	b.WriteString(p.Wrong)
	if p.Want != "" {
		b.WriteString("; want " + p.Want)
	}
	return b.String()
}

// Problems is the error for a document: all its problems by line.
type Problems []Problem

// Error returns the problems, one per line.
func (ps Problems) Error() string {
	lines := make([]string, len(ps))
	for i, p := range ps {
		lines[i] = p.String()
	}
	return strings.Join(lines, "\n")
}

// ValueError is returned by the UnmarshalJSON of a field's type to give both parts of a
// Problem.
type ValueError struct {
	Wrong string
	Want  string
}

// Error returns the parts as Problem.String does.
func (e *ValueError) Error() string { return e.Wrong + "; want " + e.Want }
