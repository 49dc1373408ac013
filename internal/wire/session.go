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
	// SessionPath is the HTTP path at which a daemon accepts sessions.
	SessionPath = "/skylark/v1/session"
	// MaxFrameBytes bounds one frame. A Run has a whole prompt.
	MaxFrameBytes = 8 << 20
	// maxHandshakeBytes bounds a frame of a peer that hasn't proved the fleet's key yet.
	maxHandshakeBytes = 16 << 10
	// handshakeTimeout bounds the handshake, including the dial.
	handshakeTimeout = 3 * time.Second
	// writeTimeout bounds the write of one frame. The socket buffers to a stopped peer
	// fill up; without a timeout, a blocked write would hold the locks of all streams
	// on the session forever.
	writeTimeout = 5 * time.Second
	nonceBytes   = 16
)

var (
	// ErrClosed is wrapped by errors of a session that has ended.
	ErrClosed = errors.New("wire: session closed")
	// ErrUnauthenticated is wrapped by errors of a handshake in which the peer didn't
	// prove an accepted key or refused this process's.
	ErrUnauthenticated = errors.New("wire: peer not authenticated")
)

// Handler handles the messages received on a session, one call at a time in order of
// arrival. Handle must not block: that would delay every stream of the session.
type Handler interface {
	// Handle handles a message; ref is not 0 if a reply is expected.
	Handle(s *Session, ref uint32, m protocol.Message)
	// Closed is called once, after the last Handle.
	Closed(s *Session, err error)
}

// Options configure both ends of a session.
type Options struct {
	// Key is the fleet's shared key, which a dialer must prove.
	Key []byte
	// AdditionalKeys are further keys that a dialer may prove instead, so that the
	// fleet's key can be rotated process by process.
	AdditionalKeys [][]byte
	// Self returns this process's identity. It is called at each handshake, because
	// the configuration offset changes.
	Self func() protocol.Identity
	// Handler handles the received messages.
	Handler Handler
	// Traffic counts the sessions' bytes; may be nil.
	Traffic *Traffic
	// Handshakes records which peers accept Key; may be nil.
	Handshakes *Handshakes
}

// Session is an open connection to one peer. Its methods are safe for concurrent use.
type Session struct {
	conn     *websocket.Conn
	peer     protocol.Identity
	ctx      context.Context
	cancel   context.CancelCauseFunc
	liveness *liveness
	traffic  *Traffic

	mu      sync.Mutex
	lastRef uint32
	// calls has the calls that wait for a reply, by reference; waiters counts the
	// MarkAwaited calls that aren't released. The session is awaited while there are
	// any of either.
	calls       map[uint32]chan protocol.Message
	waiters     int
	lastWritten time.Time
	// awaitedSince is when the session last became awaited; waitStarted wakes keepalive
	// then.
	awaitedSince time.Time
	waitStarted  chan struct{}
	// lastReceived is when the last message was received; pings don't count.
	lastReceived time.Time
}

// Dial opens a session to the daemon at address ("ip:port"). It takes at most
// handshakeTimeout. The session outlives ctx.
func Dial(ctx context.Context, address string, opts Options) (*Session, error) {
	handshakeCtx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	l := newLiveness(idlePingInterval)
	conn, resp, err := websocket.Dial(handshakeCtx, "ws://"+address+SessionPath, &websocket.DialOptions{
		HTTPClient:     sessionClient,
		OnPingReceived: l.onPing,
	})
	if err != nil {
		return nil, fmt.Errorf("wire: dial %s: %w", address, err)
	}
	if resp != nil && resp.Body != nil {
		resp.Body.Close()
	}
	conn.SetReadLimit(maxHandshakeBytes)
	peer, err := dialerHandshake(handshakeCtx, conn, opts)
	if err != nil {
		conn.CloseNow()
		opts.Handshakes.recordFailure(address, err)
		return nil, fmt.Errorf("wire: handshake with %s: %w", address, err)
	}
	conn.SetReadLimit(MaxFrameBytes)
	return startSession(conn, peer, address, l, opts), nil
}

