package wire

import (
	"context"
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/coder/websocket"
	"github.com/fxamacker/cbor/v2"

	"skylarklead/internal/protocol"
)

const (
	// SessionPath is where a daemon serves its peers.
	SessionPath = "/skylark/v1/session"
	// MaxFrameBytes bounds one frame; a Run carries a whole prompt.
	MaxFrameBytes = 8 << 20
	// openTimeout bounds the opening handshake.
	openTimeout = 3 * time.Second
	// writeTimeout bounds one frame's write. A peer that is stopped fills its
	// socket's buffers; without the bound one such peer would hold the lock of
	// every stream on its session for ever.
	writeTimeout = 5 * time.Second
	nonceBytes   = 16
)

var (
	// ErrClosed is returned for a session that has ended.
	ErrClosed = errors.New("wire: session closed")
	// ErrUnauthenticated is returned when the peer doesn't have the fleet key.
	ErrUnauthenticated = errors.New("wire: peer not authenticated")
)

// Handler gets what arrives on a session, one call at a time in order of
// arrival. Handle must not block: it would hold up every stream of the session.
type Handler interface {
	// Handle takes a message; ref is not 0 if a reply is expected.
	Handle(s *Session, ref uint32, m protocol.Message)
	// Closed is called once, after the last Handle.
	Closed(s *Session, err error)
}

// Options are what both ends of a session need.
type Options struct {
	// Key is the fleet's shared key. A dialer proves it.
	Key []byte
	// AdditionalKeys are further keys that a dialer may prove instead, so that a fleet
	// can go from one key to another process by process.
	AdditionalKeys [][]byte
	// Self is called at each opening, since the configuration offset changes.
	Self func() protocol.Identity
	// Handler gets the messages.
	Handler Handler
	// Traffic counts the sessions' bytes; nil counts nothing.
	Traffic *Traffic
	// Handshakes keeps which peers take Key; nil keeps nothing.
	Handshakes *Handshakes
}

// Session is an open connection to one peer. Its methods may be called from any
// goroutine.
type Session struct {
	conn    *websocket.Conn
	peer    protocol.Identity
	ctx     context.Context
	cancel  context.CancelCauseFunc
	pulse   *pulse
	traffic *Traffic

	mu      sync.Mutex
	lastRef uint32
	calls   map[uint32]chan protocol.Message
	holds   int
	used    time.Time
	// awaitedAt is when the present wait for the peer began; waitBegan wakes
	// keepalive then.
	awaitedAt time.Time
	waitBegan chan struct{}
	heard     time.Time
}

// Dial opens a session to the daemon at address ("ip:port").
func Dial(ctx context.Context, address string, opts Options) (*Session, error) {
	openCtx, cancel := context.WithTimeout(ctx, openTimeout)
	defer cancel()
	p := newPulse(idlePingInterval)
	conn, resp, err := websocket.Dial(openCtx, "ws://"+address+SessionPath, &websocket.DialOptions{
		HTTPClient:     dialer,
		OnPingReceived: p.pinged,
	})
	if err != nil {
		return nil, fmt.Errorf("wire: dial %s: %w", address, err)
	}
	if resp != nil && resp.Body != nil {
		resp.Body.Close()
	}
	conn.SetReadLimit(MaxFrameBytes)
	peer, err := openDialer(openCtx, conn, opts)
	if err != nil {
		conn.CloseNow()
		opts.Handshakes.failed(address, err)
		return nil, fmt.Errorf("wire: open to %s: %w", address, err)
	}
	return start(conn, peer, address, p, opts), nil
}

// Accept serves one peer's session on an HTTP request and returns when it ends.
func Accept(w http.ResponseWriter, r *http.Request, opts Options) error {
	p := newPulse(acceptorPingInterval)
	conn, err := websocket.Accept(w, r, &websocket.AcceptOptions{
		CompressionMode: websocket.CompressionDisabled,
		OnPingReceived:  p.pinged,
	})
	if err != nil {
		return fmt.Errorf("wire: accept %s: %w", r.RemoteAddr, err)
	}
	conn.SetReadLimit(MaxFrameBytes)
	openCtx, cancel := context.WithTimeout(r.Context(), openTimeout)
	defer cancel()
	peer, err := openAcceptor(openCtx, conn, opts)
	if err != nil {
		conn.CloseNow()
		return fmt.Errorf("wire: open from %s: %w", r.RemoteAddr, err)
	}
	s := start(conn, peer, peer.Address, p, opts)
	<-s.ctx.Done()
	return context.Cause(s.ctx)
}

