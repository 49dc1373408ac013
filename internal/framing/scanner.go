package framing

import (
	"bytes"
	"sync"
)

// maxLine bounds what is kept of a line, in bytes. Heads may be as long as the transports' limit, which is lower.
const maxLine = 1 << 20

// scanner follows the bytes of a connection to the end of each answer's last head.
type scanner struct {
	mu sync.Mutex
	// past is set once the last head of the answer has ended.
	past bool
	head head
	// line is what was read of a line that hasn't ended.
	line []byte
}

// requestBegins is called before each request on a reused connection is written. The answer before it was read.
func (s *scanner) requestBegins() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.past, s.head, s.line = false, head{}, nil
}

// read is called with bytes of an answer.
func (s *scanner) read(p []byte) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	for !s.past && len(p) > 0 {
		n := bytes.IndexByte(p, '\n') + 1
		if n == 0 {
			s.line = append(s.line, p...)
			s.past = len(s.line) > maxLine
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

// endLine follows one line of a head. Bytes that begin no head are left to net/http.
func (s *scanner) endLine(line []byte) error {
	if !s.head.begun && !mayBegin(line) {
		s.past = true
		return nil
	}
	if err := s.head.checkLine(line); err != nil {
		return err
	}
	if s.head.ended {
		s.past, s.head = !s.head.informational, head{}
	}
	return nil
}
