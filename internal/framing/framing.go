// Package framing rejects answers that net/http accepts although they aren't answers in the protocol, or whose end it looks for
// elsewhere than their sender put it. It tells the orderly end of a connection from its failure.
//
// net/http accepts each three digits as a status, and blanks in the names of fields. It ignores the transfer coding of an answer
// of a version before HTTP/1.1, and a length or coding with a blank in its name. Such an answer would be taken for one that the
// end of its connection ends, with the chunks' framing as its body.
package framing

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strings"
)

// ErrFaulty reports an answer that isn't one in the protocol. Errors of this package wrap it.
var ErrFaulty = errors.New("framing: faulty answer")

var (
	errEnd    = fmt.Errorf("%w: its end can't be told", ErrFaulty)
	errStatus = fmt.Errorf("%w: its status isn't one", ErrFaulty)
	errName   = fmt.Errorf("%w: the name of a field isn't one", ErrFaulty)
)

// minStatus and maxStatus are the lowest and the highest status that an answer can have.
const minStatus, maxStatus = 100, 599

const transferEncoding = "Transfer-Encoding"

// oldVersions begin the heads of the versions that have none.
var oldVersions = []string{"HTTP/1.0", "HTTP/0."}

// IsOld reports whether the beginning of a head is that of a version without transfer codings.
func IsOld(head []byte) bool {
	return slices.ContainsFunc(oldVersions, func(v string) bool { return bytes.HasPrefix(head, []byte(v)) })
}

// Check checks an answer whose head net/http has read.
func Check(resp *http.Response) error {
	if resp.StatusCode < minStatus || resp.StatusCode > maxStatus {
		return fmt.Errorf("%w: %03d", errStatus, resp.StatusCode)
	}
	return checkHeader(resp.Header)
}

// checkHeader rejects names that aren't tokens. Such a line may have been meant for another field, one that frames the body
// included.
func checkHeader(h http.Header) error {
	for name := range h {
		if strings.ContainsFunc(name, isNoTokenByte) {
			return fmt.Errorf("%w: %.40q", errName, name)
		}
	}
	return nil
}

// isNoTokenByte reports whether a character can't be part of a token (RFC 9110, 5.6.2).
func isNoTokenByte(c rune) bool {
	switch {
	case 'a' <= c && c <= 'z', 'A' <= c && c <= 'Z', '0' <= c && c <= '9':
		return false
	}
	return !strings.ContainsRune("!#$%&'*+-.^_`|~", c)
}

// CheckHead checks the bytes of a head for what net/http leaves out of the header.
func CheckHead(head []byte) error {
	if !IsOld(head) {
		return nil
	}
	for line := range bytes.Lines(head) {
		if namesCoding(line) {
			return errEnd
		}
	}
	return nil
}

// namesCoding reports whether a line of a head is a transfer coding.
func namesCoding(line []byte) bool {
	name, _, ok := bytes.Cut(line, []byte(":"))
	return ok && strings.EqualFold(string(bytes.TrimRight(name, " ")), transferEncoding)
}

// ReadHead reads a head up to and with the empty line that ends it, or the part before an error.
func ReadHead(r *bufio.Reader) (head []byte, err error) {
	for begin := 0; ; {
		part, err := r.ReadSlice('\n')
		head = append(head, part...)
		switch {
		case err == bufio.ErrBufferFull:
			continue
		case err != nil || isEmpty(head[begin:]):
			return head, err
		}
		begin = len(head)
	}
}

// isEmpty reports whether a line is the one that ends a head.
func isEmpty(line []byte) bool { return string(line) == "\r\n" || string(line) == "\n" }
