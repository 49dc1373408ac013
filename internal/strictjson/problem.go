package strictjson

import (
	"fmt"
	"strings"
)

// Problem is one thing that is wrong with a document.
type Problem struct {
	// Name is the document's file name, Line counts from 1.
	Name string
	Line int
	// Path is the field, such as "endpoint.heartbeat" or "models[0].name".
	Path string
	// Wrong says what is wrong, Want what would be right; Want may be empty.
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

// Problems is the error for a document: all that is wrong with it, by line.
type Problems []Problem

// Error returns one problem a line.
func (ps Problems) Error() string {
	lines := make([]string, len(ps))
	for i, p := range ps {
		lines[i] = p.String()
	}
	return strings.Join(lines, "\n")
}

// ValueError is an error that the UnmarshalJSON of a field's type returns to say
// both what is wrong and what would be right.
type ValueError struct {
	Wrong string
	Want  string
}

// Error returns what is wrong and what would be right.
func (m *ValueError) Error() string { return m.Wrong + "; want " + m.Want }
