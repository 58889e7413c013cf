// Package work holds the request and answer types that front ends, decisions
// and endpoint protocols share. They belong to no protocol.
package work

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"

	"cuminbay/internal/domain/ident"
	"cuminbay/internal/domain/unit"
)

// Operation says what an endpoint is asked to do.
type Operation string

// The operations. Call is a request to a plain service.
const (
	Chat        Operation = "chat"
	Completion  Operation = "completion"
	ServiceCall Operation = "call"
)

// Request is one request of a caller, decoded.
type Request struct {
	ID           ident.Request
	Organisation ident.Organisation
	Operation    Operation
	Received     time.Time
	// Deadline is zero for none.
	Deadline time.Time
	Priority unit.Priority

	// Model is set for Chat and Completion.
	Model ident.Model
	// Service, Method, Path and Header are set for Call.
	Service ident.Service
	Method  string
	Path    string
	Header  []Field
	// Body is the caller's body, unchanged.
	Body []byte

	// PromptTokens is an estimate made from the length of the prompt.
	PromptTokens unit.Tokens
	// MaxTokens is the caller's limit of generated tokens, zero for none.
	MaxTokens unit.Tokens
	// PrefixHashes has a hash for each block of the prompt, each covering the
	// prompt from its start, so that equal prefixes have equal hashes.
	PrefixHashes []PrefixHash
	// Resumable says that the answer is plain text of one choice, so that
	// another replica can go on from the text already sent.
	Resumable bool
	// Stream says that the caller takes the answer in pieces.
	Stream bool

	// AtMostOnce marks a request that must not run twice; Key names it.
	AtMostOnce     bool
	IdempotencyKey ident.RequestKey
	Fingerprint    ident.Fingerprint
	// Credential is the caller's Authorization field, unchanged. A relay
	// passes it on, so that daemons need no trust of their own. It must not
	// be logged.
	Credential string
	// Relayed marks a request that came from a daemon of another data
	// centre. It is not relayed again.
	Relayed bool
}

// PrefixHash identifies the start of a prompt up to the end of a block.
type PrefixHash uint64

// Field is a header field.
type Field struct {
	Name  string
	Value string
}

// Head opens an answer.
type Head struct {
	// Status is the HTTP status of a plain service; zero stands for 200.
	Status int
	Header []Field
	// Endpoint says who answers.
	Endpoint ident.Endpoint
}

// Chunk is a part of an answer. Either Text or Raw is set.
type Chunk struct {
	// Text is generated text.
	Text string
	// Raw is passed to the caller unchanged: an engine's event that is more
	// than text, or bytes of a plain service's body.
	Raw []byte
	// Tokens is the number of generated tokens in the piece.
	Tokens unit.Tokens
}

// End closes a whole answer.
type End struct {
	// FinishReason is the engine's reason for the end, such as "stop" or "length".
	FinishReason string
	Usage        Usage
}

// Usage counts the tokens of a request.
type Usage struct {
	Prompt    unit.Tokens `json:"prompt_tokens"`
	Generated unit.Tokens `json:"completion_tokens"`
	Cached    unit.Tokens `json:"cached_tokens"`
}

// FingerprintOf returns the fingerprint of a request's content.
func FingerprintOf(o ident.Organisation, parts ...[]byte) ident.Fingerprint {
	d := xxhash.New()
	writePart(d, []byte(o))
	for _, p := range parts {
		writePart(d, p)
	}
	return ident.Fingerprint(d.Sum64())
}

// writePart hashes the length before the part, so that ("ab","c") and
// ("a","bc") differ.
func writePart(d *xxhash.Digest, part []byte) {
	var length [8]byte
	binary.LittleEndian.PutUint64(length[:], uint64(len(part)))
	_, _ = d.Write(length[:])
	_, _ = d.Write(part)
}

// prefixBlock is the number of bytes of prompt to a prefix hash, about the 64
// tokens of an engine's cache block at four bytes a token.
const prefixBlock = 256

// maxPrefixBlocks bounds the hashes of one request; a longer prompt shares
// what its first 16 kB share.
const maxPrefixBlocks = 64

// HashPrefix returns the prefix hashes of a prompt. The model is part of each,
// as caches of different models share nothing.
func HashPrefix(m ident.Model, prompt []byte) []PrefixHash {
	blocks := min(len(prompt)/prefixBlock, maxPrefixBlocks)
	hashes := make([]PrefixHash, 0, blocks)
	d := xxhash.New()
	writePart(d, []byte(m))
	for i := range blocks {
		_, _ = d.Write(prompt[i*prefixBlock : (i+1)*prefixBlock])
		hashes = append(hashes, PrefixHash(d.Sum64()))
	}
	return hashes
}

// PartialAnswer is the part of an answer that was already passed on, from which another
// endpoint resumes. It is empty for a first attempt.
type PartialAnswer struct {
	Text   string
	Tokens unit.Tokens
}