// Accept upgrades an HTTP request to a session and returns when the session ends, with
// its cause.
func Accept(w http.ResponseWriter, r *http.Request, opts Options) error {
	l := newLiveness(acceptorPingInterval)
	conn, err := websocket.Accept(w, r, &websocket.AcceptOptions{
		CompressionMode: websocket.CompressionDisabled,
		OnPingReceived:  l.onPing,
	})
	if err != nil {
		return fmt.Errorf("wire: accept %s: %w", r.RemoteAddr, err)
	}
	conn.SetReadLimit(maxHandshakeBytes)
	handshakeCtx, cancel := context.WithTimeout(r.Context(), handshakeTimeout)
	defer cancel()
	peer, err := acceptorHandshake(handshakeCtx, conn, opts)
	if err != nil {
		conn.CloseNow()
		return fmt.Errorf("wire: handshake from %s: %w", r.RemoteAddr, err)
	}
	conn.SetReadLimit(MaxFrameBytes)
	s := startSession(conn, peer, peer.Address, l, opts)
	<-s.ctx.Done()
	return context.Cause(s.ctx)
}

func dialerHandshake(ctx context.Context, conn *websocket.Conn, opts Options) (protocol.Identity, error) {
	var challenge protocol.Challenge
	if err := readHandshake(ctx, conn, &challenge); err != nil {
		return protocol.Identity{}, err
	}
	self := opts.Self()
	hello := &protocol.Hello{Identity: self, MAC: identityMAC(opts.Key, challenge.Nonce, self)}
	if err := writeFrame(ctx, conn, 0, hello); err != nil {
		return protocol.Identity{}, err
	}
	var welcome protocol.Welcome
	if err := readHandshake(ctx, conn, &welcome); err != nil {
		return protocol.Identity{}, err
	}
	if !hmac.Equal(welcome.MAC, identityMAC(opts.Key, hello.MAC, challenge.Identity)) {
		return protocol.Identity{}, ErrUnauthenticated
	}
	return challenge.Identity, nil
}

func acceptorHandshake(ctx context.Context, conn *websocket.Conn, opts Options) (protocol.Identity, error) {
	self := opts.Self()
	challenge := &protocol.Challenge{Nonce: make([]byte, nonceBytes), Identity: self}
	rand.Read(challenge.Nonce)
	if err := writeFrame(ctx, conn, 0, challenge); err != nil {
		return protocol.Identity{}, err
	}
	var hello protocol.Hello
	if err := readHandshake(ctx, conn, &hello); err != nil {
		return protocol.Identity{}, err
	}
	key, ok := opts.matchKey(&hello, challenge.Nonce)
	if !ok {
		// Closing without a message would look like a crash to the dialer. A WebSocket
		// close isn't used, because it waits for the answer of a dialer that may be
		// gone.
		_ = writeFrame(ctx, conn, 0, &protocol.Failure{Refusal: protocol.Refusal{Code: protocol.CodeUnauthorized, Message: "not the fleet's key", Ran: protocol.NotRun}})
		return protocol.Identity{}, ErrUnauthenticated
	}
	// Made with the key that the dialer proved: it may not have our other keys.
	welcome := &protocol.Welcome{MAC: identityMAC(key, hello.MAC, self)}
	return hello.Identity, writeFrame(ctx, conn, 0, welcome)
}

// matchKey returns the accepted key with which a Hello's MAC was made.
func (o *Options) matchKey(hello *protocol.Hello, nonce []byte) ([]byte, bool) {
	for _, key := range slices.Concat([][]byte{o.Key}, o.AdditionalKeys) {
		if hmac.Equal(hello.MAC, identityMAC(key, nonce, hello.Identity)) {
			return key, true
		}
	}
	return nil, false
}

// identityMAC returns the MAC of an identity and the other side's challenge, which is
// fresh in each handshake, so that a handshake can't be replayed.
func identityMAC(key, challenge []byte, id protocol.Identity) []byte {
	mac := hmac.New(sha256.New, key)
	mac.Write(challenge)
	body, err := cbor.Marshal(id)
	if err != nil {
		panic(err) // Identity has only strings and integers
	}
	mac.Write(body)
	return mac.Sum(nil)
}

