// Package framing rejects answers that net/http accepts although their heads aren't those of answers in the protocol, or whose end
// it looks for elsewhere than their sender put it. It tells the orderly end of a connection from its failure.
//
// net/http accepts each three digits as a status, blanks in the names of fields, and folded lines. It ignores the transfer
// coding of an answer of a version before HTTP/1.1, and a length or coding with a blank in its name. Such an answer would be
// taken for one that the end of its connection ends, with the chunks' framing as its body.
package framing

import (
	"errors"
	"fmt"
)

// ErrFaulty reports an answer that isn't one in the protocol. Errors of this package wrap it.
var ErrFaulty = errors.New("framing: faulty answer")

var (
	errEnd    = fmt.Errorf("%w: its end can't be told", ErrFaulty)
	errStatus = fmt.Errorf("%w: not a status line", ErrFaulty)
	errField  = fmt.Errorf("%w: a line of its head isn't a field", ErrFaulty)
)