func openDialer(ctx context.Context, conn *websocket.Conn, opts Options) (protocol.Identity, error) {
	var ch protocol.Challenge
	if err := readOpening(ctx, conn, &ch); err != nil {
		return protocol.Identity{}, err
	}
	self := opts.Self()
	hello := &protocol.Hello{Identity: self, MAC: identityMAC(opts.Key, ch.Nonce, self)}
	if err := writeFrame(ctx, conn, 0, hello); err != nil {
		return protocol.Identity{}, err
	}
	var welcome protocol.Welcome
	if err := readOpening(ctx, conn, &welcome); err != nil {
		return protocol.Identity{}, err
	}
	if !hmac.Equal(welcome.MAC, identityMAC(opts.Key, hello.MAC, ch.Identity)) {
		return protocol.Identity{}, ErrUnauthenticated
	}
	return ch.Identity, nil
}

func openAcceptor(ctx context.Context, conn *websocket.Conn, opts Options) (protocol.Identity, error) {
	self := opts.Self()
	ch := &protocol.Challenge{Nonce: make([]byte, nonceBytes), Identity: self}
	rand.Read(ch.Nonce)
	if err := writeFrame(ctx, conn, 0, ch); err != nil {
		return protocol.Identity{}, err
	}
	var hello protocol.Hello
	if err := readOpening(ctx, conn, &hello); err != nil {
		return protocol.Identity{}, err
	}
	key, ok := opts.proven(&hello, ch.Nonce)
	if !ok {
		// An end without a word would look like a crash to the dialer, who may be
		// gone. A WebSocket close would have us wait for its answer.
		_ = writeFrame(ctx, conn, 0, &protocol.Failure{Refusal: protocol.Refusal{Code: protocol.CodeUnauthorized, Message: "not the fleet's key", Ran: protocol.NotRun}})
		return protocol.Identity{}, ErrUnauthenticated
	}
	// By the dialer's own key: it may not have any other of ours.
	welcome := &protocol.Welcome{MAC: identityMAC(key, hello.MAC, self)}
	return hello.Identity, writeFrame(ctx, conn, 0, welcome)
}

// proven returns the accepted key that a Hello was made with.
func (o *Options) proven(hello *protocol.Hello, nonce []byte) ([]byte, bool) {
	for _, key := range slices.Concat([][]byte{o.Key}, o.AdditionalKeys) {
		if hmac.Equal(hello.MAC, identityMAC(key, nonce, hello.Identity)) {
			return key, true
		}
	}
	return nil, false
}

// identityMAC binds an identity to the other side's fresh bytes, so that an
// opening can't be replayed.
func identityMAC(key, fresh []byte, id protocol.Identity) []byte {
	mac := hmac.New(sha256.New, key)
	mac.Write(fresh)
	body, err := cbor.Marshal(id)
	if err != nil {
		panic(err) // Identity has only strings and integers
	}
	mac.Write(body)
	return mac.Sum(nil)
}

func readOpening[M any, P interface {
	*M
	protocol.Message
}](ctx context.Context, conn *websocket.Conn, into P) error {
	_, frame, err := conn.Read(ctx)
	if err != nil {
		return fmt.Errorf("wire: opening: %w", err)
	}
	_, m, err := Decode(frame)
	if err != nil {
		return err
	}
	if refused, ok := m.(*protocol.Failure); ok && refused.Refusal.Code == protocol.CodeUnauthorized {
		return fmt.Errorf("%w: it refused this process's key", ErrUnauthenticated)
	}
	got, ok := m.(P)
	if !ok {
		return fmt.Errorf("%w: %T in the opening", ErrMalformed, m)
	}
	*into = *got
	return nil
}

func writeFrame(ctx context.Context, conn *websocket.Conn, ref uint32, m protocol.Message) error {
	frame, err := Encode(ref, m)
	if err != nil {
		return err
	}
	return conn.Write(ctx, websocket.MessageBinary, frame)
}

func start(conn *websocket.Conn, peer protocol.Identity, address string, p *pulse, opts Options) *Session {
	ctx, cancel := context.WithCancelCause(context.Background())
	s := &Session{
		conn:    conn,
		peer:    peer,
		ctx:     ctx,
		cancel:  cancel,
		pulse:   p,
		traffic: opts.Traffic,
		calls:   make(map[uint32]chan protocol.Message),
		used:    time.Now(),

		waitBegan: make(chan struct{}, 1),
	}
	go s.read(opts.Handler, opts.Handshakes.opened(peer, address))
	go s.keepalive()
	return s
}

func (s *Session) read(h Handler, ended func()) {
	err := s.readAll(h)
	s.cancel(err)
	s.conn.CloseNow()
	ended()
	h.Closed(s, err)
}

