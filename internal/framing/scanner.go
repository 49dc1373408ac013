package framing

import (
	"bytes"
	"sync"
)

const (
	// protocolName begins every head.
	protocolName = "HTTP/"
	// maxLine bounds what is kept of a line, in bytes. Heads may be as long as the transports' limit, which is lower.
	maxLine = 1 << 20
)

// scanner follows the bytes of a connection to the end of each answer's last head. An http.Transport writes a request only
// once it has read the answer before.
type scanner struct {
	mu sync.Mutex
	// inHead is set from a request on until the end of its answer's last head.
	inHead bool
	head   headState
	// line is what was read of a line that hasn't ended.
	line []byte
}

// headState is what the lines of a head that were read say.
type headState struct{ begun, old, informational bool }

// requestWritten is called before bytes of a request are written. If its answer's head has come before the rest of the request was
// written, what is read next is no head and passes.
func (s *scanner) requestWritten() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.inHead {
		s.inHead, s.head, s.line = true, headState{}, nil
	}
}

// read is called with bytes of an answer.
func (s *scanner) read(p []byte) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	for s.inHead && len(p) > 0 {
		n := bytes.IndexByte(p, '\n') + 1
		if n == 0 {
			s.line = append(s.line, p...)
			s.inHead = len(s.line) <= maxLine
			return nil
		}
		line := append(s.line, p[:n]...)
		s.line, p = s.line[:0], p[n:]
		if err := s.endLine(line); err != nil {
			return err
		}
	}
	return nil
}

// endLine follows one line of a head.
func (s *scanner) endLine(line []byte) error {
	switch {
	case !s.head.begun:
		s.head = headState{begun: true, old: IsOld(line), informational: isInformational(line)}
		s.inHead = bytes.HasPrefix(line, []byte(protocolName))
	case isEmpty(line):
		s.inHead, s.head = s.head.informational, headState{}
	case s.head.old && namesCoding(line):
		return errEnd
	}
	return nil
}

// isInformational reports whether another head follows the one that a line begins.
func isInformational(line []byte) bool {
	_, status, _ := bytes.Cut(line, []byte(" "))
	return bytes.HasPrefix(status, []byte("1")) && !bytes.HasPrefix(status, []byte("101"))
}
