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

// Platform is what claims need of the platform.
type Platform interface {
	Get(ctx context.Context, key store.Key) (store.Entry, error)
	Swap(ctx context.Context, s store.Swap) (store.Entry, store.SwapResult, error)
}

// Asker asks another daemon.
type Asker interface {
	Ask(ctx context.Context, to ident.Instance, topic string, body []byte) ([]byte, error)
}

// Options are the parts of Claims.
type Options struct {
	Self     ident.Instance
	Clock    clock.Clock
	Platform Platform
	Asker    Asker
	Rules    Rules
	// Shards is the number of platform values. Every daemon has to use the
	// same number, and it may change only while no claim is retained.
	Shards uint64
	// PauseLimit bounds the time from claim to send.
	PauseLimit time.Duration
	// WriteTimeout bounds the wait for the platform, AskTimeout that for the
	// holder of a claim.
	WriteTimeout time.Duration
	AskTimeout   time.Duration
	// EndDelay is the time for which the end of a claim (done or released)
	// waits for a claim of its shard to share a write with. Until it is
	// written the holder answers for the claim, whose state in the platform
	// is Sent. If the holder crashes before, the claim stays Sent: a request
	// that ended is then refused as of unknown outcome instead of as run, and
	// the key of a request that was not sent stays claimed for the retention.
	// Both refusals are accurate, but say less than they could; nothing runs
	// twice.
	EndDelay time.Duration
	// WriteRate bounds the platform writes a second of this process, repeated
	// ones included, over all shards. WriteBurst is the number of writes that
	// may be begun at once after a time of fewer; in any second there are at
	// most WriteRate+WriteBurst. Claims that wait for a write share it with
	// all others of their shard, and those that wait for longer than
	// WriteTimeout are refused as not run.
	WriteRate  float64
	WriteBurst int
}

// Claims makes and answers for the claims of this process.
type Claims struct {
	Options
	writers   []*shardWriter
	pacer     *pacer
	draining  chan struct{}
	drainOnce sync.Once
	group     sync.WaitGroup
	// attempts holds this process's attempts by nonce until the platform
	// shows how they ended.
	attempts  sync.Map
	writes    atomic.Int64
	confirmed atomic.Int64
}

// New returns Claims that do nothing before Run.
func New(o Options) *Claims {
	c := &Claims{Options: o, draining: make(chan struct{})}
	c.pacer = newPacer(o.Clock, o.WriteRate, o.WriteBurst)
	for i := range o.Shards {
		c.writers = append(c.writers, newShardWriter(c, i))
	}
	return c
}

// Run starts the keeper of each shard with the given function, which runs its
// argument in the background.
func (c *Claims) Run(background func(func(context.Context))) {
	for _, k := range c.writers {
		c.group.Add(1)
		background(func(ctx context.Context) {
			defer c.group.Done()
			k.run(ctx)
		})
	}
}

