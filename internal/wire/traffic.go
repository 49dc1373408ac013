package wire

import "skylarklead/internal/protocol"

import "sync/atomic"

// Traffic counts the bytes of the frames on a process's sessions, without those of
// the handshakes and without WebSocket and TCP overhead. Data are requests, answers
// and exported cache blocks with their flow control; Control is everything else. Its
// methods do nothing on nil.
type Traffic struct {
	ControlSent, ControlReceived atomic.Int64
	DataSent, DataReceived       atomic.Int64
}

func (t *Traffic) sent(m protocol.Message, bytes int) {
	if t == nil {
		return
	}
	if isData(m) {
		t.DataSent.Add(int64(bytes))
		return
	}
	t.ControlSent.Add(int64(bytes))
}

func (t *Traffic) received(m protocol.Message, bytes int) {
	if t == nil {
		return
	}
	if isData(m) {
		t.DataReceived.Add(int64(bytes))
		return
	}
	t.ControlReceived.Add(int64(bytes))
}

func isData(m protocol.Message) bool {
	switch m.(type) {
	case *protocol.Run, *protocol.Start, *protocol.Chunk, *protocol.End, *protocol.Credit, *protocol.Export, *protocol.Exported:
		return true
	}
	return false
}
