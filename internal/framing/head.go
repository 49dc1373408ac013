package framing

import (
	"bufio"
	"bytes"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
)

const (
	// protocolName begins every head.
	protocolName     = "HTTP/"
	transferEncoding = "Transfer-Encoding"
	// minStatus and maxStatus are the lowest and the highest status that an answer can have.
	minStatus, maxStatus = 100, 599
	statusDigits         = 3
)

// oldVersions begin the heads of the versions without transfer codings.
var oldVersions = []string{"HTTP/1.0", "HTTP/0."}

// head checks the lines of a head, one after the other.
type head struct {
	begun bool
	// ended is set once the empty line has come.
	ended bool
	// old is set for a version without transfer codings, informational if another head follows.
	old, informational bool
}

// checkLine checks the next line, which has its end.
func (h *head) checkLine(line []byte) error {
	switch {
	case !h.begun:
		h.begun = true
		return h.checkStatusLine(line)
	case isEmpty(line):
		h.ended = true
		return nil
	}
	return h.checkField(line)
}

func (h *head) checkStatusLine(line []byte) error {
	version, rest, _ := strings.Cut(strings.TrimRight(string(line), "\r\n"), " ")
	digits, _, _ := strings.Cut(rest, " ")
	status, err := strconv.Atoi(digits)
	if err != nil || len(digits) != statusDigits || status < minStatus || status > maxStatus || !strings.HasPrefix(version, protocolName) {
		return fmt.Errorf("%w: %.40q", errStatus, line)
	}
	h.old = slices.ContainsFunc(oldVersions, func(v string) bool { return strings.HasPrefix(version, v) })
	h.informational = status < http.StatusOK && status != http.StatusSwitchingProtocols
	return nil
}

// checkField checks the line of a field. A folded line could be meant for a field of its own, and would change the one before.
func (h *head) checkField(line []byte) error {
	name, _, ok := bytes.Cut(line, []byte(":"))
	if !ok || len(name) == 0 || bytes.ContainsFunc(name, isNoTokenByte) {
		return fmt.Errorf("%w: %.40q", errField, line)
	}
	if h.old && strings.EqualFold(string(name), transferEncoding) {
		return errEnd
	}
	return nil
}

// isEmpty reports whether a line is the one that ends a head.
func isEmpty(line []byte) bool { return string(line) == "\r\n" || string(line) == "\n" }

// isNoTokenByte reports whether a character can't be part of a token (RFC 9110, 5.6.2).
func isNoTokenByte(c rune) bool {
	switch {
	case 'a' <= c && c <= 'z', 'A' <= c && c <= 'Z', '0' <= c && c <= '9':
		return false
	}
	return !strings.ContainsRune("!#$%&'*+-.^_`|~", c)
}

// CheckHead checks the head that comes next from a reader, and leaves it there. It waits for the head's end, but not beyond a
// line that shows it to be faulty. If whole is false, the head was checked only as far as the reader's buffer, or what comes
// before an error, has it; the error comes again when the head is read.
func CheckHead(r *bufio.Reader) (whole bool, err error) {
	var h head
	for checked := 0; !h.ended; {
		buffered, _ := r.Peek(r.Buffered())
		if line := buffered[checked:]; bytes.IndexByte(line, '\n') >= 0 {
			line = line[:bytes.IndexByte(line, '\n')+1]
			if err := h.checkLine(line); err != nil {
				return false, err
			}
			checked += len(line)
			continue
		}
		if !mayBegin(buffered) {
			return false, fmt.Errorf("%w: %.40q", errStatus, buffered)
		}
		if _, err := r.Peek(len(buffered) + 1); err != nil {
			return false, nil
		}
	}
	return true, nil
}

// mayBegin reports whether a head may begin with these bytes.
func mayBegin(begin []byte) bool {
	return strings.HasPrefix(protocolName, string(begin[:min(len(begin), len(protocolName))]))
}

// ReadHead reads a head up to and with the empty line that ends it, or the part before an error, and checks it.
func ReadHead(r *bufio.Reader) (text []byte, err error) {
	var h head
	for begin := 0; !h.ended; begin = len(text) {
		part, err := r.ReadSlice('\n')
		for err == bufio.ErrBufferFull {
			text = append(text, part...)
			part, err = r.ReadSlice('\n')
		}
		text = append(text, part...)
		if err != nil {
			return text, err
		}
		if err := h.checkLine(text[begin:]); err != nil {
			return text, err
		}
	}
	return text, nil
}