// Drain waits until the end of every finished claim is in the platform, or the
// context ends. No claim can be made afterwards.
func (c *Claims) Drain(ctx context.Context) error {
	c.drainOnce.Do(func() { close(c.draining) })
	done := make(chan struct{})
	go func() {
		c.group.Wait()
		close(done)
	}()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// stopping reports whether Drain was called.
func (c *Claims) stopping() bool {
	select {
	case <-c.draining:
		return true
	default:
		return false
	}
}

// Writes returns the number of platform writes begun so far, Confirmed that of
// claims confirmed.
func (c *Claims) Writes() int64 { return c.writes.Load() }

// Confirmed returns the number of claims confirmed so far.
func (c *Claims) Confirmed() int64 { return c.confirmed.Load() }

func (c *Claims) writerOf(h Hash) *shardWriter {
	return c.writers[h.Low%c.Shards]
}

// Claim claims the key for one request. It returns once the claim is in the
// platform or refused.
//
// Errors carry code.PlatformUnavailable, code.ClaimsFull, code.KeyReused,
// code.KeyTooOld, code.AlreadyRan, code.KeyInProgress or code.OutcomeUnknown.
func (c *Claims) Claim(ctx context.Context, key ident.RequestKey, organisation ident.Organisation, fingerprint ident.Fingerprint) (SendPermit, error) {
	if t, dated := uuidTime(key); dated && c.Clock.Now().Sub(t) > c.Rules.Retention {
		return nil, code.KeyTooOld.New("key of %s is older than the retention of %s", t.UTC().Format(time.RFC3339), c.Rules.Retention)
	}
	a := c.startAttempt(Proposal{Hash: HashOf(organisation, key), Fingerprint: fingerprint}, 0)
	for {
		r := c.awaitResult(ctx, a)
		next, err := c.resolve(ctx, a, r)
		if err != nil {
			return nil, err
		}
		if next == nil {
			return &sendPermit{attempt: a, claims: c}, nil
		}
		a = next
	}
}

// startAttempt queues an attempt.
func (c *Claims) startAttempt(w Proposal, seen uint64) *attempt {
	for w.Nonce = 0; w.Nonce == 0; {
		w.Nonce = rand.Uint64()
	}
	a := newAttempt(w, c.Clock.Now())
	a.unresolvedNonce = seen
	c.attempts.Store(w.Nonce, a)
	c.writerOf(w.Hash).submit(a)
	return a
}

// awaitResult waits for the attempt's result within the write timeout and gives it
// up otherwise.
func (c *Claims) awaitResult(ctx context.Context, a *attempt) result {
	timer := c.Clock.NewTimer(c.WriteTimeout)
	defer timer.Stop()
	var cause error
	select {
	case r := <-a.result:
		return r
	case <-timer.Chan():
		cause = code.PlatformUnavailable.New("the claim was not confirmed within %s", c.WriteTimeout)
	case <-ctx.Done():
		cause = code.PlatformUnavailable.Wrap(ctx.Err(), "the claim was given up before it was confirmed")
	}
	if a.abandon() {
		return result{err: cause}
	}
	return <-a.result
}

// resolve turns a result into nothing (the claim is confirmed), an error, or
// another attempt.
func (c *Claims) resolve(ctx context.Context, a *attempt, r result) (*attempt, error) {
	if r.err != nil {
		return nil, r.err
	}
	old := r.existing
	switch r.verdict {
	case ShardFull:
		return nil, code.ClaimsFull.New("shard %s is at its limit of %d bytes", c.writerOf(a.proposal.Hash).key, c.Rules.MaxValueBytes)
	case Reused:
		return nil, code.KeyReused.New("the key was used with another request")
	case Exists:
		if old.State == Done {
			return nil, refusalOf(old.Code, old.Holder)
		}
		return c.askHolder(ctx, a, old)
	}
	return nil, nil
}

// askHolder asks the holder of a claim in the state Sent.
func (c *Claims) askHolder(ctx context.Context, a *attempt, old Claim) (*attempt, error) {
	unknown := code.OutcomeUnknown.New("the request may have been sent by %s, which can't say how it ended", old.Holder)
	if a.unresolvedNonce == old.Nonce {
		return nil, unknown
	}
	w := Proposal{Hash: a.proposal.Hash, Fingerprint: a.proposal.Fingerprint}
	reply := c.queryHolder(ctx, old)
	switch reply.Progress {
	case Running, Ended:
		return nil, reply.refusal(old.Holder)
	case Unsent:
		if a.proposal.Supersedes == old.Nonce {
			return nil, unknown
		}
		w.Supersedes = old.Nonce
		return c.startAttempt(w, 0), nil
	}
	// The holder forgets a claim when its end is in the platform, which may
	// have happened since the shard was read: look once more.
	w.Supersedes = a.proposal.Supersedes
	return c.startAttempt(w, old.Nonce), nil
}

// queryHolder returns what the holder knows of its claim, Unheard if it can't be asked.
func (c *Claims) queryHolder(ctx context.Context, old Claim) Reply {
	if old.Holder == c.Self {
		return c.lookup(old.Nonce)
	}
	body, err := json.Marshal(Query{Nonce: old.Nonce})
	if err != nil {
		return Reply{Progress: NotFound}
	}
	ctx, cancel := withTimeout(ctx, c.Clock, c.AskTimeout)
	defer cancel()
	raw, err := c.Asker.Ask(ctx, old.Holder, topic, body)
	if err != nil {
		return Reply{Progress: NotFound}
	}
	var reply Reply
	if err := json.Unmarshal(raw, &reply); err != nil || reply.Check() != nil {
		return Reply{Progress: NotFound}
	}
	return reply
}

func (c *Claims) lookup(nonce uint64) Reply {
	v, found := c.attempts.Load(nonce)
	if !found {
		return Reply{Progress: NotFound}
	}
	return v.(*attempt).progress()
}

// topic names the question about a claim between daemons.
const topic = "claim"

// Topic returns the name of the question that Answer answers.
func (c *Claims) Topic() string { return topic }

// Answer answers another daemon's Query about a claim of this process.
//
// Errors carry code.BadMessage.
func (c *Claims) Answer(_ context.Context, from ident.Instance, body []byte) ([]byte, error) {
	var q Query
	if err := json.Unmarshal(body, &q); err != nil {
		return nil, code.BadMessage.Wrap(err, "claim query of %s", from)
	}
	if err := q.Check(); err != nil {
		return nil, code.BadMessage.Wrap(err, "claim query of %s", from)
	}
	return json.Marshal(c.lookup(q.Nonce))
}

// uuidTime returns the time that a UUIDv7 key carries (RFC 9562, section 5.7).
func uuidTime(key ident.RequestKey) (time.Time, bool) {
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

// withTimeout returns a context that ends after the duration. The one of clockwork
// blocks in Err with a fake clock.
func withTimeout(ctx context.Context, clk clock.Clock, d time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	timer := clk.AfterFunc(d, func() { cancel(context.DeadlineExceeded) })
	return ctx, func() {
		timer.Stop()
		cancel(context.Canceled)
	}
}
