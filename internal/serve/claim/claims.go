package claim

import (
	"context"
	"encoding/hex"
	"encoding/json"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"cuminbay/internal/domain/code"
	"cuminbay/internal/domain/ident"
	"cuminbay/internal/domain/store"
	"cuminbay/internal/kernel/clock"
)

// Store is the part of the platform's key-value store that claims use.
type Store interface {
	Get(ctx context.Context, key store.Key) (store.Entry, error)
	Swap(ctx context.Context, s store.Swap) (store.Entry, store.SwapResult, error)
}

// PeerClient sends a query to another daemon.
type PeerClient interface {
	Ask(ctx context.Context, to ident.Instance, topic string, body []byte) ([]byte, error)
}

// Options are the dependencies and settings of Claims.
type Options struct {
	Self  ident.Instance
	Clock clock.Clock
	Store Store
	Peers PeerClient
	Rules Rules
	// Shards is the number of store keys over which claims are spread. All
	// daemons must use the same number, and it may change only while no claim
	// is retained.
	Shards uint64
	// PauseLimit bounds the time from the start of a claim to the send.
	PauseLimit time.Duration
	// WriteTimeout bounds the wait for the store, QueryTimeout the wait for
	// the holder of a conflicting claim.
	WriteTimeout time.Duration
	QueryTimeout time.Duration
	// TerminalDelay is the time for which the terminal state of a claim (Done or
	// Released) waits to share a write with a new claim of its shard. Until
	// then the state in the store is Sent, and the holder answers queries about
	// the claim. If the holder crashes in this time, the claim stays Sent. A
	// request that ended is then refused with an unknown outcome instead of as
	// already run, and the key of a request that was not sent stays claimed for
	// the retention. Both refusals are accurate but less specific than
	// possible, and no request runs twice.
	TerminalDelay time.Duration
	// WriteRate bounds the store writes per second of this process over all
	// shards, including repeated writes. WriteBurst is the number of writes
	// that may start at once after an idle time; in any second there are at
	// most WriteRate+WriteBurst. Claims of one shard that wait for a write
	// share it. Claims that wait for longer than WriteTimeout are refused as
	// not run.
	WriteRate  float64
	WriteBurst int
}

// Claims makes the claims of this process and answers queries about them.
type Claims struct {
	Options
	writers     []*shardWriter
	pacer       *pacer
	draining    chan struct{}
	drainOnce   sync.Once
	writerGroup sync.WaitGroup
	// attempts holds this process's attempts by nonce until their terminal
	// states are in the store.
	attempts       sync.Map
	writeCount     atomic.Int64
	confirmedCount atomic.Int64
}

// New returns Claims. No claim completes before StartWriters is called.
func New(o Options) *Claims {
	c := &Claims{Options: o, draining: make(chan struct{})}
	c.pacer = newPacer(o.Clock, o.WriteRate, o.WriteBurst)
	for i := range o.Shards {
		c.writers = append(c.writers, newShardWriter(c, i))
	}
	return c
}

// StartWriters starts the writer of each shard. The function background runs its
// argument in a goroutine.
func (c *Claims) StartWriters(background func(func(context.Context))) {
	for _, w := range c.writers {
		c.writerGroup.Add(1)
		background(func(ctx context.Context) {
			defer c.writerGroup.Done()
			w.runCycles(ctx)
		})
	}
}