func readHandshake[M any, P interface {
	*M
	protocol.Message
}](ctx context.Context, conn *websocket.Conn, into P) error {
	_, frame, err := conn.Read(ctx)
	if err != nil {
		return fmt.Errorf("wire: read handshake message: %w", err)
	}
	_, m, err := Decode(frame)
	if err != nil {
		return err
	}
	if failure, ok := m.(*protocol.Failure); ok && failure.Refusal.Code == protocol.CodeUnauthorized {
		return fmt.Errorf("%w: peer refused this process's key", ErrUnauthenticated)
	}
	got, ok := m.(P)
	if !ok {
		return fmt.Errorf("%w: unexpected %T in the handshake", ErrMalformed, m)
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

func startSession(conn *websocket.Conn, peer protocol.Identity, address string, l *liveness, opts Options) *Session {
	ctx, cancel := context.WithCancelCause(context.Background())
	s := &Session{
		conn:        conn,
		peer:        peer,
		ctx:         ctx,
		cancel:      cancel,
		liveness:    l,
		traffic:     opts.Traffic,
		calls:       make(map[uint32]chan protocol.Message),
		lastWritten: time.Now(),

		waitStarted: make(chan struct{}, 1),
	}
	go s.readLoop(opts.Handler, opts.Handshakes.recordSession(peer, address))
	go s.keepalive()
	return s
}

func (s *Session) readLoop(h Handler, ended func()) {
	err := s.readMessages(h)
	s.cancel(err)
	s.conn.CloseNow()
	ended()
	h.Closed(s, err)
}

func (s *Session) readMessages(h Handler) error {
	for {
		_, frame, err := s.conn.Read(s.ctx)
		if err != nil {
			return fmt.Errorf("%w: read: %v", ErrClosed, err)
		}
		s.liveness.markReceived()
		ref, m, err := Decode(frame)
		if errors.Is(err, errUnknownKind) {
			// During a rolling restart, newer builds send messages that this one
			// doesn't know. Closing the session would also end its calls and streams,
			// and again in the next session. An unanswered call ends at its own
			// deadline.
			continue
		}
		if err != nil {
			return err
		}
		s.traffic.received(m, len(frame))
		s.markReceived()
		if !s.deliverReply(ref, m) {
			h.Handle(s, ref, m)
		}
	}
}

func (s *Session) markReceived() {
	now := time.Now()
	s.mu.Lock()
	s.lastReceived = now
	s.mu.Unlock()
}

// LastReceived returns when the last message was received, zero if none was.
func (s *Session) LastReceived() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lastReceived
}

// deliverReply passes a reply to the call that waits for it. It reports whether m is a
// reply. Both directions use the same references; only replies are matched to calls.
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
	return true // a reply to a call that has ended is dropped
}

func isReply(m protocol.Message) bool {
	switch m.(type) {
	case *protocol.Decision, *protocol.Resolved, *protocol.ConfigState, *protocol.Status, *protocol.Explanation, *protocol.Drained, *protocol.Failure, *protocol.Exported:
		return true
	}
	return false
}

// MarkAwaited marks the session as awaited, for instance by the receiver of a stream,
// so that a half-open session is detected within seconds. The caller must call release
// when it no longer waits; further calls of release do nothing.
func (s *Session) MarkAwaited() (release func()) {
	s.mu.Lock()
	s.beginWaitLocked()
	s.waiters++
	s.mu.Unlock()
	return sync.OnceFunc(func() {
		s.mu.Lock()
		s.waiters--
		s.mu.Unlock()
	})
}

func (s *Session) awaited() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.awaitedLocked()
}

// Peer returns the peer's identity, as authenticated in the handshake.
func (s *Session) Peer() protocol.Identity { return s.peer }

// Done is closed when the session has ended.
func (s *Session) Done() <-chan struct{} { return s.ctx.Done() }

// Close ends the session with the cause that Accept and later calls return.
func (s *Session) Close(cause error) {
	s.cancel(cause)
	s.conn.CloseNow()
}

// Send writes a message that has no reply. If the write fails, the session is closed
// and the peer may or may not have received the message.
func (s *Session) Send(m protocol.Message) error { return s.write(0, m) }

// Reply writes the reply to the message received with ref.
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
	s.lastWritten = time.Now()
	s.mu.Unlock()
	return nil
}

// Call sends a request and waits for its reply. A Failure is returned as the reply, not
// as an error.
func (s *Session) Call(ctx context.Context, m protocol.Message) (protocol.Message, error) {
	ch := make(chan protocol.Message, 1)
	s.mu.Lock()
	s.lastRef++
	if s.lastRef == 0 {
		s.lastRef = 1
	}
	ref := s.lastRef
	s.beginWaitLocked()
	s.calls[ref] = ch
	s.mu.Unlock()
	defer s.removeCall(ref)
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

func (s *Session) removeCall(ref uint32) {
	s.mu.Lock()
	delete(s.calls, ref)
	s.mu.Unlock()
}

func (s *Session) idleSince() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lastWritten
}
