package entry

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"regexp"
	"strconv"
	"strings"
	"time"

	"skylarklead/internal/config"
	"skylarklead/internal/protocol"
)

const (
	maxRequestIDLength = 64
	maxKeyLength       = 255
	maxDeadline        = 24 * time.Hour
	bearerPrefix       = "Bearer "
)

// request holds what all kinds of callers' requests have in common.
type request struct {
	id           string
	state        *config.State
	organisation *config.Organisation
	received     time.Time
	// deadline is when the caller stops waiting.
	deadline time.Time
	// key is the digest of organisation and idempotency key, nil without a key.
	// keyAge is the key's age, 0 if unknown.
	key    []byte
	keyAge time.Duration
}

// requestID returns the caller's request ID if it is safe to log and to forward,
// otherwise a new one.
func requestID(r *http.Request) string {
	id := r.Header.Get("X-Request-Id")
	if validRequestID(id) {
		return id
	}
	return newRequestID()
}

func newRequestID() string {
	var raw [12]byte
	rand.Read(raw[:])
	return hex.EncodeToString(raw[:])
}

func validRequestID(id string) bool {
	if id == "" || len(id) > maxRequestIDLength {
		return false
	}
	for _, c := range []byte(id) {
		letter := 'a' <= c && c <= 'z' || 'A' <= c && c <= 'Z'
		if !letter && (c < '0' || c > '9') && !strings.ContainsRune("-_.", rune(c)) {
			return false
		}
	}
	return true
}

// authenticate finds the organisation of the request's API key. The configuration
// holds only digests of keys.
func authenticate(state *config.State, r *http.Request) (*config.Organisation, *Error) {
	header := r.Header.Get("Authorization")
	if len(header) <= len(bearerPrefix) || !strings.EqualFold(header[:len(bearerPrefix)], bearerPrefix) {
		return nil, refusef(protocol.CodeUnauthorized, "header Authorization must be %q and an API key", bearerPrefix)
	}
	digest := sha256.Sum256([]byte(strings.TrimSpace(header[len(bearerPrefix):])))
	organisation := state.OrganisationByKeyDigest(hex.EncodeToString(digest[:]))
	if organisation == nil {
		return nil, refusef(protocol.CodeUnauthorized, "unknown API key")
	}
	return organisation, nil
}

// callerTimeout returns how long the caller will wait.
func callerTimeout(r *http.Request, defaultTimeout time.Duration) (time.Duration, *Error) {
	text := r.Header.Get("X-Deadline-Ms")
	if text == "" {
		return defaultTimeout, nil
	}
	ms, err := strconv.ParseInt(text, 10, 64)
	if err != nil || ms < 1 || ms > maxDeadline.Milliseconds() {
		return 0, refusef(protocol.CodeBadRequest, "header X-Deadline-Ms must be from 1 to %d", maxDeadline.Milliseconds())
	}
	return time.Duration(ms) * time.Millisecond, nil
}

// idempotencyKey returns a digest of the organisation and the caller's key, so that
// no two organisations share one, and the key's age.
func idempotencyKey(r *http.Request, organisation string) ([]byte, time.Duration, *Error) {
	values := r.Header.Values("Idempotency-Key")
	if len(values) == 0 {
		return nil, 0, nil
	}
	key := values[0]
	if len(values) > 1 || key == "" || len(key) > maxKeyLength {
		return nil, 0, refusef(protocol.CodeBadRequest, "header Idempotency-Key must be given once, with 1 to %d characters", maxKeyLength)
	}
	for _, c := range []byte(key) {
		if c < 0x20 || c > 0x7e {
			return nil, 0, refusef(protocol.CodeBadRequest, "header Idempotency-Key must be printable ASCII")
		}
	}
	digest := sha256.Sum256([]byte(organisation + "\x00" + key))
	return digest[:], keyAge(key, time.Now()), nil
}

// uuidV7 matches UUIDs that begin with their creation time in milliseconds since
// 1970 (RFC 9562, section 5.7).
var uuidV7 = regexp.MustCompile(`^([0-9a-fA-F]{8})-([0-9a-fA-F]{4})-7[0-9a-fA-F]{3}-[89abAB][0-9a-fA-F]{3}-[0-9a-fA-F]{12}$`)

// keyAge returns the age of a key that contains its creation time, else 0. Keys are
// remembered for hours, so the caller's clock may be wrong by minutes.
func keyAge(key string, now time.Time) time.Duration {
	match := uuidV7.FindStringSubmatch(key)
	if match == nil {
		return 0
	}
	ms, err := strconv.ParseInt(match[1]+match[2], 16, 64)
	if err != nil {
		return 0
	}
	return max(now.Sub(time.UnixMilli(ms)), 0)
}
