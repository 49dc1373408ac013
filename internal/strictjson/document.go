// Package strictjson decodes JSON with comments into structs and reports all problems
// at once, each with its file, line and field: unknown and duplicate fields, values of
// a wrong type, and the problems that the caller's own checks add.
//
// encoding/json stops at the first problem, reports byte offsets instead of lines and,
// by default, silently ignores a misspelt field: a limit that an operator believes to
// be set would not be.
package strictjson

import (
	"bytes"
	"regexp"
	"slices"
	"strconv"
	"strings"

	"github.com/tailscale/hujson"
)

// MaxDepth bounds the levels of nesting. The parser is recursive, so a document of
// opening brackets only would otherwise overflow the stack and end the process.
const MaxDepth = 64

// Document is a decoded document to which further checks add their problems.
type Document struct {
	name string
	data []byte
	// lines has the line of each value by path, rawValues the values decoded as
	// json.RawMessage.
	lines     map[string]int
	rawValues map[string]hujson.Value
	// lenient ignores unknown fields.
	lenient  bool
	problems Problems
}

// Decode decodes data into the struct that into points to. name is the file's name in
// errors. Fields that the document doesn't have keep their values. The Document is
// never nil; call its Err after further checks have added their problems.
func Decode(data []byte, name string, into any) *Document {
	d := &Document{name: name, data: data}
	d.parse(into)
	return d
}

// DecodeLenient is like Decode but ignores unknown fields, for documents of a newer
// schema.
func DecodeLenient(data []byte, name string, into any) *Document {
	d := &Document{name: name, data: data, lenient: true}
	d.parse(into)
	return d
}

func (d *Document) parse(into any) {
	d.lines = map[string]int{"": 1}
	d.rawValues = map[string]hujson.Value{}
	data := d.data
	if line, ok := findTooDeep(data); ok {
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

// DecodeField decodes a field that was decoded as a json.RawMessage. Its problems have
// lines and paths of the whole document.
func (d *Document) DecodeField(path string, into any) {
	value, ok := d.rawValues[path]
	if !ok {
		d.Add(path, "is missing", "an object")
		return
	}
	d.decode(value, path, into)
}

// Has reports whether the document has the field.
func (d *Document) Has(path string) bool {
	_, ok := d.lines[path]
	return ok
}

// Add records that the field's value is wrong. Only the first problem of a field is
// kept: those that follow from it would hide the one to fix.
func (d *Document) Add(path, wrong, want string) {
	samePath := func(p Problem) bool { return p.Path == path }
	if slices.ContainsFunc(d.problems, samePath) {
		return
	}
	d.addAt(d.line(path), path, wrong, want)
}

// Err returns all problems as Problems, sorted by line, or nil.
func (d *Document) Err() error {
	if len(d.problems) == 0 {
		return nil
	}
	slices.SortStableFunc(d.problems, func(a, b Problem) int { return a.Line - b.Line })
	return d.problems
}

// OK reports whether no problem has been found so far.
func (d *Document) OK() bool { return len(d.problems) == 0 }

func (d *Document) addAt(line int, path, wrong, want string) {
	d.problems = append(d.problems, Problem{Name: d.name, Line: line, Path: path, Wrong: wrong, Want: want})
}

// line returns the line of the field or, if the document doesn't have it, of the
// innermost enclosing value.
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

// syntaxPosition matches the position at the beginning of the parser's errors.
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

// findTooDeep returns the line at which nesting, outside strings and comments, first
// exceeds MaxDepth.
func findTooDeep(data []byte) (line int, found bool) {
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

// skipString returns the index of the quote that ends the string beginning at i, or an
// index beyond data if the string is unterminated.
func skipString(data []byte, i int) int {
	for i++; i < len(data) && data[i] != '"'; i++ {
		if data[i] == '\\' {
			i++
		}
	}
	return i
}

// skipComment returns the index of the last byte of the comment that begins at i, or i
// if none does. For an unterminated comment it returns len(data).
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