// Drain waits until the terminal states of all ended claims are in the store, or
// until the context ends. No claim can be made after the call.
func (c *Claims) Drain(ctx context.Context) error {
	c.drainOnce.Do(func() { close(c.draining) })
	done := make(chan struct{})
	go func() {
		c.writerGroup.Wait()
		close(done)
	}()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// isDraining reports whether Drain was called.
func (c *Claims) isDraining() bool {
	select {
	case <-c.draining:
		return true
	default:
		return false
	}
}

// WriteCount returns the number of store writes that were started since the start of
// the process.
func (c *Claims) WriteCount() int64 { return c.writeCount.Load() }

// ConfirmedCount returns the number of claims that were confirmed since the start of
// the process.
func (c *Claims) ConfirmedCount() int64 { return c.confirmedCount.Load() }

func (c *Claims) writerOf(h Hash) *shardWriter {
	return c.writers[h.Low%c.Shards]
}

// Claim claims the key for one request. It returns when the claim is in the store
// or refused.
//
// Errors carry code.PlatformUnavailable, code.ClaimsFull, code.KeyReused,
// code.KeyTooOld, code.AlreadyRan, code.KeyInProgress or code.OutcomeUnknown.
func (c *Claims) Claim(ctx context.Context, key ident.IdempotencyKey, organisation ident.Organisation, fingerprint ident.Fingerprint) (SendPermit, error) {
	if t, dated := uuidTime(key); dated && c.Clock.Now().Sub(t) > c.Rules.Retention {
		return nil, code.KeyTooOld.New("claim key: the key was created at %s, expected a key that is younger than the retention of claims, %s", t.UTC().Format(time.RFC3339), c.Rules.Retention)
	}
	a := c.startAttempt(Proposal{Hash: HashOf(organisation, key), Fingerprint: fingerprint}, 0)
	for {
		r := c.awaitResult(ctx, a)
		next, err := c.handleResult(ctx, a, r)
		if err != nil {
			return nil, err
		}
		if next == nil {
			return &sendPermit{attempt: a, claims: c}, nil
		}
		a = next
	}
}

// startAttempt submits an attempt to the writer of its shard. unresolvedNonce is
// zero or the nonce of a conflicting claim for which the holder has no attempt.
func (c *Claims) startAttempt(p Proposal, unresolvedNonce uint64) *attempt {
	for p.Nonce = 0; p.Nonce == 0; {
		p.Nonce = rand.Uint64()
	}
	a := newAttempt(p, c.Clock.Now())
	a.unresolvedNonce = unresolvedNonce
	c.attempts.Store(p.Nonce, a)
	c.writerOf(p.Hash).submitAttempt(a)
	return a
}

// awaitResult waits for the attempt's result. It abandons the attempt after the
// write timeout or when the context ends.
func (c *Claims) awaitResult(ctx context.Context, a *attempt) attemptResult {
	timer := c.Clock.NewTimer(c.WriteTimeout)
	defer timer.Stop()
	var cause error
	select {
	case r := <-a.result:
		return r
	case <-timer.Chan():
		cause = code.PlatformUnavailable.New("claim key: the claim was not confirmed within %s", c.WriteTimeout)
	case <-ctx.Done():
		cause = code.PlatformUnavailable.Wrap(ctx.Err(), "claim key: the claim was abandoned before it was confirmed")
	}
	if a.abandon() {
		return attemptResult{err: cause}
	}
	return <-a.result
}

// handleResult returns an error if the result refuses the claim, and the next
// attempt if the claim has to be tried again. It returns neither if the claim is
// confirmed.
func (c *Claims) handleResult(ctx context.Context, a *attempt, r attemptResult) (*attempt, error) {
	if r.err != nil {
		return nil, r.err
	}
	existing := r.existing
	switch r.decision {
	case ShardFull:
		return nil, code.ClaimsFull.New("claim key: shard %s has reached its limit of %d bytes", c.writerOf(a.proposal.Hash).key, c.Rules.MaxValueBytes)
	case Reused:
		return nil, code.KeyReused.New("claim key: the key was used before with a different request")
	case Exists:
		if existing.State == Done {
			return nil, refusalOf(existing.Code, existing.Holder)
		}
		return c.resolveConflict(ctx, a, existing)
	}
	return nil, nil
}

// resolveConflict handles a conflict with a claim in the state Sent: it queries the
// holder of that claim about the end of its request.
func (c *Claims) resolveConflict(ctx context.Context, a *attempt, existing Claim) (*attempt, error) {
	unknown := code.OutcomeUnknown.New("claim key: daemon %s may have sent an earlier request with this key and has not reported how that request ended", existing.Holder)
	if a.unresolvedNonce == existing.Nonce {
		return nil, unknown
	}
	p := Proposal{Hash: a.proposal.Hash, Fingerprint: a.proposal.Fingerprint}
	reply := c.queryHolder(ctx, existing)
	switch reply.Progress {
	case Running, Ended:
		return nil, reply.refusal(existing.Holder)
	case Unsent:
		if a.proposal.Supersedes == existing.Nonce {
			return nil, unknown
		}
		p.Supersedes = existing.Nonce
		return c.startAttempt(p, 0), nil
	}
	// A holder removes its attempt once the terminal state of the claim is in
	// the store. This may have happened after the shard was read, so the shard
	// is read again.
	p.Supersedes = a.proposal.Supersedes
	return c.startAttempt(p, existing.Nonce), nil
}

// queryHolder asks the holder of the claim for its progress. The reply is
// NotFound if the query fails.
func (c *Claims) queryHolder(ctx context.Context, existing Claim) Reply {
	if existing.Holder == c.Self {
		return c.progressOf(existing.Nonce)
	}
	body, err := json.Marshal(Query{Nonce: existing.Nonce})
	if err != nil {
		return Reply{Progress: NotFound}
	}
	ctx, cancel := withTimeout(ctx, c.Clock, c.QueryTimeout)
	defer cancel()
	raw, err := c.Peers.Ask(ctx, existing.Holder, topic, body)
	if err != nil {
		return Reply{Progress: NotFound}
	}
	var reply Reply
	if err := json.Unmarshal(raw, &reply); err != nil || reply.Check() != nil {
		return Reply{Progress: NotFound}
	}
	return reply
}

// progressOf returns the progress of this process's attempt with the nonce.
func (c *Claims) progressOf(nonce uint64) Reply {
	v, found := c.attempts.Load(nonce)
	if !found {
		return Reply{Progress: NotFound}
	}
	return v.(*attempt).progressReply()
}

// topic is the topic of queries about claims between daemons.
const topic = "claim"

// Topic returns the topic of the queries that Answer answers.
func (c *Claims) Topic() string { return topic }

// Answer answers another daemon's Query about a claim of this process.
//
// Errors carry code.BadMessage.
func (c *Claims) Answer(_ context.Context, from ident.Instance, body []byte) ([]byte, error) {
	var q Query
	if err := json.Unmarshal(body, &q); err != nil {
		return nil, code.BadMessage.Wrap(err, "decode claim query from %s", from)
	}
	if err := q.Check(); err != nil {
		return nil, code.BadMessage.Wrap(err, "claim query from %s", from)
	}
	return json.Marshal(c.progressOf(q.Nonce))
}

// uuidTime returns the timestamp of a key that is a UUIDv7 (RFC 9562, section
// 5.7). It reports false for any other key.
func uuidTime(key ident.IdempotencyKey) (time.Time, bool) {
	const (
		textLength  = 36
		versionByte = 6
		variantByte = 8
	)
	if len(key) != textLength {
		return time.Time{}, false
	}
	raw, err := hex.DecodeString(strings.ReplaceAll(string(key), "-", ""))
	if err != nil || len(raw) != 16 || raw[versionByte]>>4 != 7 || raw[variantByte]>>6 != 0b10 {
		return time.Time{}, false
	}
	var ms int64
	for _, b := range raw[:6] {
		ms = ms<<8 | int64(b)
	}
	return time.UnixMilli(ms), true
}

// withTimeout returns a context that ends after the timeout. It replaces
// clockwork.WithTimeout, whose contexts block in Err with a fake clock.
func withTimeout(ctx context.Context, clk clock.Clock, timeout time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	timer := clk.AfterFunc(timeout, func() { cancel(context.DeadlineExceeded) })
	return ctx, func() {
		timer.Stop()
		cancel(context.Canceled)
	}
}
