// Package work holds the decoded requests and answers that front ends, routing
// and endpoint protocols exchange. The types depend on no protocol, so that
// another front end can use the same routing.
package work

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"

	"cuminbay/internal/domain/ident"
	"cuminbay/internal/domain/unit"
)

// Operation says what an endpoint has to do.
type Operation string

// The operations. ServiceCall is a request to a plain service.
const (
	Chat        Operation = "chat"
	Completion  Operation = "completion"
	ServiceCall Operation = "call"
)

// Request is a decoded request of a caller.
type Request struct {
	ID           ident.Request
	Organisation ident.Organisation
	Operation    Operation
	Received     time.Time
	// Deadline is zero if the request has no deadline.
	Deadline time.Time
	Priority unit.Priority

	// Model is set for Chat and Completion.
	Model ident.Model
	// Service, Method, Path and Header are set for ServiceCall.
	Service ident.Service
	Method  string
	Path    string
	Header  []Field
	// Body is the caller's body, unchanged.
	Body []byte

	// PromptTokens is an estimate from the length of the prompt.
	PromptTokens unit.Tokens
	// MaxTokens is the caller's limit of generated tokens, zero for no limit.
	MaxTokens unit.Tokens
	// PrefixHashes has a hash for each block of the prompt. Each hash covers
	// the prompt from its start to the end of the block, so that equal prefixes
	// have equal hashes.
	PrefixHashes []PrefixHash
	// Resumable says that the answer is plain text of one choice, so that
	// another replica can continue after the text already sent.
	Resumable bool
	// Stream says that the caller requested the answer as a stream of chunks.
	Stream bool

	// AtMostOnce marks a request that must not run twice. IdempotencyKey
	// identifies that request.
	AtMostOnce     bool
	IdempotencyKey ident.IdempotencyKey
	Fingerprint    ident.Fingerprint
	// Credential is the caller's Authorization field, unchanged. A relay
	// forwards the credential, so that daemons need not trust each other. It
	// must not be logged.
	Credential string
	// Relayed marks a request that a daemon of another data centre relayed to
	// this daemon. A relayed request is not relayed again.
	Relayed bool
}

// PrefixHash identifies the start of a prompt up to the end of a block.
type PrefixHash uint64

// Field is a header field.
type Field struct {
	Name  string
	Value string
}

// Head is the start of an answer.
type Head struct {
	// Status is the HTTP status of a plain service; zero means 200.
	Status int
	Header []Field
	// Endpoint is the endpoint that answers.
	Endpoint ident.Endpoint
}

// Chunk is a part of an answer. Either Text or Raw is set.
type Chunk struct {
	// Text is generated text.
	Text string
	// Raw is forwarded to the caller unchanged: an engine's event that has more
	// than text, or bytes of a plain service's body.
	Raw []byte
	// Tokens is the number of generated tokens in the chunk.
	Tokens unit.Tokens
}

// End is the end of a complete answer.
type End struct {
	// FinishReason is the reason that the engine states for the end, such as
	// "stop" or "length".
	FinishReason string
	Usage        Usage
}

// Usage counts the tokens of a request.
type Usage struct {
	Prompt    unit.Tokens `json:"prompt_tokens"`
	Generated unit.Tokens `json:"completion_tokens"`
	Cached    unit.Tokens `json:"cached_tokens"`
}

// FingerprintOf returns a hash of the organisation and of the parts of the
// request's content.
func FingerprintOf(o ident.Organisation, parts ...[]byte) ident.Fingerprint {
	d := xxhash.New()
	hashPart(d, []byte(o))
	for _, p := range parts {
		hashPart(d, p)
	}
	return ident.Fingerprint(d.Sum64())
}

// hashPart hashes the length before the part, so that ("ab","c") and
// ("a","bc") have different hashes.
func hashPart(d *xxhash.Digest, part []byte) {
	var length [8]byte
	binary.LittleEndian.PutUint64(length[:], uint64(len(part)))
	_, _ = d.Write(length[:])
	_, _ = d.Write(part)
}

// prefixBlockBytes is the number of prompt bytes for each prefix hash. It
// matches the usual 64 tokens of an engine's cache block at four bytes a token.
const prefixBlockBytes = 256

// maxPrefixBlocks bounds the hashes of one request. Only the first 16 kB of a
// longer prompt are hashed.
const maxPrefixBlocks = 64

// HashPrefix returns the prefix hashes of a prompt. Each hash covers the model,
// since caches of different models share no entries.
func HashPrefix(m ident.Model, prompt []byte) []PrefixHash {
	blocks := min(len(prompt)/prefixBlockBytes, maxPrefixBlocks)
	hashes := make([]PrefixHash, 0, blocks)
	d := xxhash.New()
	hashPart(d, []byte(m))
	for i := range blocks {
		_, _ = d.Write(prompt[i*prefixBlockBytes : (i+1)*prefixBlockBytes])
		hashes = append(hashes, PrefixHash(d.Sum64()))
	}
	return hashes
}

// PartialAnswer is the part of an answer that the caller already has. Another
// endpoint resumes the answer after that part. It is empty for a first attempt.
type PartialAnswer struct {
	Text   string
	Tokens unit.Tokens
}