func (s *Session) readAll(h Handler) error {
	for {
		_, frame, err := s.conn.Read(s.ctx)
		if err != nil {
			return fmt.Errorf("%w: read: %v", ErrClosed, err)
		}
		s.pulse.beat()
		ref, m, err := Decode(frame)
		if errors.Is(err, errUnknownKind) {
			// In a rolling restart a newer build sends what this one doesn't know.
			// Ended for it, the session would take the calls and streams on it
			// along, and the next one too. A call waits for its own deadline.
			continue
		}
		if err != nil {
			return err
		}
		s.traffic.received(m, len(frame))
		s.noteHeard()
		if !s.deliverReply(ref, m) {
			h.Handle(s, ref, m)
		}
	}
}

func (s *Session) noteHeard() {
	now := time.Now()
	s.mu.Lock()
	s.heard = now
	s.mu.Unlock()
}

// LastReceived is when the last message came from the peer, zero if none has.
func (s *Session) LastReceived() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.heard
}

// deliverReply hands a reply to the call that waits for it. References of the
// two directions are told apart by the message: only replies match a call.
func (s *Session) deliverReply(ref uint32, m protocol.Message) bool {
	if ref == 0 || !isReply(m) {
		return false
	}
	s.mu.Lock()
	ch, ok := s.calls[ref]
	delete(s.calls, ref)
	s.mu.Unlock()
	if ok {
		ch <- m
	}
	return true // a reply that nobody waits for any more is dropped
}

func isReply(m protocol.Message) bool {
	switch m.(type) {
	case *protocol.Decision, *protocol.Resolved, *protocol.ConfigState, *protocol.Status, *protocol.Explanation, *protocol.Drained, *protocol.Failure, *protocol.Exported:
		return true
	}
	return false
}

// MarkAwaited marks that somebody waits for the peer, as the receiver of a stream
// does, so that a half-open session is found within seconds. The returned
// function ends it and may be called more than once.
func (s *Session) MarkAwaited() (release func()) {
	s.mu.Lock()
	s.beginWait()
	s.holds++
	s.mu.Unlock()
	return sync.OnceFunc(func() {
		s.mu.Lock()
		s.holds--
		s.mu.Unlock()
	})
}

func (s *Session) awaited() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.isAwaited()
}

// Peer returns who is at the other end, as authenticated at the opening.
func (s *Session) Peer() protocol.Identity { return s.peer }

// Done is closed when the session has ended.
func (s *Session) Done() <-chan struct{} { return s.ctx.Done() }

// Close ends the session.
func (s *Session) Close(cause error) {
	s.cancel(cause)
	s.conn.CloseNow()
}

// Send writes a message that has no reply. After an error the session is closed
// and the peer may or may not have got the message.
func (s *Session) Send(m protocol.Message) error { return s.write(0, m) }

// Reply answers the message that came with ref.
func (s *Session) Reply(ref uint32, m protocol.Message) error { return s.write(ref, m) }

func (s *Session) write(ref uint32, m protocol.Message) error {
	if s.ctx.Err() != nil {
		return context.Cause(s.ctx)
	}
	ctx, cancel := context.WithTimeout(s.ctx, writeTimeout)
	defer cancel()
	frame, err := Encode(ref, m)
	if err != nil {
		return err
	}
	if err := s.conn.Write(ctx, websocket.MessageBinary, frame); err != nil {
		err = fmt.Errorf("%w: write: %v", ErrClosed, err)
		s.Close(err)
		return err
	}
	s.traffic.sent(m, len(frame))
	s.mu.Lock()
	s.used = time.Now()
	s.mu.Unlock()
	return nil
}

// Call sends a request and waits for its reply. A Failure comes back as it is.
func (s *Session) Call(ctx context.Context, m protocol.Message) (protocol.Message, error) {
	ch := make(chan protocol.Message, 1)
	s.mu.Lock()
	s.lastRef++
	if s.lastRef == 0 {
		s.lastRef = 1
	}
	ref := s.lastRef
	s.beginWait()
	s.calls[ref] = ch
	s.mu.Unlock()
	defer s.forget(ref)
	if err := s.write(ref, m); err != nil {
		return nil, err
	}
	select {
	case reply := <-ch:
		return reply, nil
	case <-ctx.Done():
		return nil, fmt.Errorf("wire: call %T: %w", m, ctx.Err())
	case <-s.ctx.Done():
		return nil, context.Cause(s.ctx)
	}
}

func (s *Session) forget(ref uint32) {
	s.mu.Lock()
	delete(s.calls, ref)
	s.mu.Unlock()
}

func (s *Session) idleSince() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.used
}
