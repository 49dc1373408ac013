package wire

import "skylarklead/internal/protocol"

import "sync/atomic"

// Traffic counts the bytes of frames on a process's sessions, without those of
// the opening handshake and of the WebSocket and TCP framing. Control is all
// that is not a request or an answer.
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
