// Package strictjson decodes JSON with comments into structs and reports every
// mistake at once, each with its file, line and field: unknown and doubled
// fields, values of a wrong type, and whatever the caller's own checks add.
//
// encoding/json stops at the first mistake, gives byte offsets in place of lines
// and, without an option, drops a misspelt field silently: a limit that an
// operator believes to be set would not be.
package strictjson

import (
	"bytes"
	"regexp"
	"slices"
	"strconv"
	"strings"

	"github.com/tailscale/hujson"
)

// MaxDepth bounds nesting. The parser recurses, so a document of nothing but
// opening brackets would otherwise exhaust the stack and end the process.
const MaxDepth = 64

// Document is a decoded document to which further checks add their problems.
type Document struct {
	name     string
	data     []byte
	lines    map[string]int
	raws     map[string]hujson.Value
	lenient  bool
	problems Problems
}

// Decode parses data into the struct that into points to. Fields that are not in
// the document keep their values. The Document is never nil; its Err tells what
// was wrong. Call it after the checks on the values have added theirs.
func Decode(data []byte, name string, into any) *Document {
	d := &Document{name: name, data: data}
	d.parse(into)
	return d
}

// DecodeLenient is Decode without complaint about unknown fields, for documents of
// a newer schema.
func DecodeLenient(data []byte, name string, into any) *Document {
	d := &Document{name: name, data: data, lenient: true}
	d.parse(into)
	return d
}

func (d *Document) parse(into any) {
	d.lines = map[string]int{"": 1}
	d.raws = map[string]hujson.Value{}
	data := d.data
	if line, ok := tooDeep(data); ok {
		d.addAt(line, "", "nested too deeply", "at most "+strconv.Itoa(MaxDepth)+" levels")
		return
	}
	value, err := hujson.Parse(data)
	if err != nil {
		d.addSyntax(err)
		return
	}
	d.decode(value, "", into)
}

// DecodeField decodes a field that was kept as a json.RawMessage, so that its
// problems get the lines and paths of the whole document.
func (d *Document) DecodeField(path string, into any) {
	value, ok := d.raws[path]
	if !ok {
		d.Add(path, "is missing", "an object")
		return
	}
	d.decode(value, path, into)
}

// Has reports whether the document gives a value for the field.
func (d *Document) Has(path string) bool {
	_, ok := d.lines[path]
	return ok
}

// Add records that the field's value is wrong. Only the first problem of a field
// is kept: what follows from it would hide what is to be mended.
func (d *Document) Add(path, wrong, want string) {
	samePath := func(p Problem) bool { return p.Path == path }
	if slices.ContainsFunc(d.problems, samePath) {
		return
	}
	d.addAt(d.line(path), path, wrong, want)
}

// Err returns all problems as Problems in order of line, or nil.
func (d *Document) Err() error {
	if len(d.problems) == 0 {
		return nil
	}
	slices.SortStableFunc(d.problems, func(a, b Problem) int { return a.Line - b.Line })
	return d.problems
}

// OK reports whether nothing is wrong so far.
func (d *Document) OK() bool { return len(d.problems) == 0 }

func (d *Document) addAt(line int, path, wrong, want string) {
	d.problems = append(d.problems, Problem{Name: d.name, Line: line, Path: path, Wrong: wrong, Want: want})
}

// line returns the line of the field or, if the document doesn't have it, of the
// nearest field around it.
func (d *Document) line(path string) int {
	for {
		if line, ok := d.lines[path]; ok {
			return line
		}
		path = path[:max(strings.LastIndexAny(path, ".["), 0)]
	}
}

func (d *Document) lineAt(offset int) int {
	offset = min(offset, len(d.data))
	return 1 + bytes.Count(d.data[:offset], []byte{'\n'})
}

// syntaxPosition matches the position in the parser's errors.
var syntaxPosition = regexp.MustCompile(`^hujson: line (\d+), column (\d+): `)

func (d *Document) addSyntax(err error) {
	text := err.Error()
	line := 1
	if m := syntaxPosition.FindStringSubmatch(text); m != nil {
		line, _ = strconv.Atoi(m[1])
		text = "column " + m[2] + ": " + text[len(m[0]):]
	}
	d.addAt(line, "", text, "JSON; comments and trailing commas are allowed")
}

// tooDeep looks for nesting beyond MaxDepth outside strings and comments.
func tooDeep(data []byte) (line int, found bool) {
	depth := 0
	for i := 0; i < len(data); i++ {
		switch data[i] {
		case '"':
			i = skipString(data, i)
		case '/':
			i = skipComment(data, i)
		case '{', '[':
			depth++
		case '}', ']':
			depth--
		}
		if depth > MaxDepth {
			return 1 + bytes.Count(data[:i], []byte{'\n'}), true
		}
	}
	return 0, false
}

// skipString returns the index of the quote that ends the string at i.
func skipString(data []byte, i int) int {
	for i++; i < len(data) && data[i] != '"'; i++ {
		if data[i] == '\\' {
			i++
		}
	}
	return i
}

// skipComment returns the index of the last byte of the comment at i, or i.
func skipComment(data []byte, i int) int {
	rest := data[i:]
	end, mark := -1, ""
	switch {
	case bytes.HasPrefix(rest, []byte("//")):
		mark = "\n"
	case bytes.HasPrefix(rest, []byte("/*")):
		mark = "*/"
	default:
		return i
	}
	if end = bytes.Index(rest[2:], []byte(mark)); end < 0 {
		return len(data)
	}
	return i + 2 + end + len(mark) - 1
}
