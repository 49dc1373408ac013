// Package prefix turns a prompt into the chain of cache-block hashes that an
// engine keeps, and into the few nested levels that routing works with.
//
// The chain starts from a salt of organisation, model and weights version, so
// that no hash is ever shared across organisations or weights. The hash is the
// one the engines publish in their cache events (docs/INTERFACE.md, section 2).
package prefix

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

const (
	// BytesPerToken is the estimate used wherever tokens are counted from text.
	BytesPerToken = 4
	// BlockTokens is the number of tokens in one cache block.
	BlockTokens = 16
	// BlockBytes is the text length of one cache block.
	BlockBytes = BytesPerToken * BlockTokens
	// MaxLevels bounds the nested levels carried by a request.
	MaxLevels = 8
)

// Hash is a chained block hash.
type Hash uint64

// Message is one chat message, in the shape of the callers' and engines' API.
type Message struct {
	Role    string `json:"role" cbor:"1,keyasint"`
	Content string `json:"content" cbor:"2,keyasint"`
}

// Level is a nested prefix of a prompt: the chained hash of its last whole
// block and its length in tokens (a multiple of BlockTokens).
type Level struct {
	Hash   Hash `cbor:"1,keyasint"`
	Tokens int  `cbor:"2,keyasint"`
}

// Salt identifies whose cache entries a chain may match.
type Salt struct {
	Organisation string
	Model        string
	Weights      string
}

// Root returns the hash before the first block.
func (s Salt) Root() Hash {
	return Hash(xxhash.Sum64String(s.Organisation + "\x00" + s.Model + "\x00" + s.Weights))
}

// Flatten renders messages into the text whose blocks are hashed.
func Flatten(messages []Message) []byte {
	n := 0
	for _, m := range messages {
		n += len(m.Role) + len(m.Content) + len("<||>")
	}
	text := make([]byte, 0, n)
	for _, m := range messages {
		text = appendMessage(text, m)
	}
	return text
}

func appendMessage(text []byte, m Message) []byte {
	text = append(text, "<|"...)
	text = append(text, m.Role...)
	text = append(text, "|>"...)
	return append(text, m.Content...)
}

// EstimateTokens estimates the length of a prompt in tokens, rounded up.
func EstimateTokens(messages []Message) int {
	n := 0
	for _, m := range messages {
		n += len(m.Role) + len(m.Content) + len("<||>")
	}
	return (n + BytesPerToken - 1) / BytesPerToken
}

// Chain returns the chained hash of every whole block of text.
func Chain(root Hash, text []byte) []Hash {
	chain := make([]Hash, 0, len(text)/BlockBytes)
	var buf [8 + BlockBytes]byte
	for h := root; len(text) >= BlockBytes; text = text[BlockBytes:] {
		binary.LittleEndian.PutUint64(buf[:8], uint64(h))
		copy(buf[8:], text[:BlockBytes])
		h = Hash(xxhash.Sum64(buf[:]))
		chain = append(chain, h)
	}
	return chain
}

// Levels returns the nested prefixes that end at message boundaries, shortest
// first, at most MaxLevels of them. The last message is left out unless it is
// the only one: it is the part that is new in each request. A prompt with no
// whole block has no levels. When there are more boundaries than MaxLevels the
// longest ones are dropped, since the shortest are shared by the most requests.
func Levels(root Hash, messages []Message) []Level {
	chain := Chain(root, Flatten(messages))
	var levels []Level
	bytes := 0
	for i, m := range messages {
		if i == len(messages)-1 && i > 0 {
			break
		}
		bytes += len(m.Role) + len(m.Content) + len("<||>")
		blocks := bytes / BlockBytes
		if blocks == 0 || (len(levels) > 0 && levels[len(levels)-1].Tokens == blocks*BlockTokens) {
			continue
		}
		levels = append(levels, Level{Hash: chain[blocks-1], Tokens: blocks * BlockTokens})
		if len(levels) == MaxLevels {
			break
		}
	}
	return levels
}
