// Package prefix computes the chain of cache-block hashes of a prompt, as an engine does, and the
// few nested levels that requests are routed by.
//
// The chain starts from a salt of organisation, model and weights version, so that no hash is
// shared across organisations or weights. The hashes equal those that engines publish in their
// cache events (docs/INTERFACE.md, section 2).
package prefix

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

const (
	// BytesPerToken is the estimated text length of one token, used wherever tokens are counted
	// from text.
	BytesPerToken = 4
	// BlockTokens is the number of tokens in one cache block.
	BlockTokens = 16
	// BlockBytes is the text length of one cache block.
	BlockBytes = BytesPerToken * BlockTokens
	// MaxLevels bounds the nested levels that a request carries.
	MaxLevels = 8
)

// Hash is the hash of a block chained with the hash of the block before it.
type Hash uint64

// Message is one chat message, with the fields of the callers' and the engines' API.
type Message struct {
	Role    string `json:"role" cbor:"1,keyasint"`
	Content string `json:"content" cbor:"2,keyasint"`
}

// Level is one of the nested prefixes of a prompt: the chained hash of its last whole block, and
// its length in tokens, a multiple of BlockTokens.
type Level struct {
	Hash   Hash `cbor:"1,keyasint"`
	Tokens int  `cbor:"2,keyasint"`
}

// Salt identifies the scope within which prompts may share cache blocks.
type Salt struct {
	Organisation string
	Model        string
	Weights      string
}

// Root returns the hash that the first block is chained with.
func (s Salt) Root() Hash {
	return Hash(xxhash.Sum64String(s.Organisation + "\x00" + s.Model + "\x00" + s.Weights))
}

// Flatten renders messages as the text whose blocks are hashed.
func Flatten(messages []Message) []byte {
	size := 0
	for _, m := range messages {
		size += len(m.Role) + len(m.Content) + len("<||>")
	}
	text := make([]byte, 0, size)
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

// EstimateTokens returns the estimated length of a prompt in tokens, rounded up.
func EstimateTokens(messages []Message) int {
	size := 0
	for _, m := range messages {
		size += len(m.Role) + len(m.Content) + len("<||>")
	}
	return (size + BytesPerToken - 1) / BytesPerToken
}

// Chain returns the chained hash of each whole block of text.
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

// Levels returns the nested prefixes that end at message boundaries, rounded down to whole blocks,
// shortest first and at most MaxLevels of them. The last message is left out unless it is the only
// one, since it is new in each request. A prompt without a whole block has no levels. If there are
// more than MaxLevels boundaries, the longest prefixes are dropped, since the shortest ones are
// shared by the most requests.
func Levels(root Hash, messages []Message) []Level {
	chain := Chain(root, Flatten(messages))
	var levels []Level
	size := 0
	for i, m := range messages {
		if i == len(messages)-1 && i > 0 {
			break
		}
		size += len(m.Role) + len(m.Content) + len("<||>")
		blocks := size / BlockBytes
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
