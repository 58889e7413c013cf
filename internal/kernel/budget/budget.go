// Package budget bounds the memory, connections and file descriptors that callers, and clients of the
// ports for other daemons, can make the process use. Each connection has an Account, from which memory
// is reserved before it is allocated. While there is room, a reservation takes atomics only. When
// there is none, connections that hold memory without need are ended.
package budget

import (
	"errors"
	"math"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"
	"golang.org/x/time/rate"

	"cuminbay/internal/domain/unit"
	"cuminbay/internal/kernel/clock"
)

// ErrNoRoom says that a request was refused before it ran, since the budget is used up.
var ErrNoRoom = errors.New("the budget of bytes for callers is used up")

// ErrRepliesFull says that a reply was given up, since the budget of bytes for replies is used up and
// no larger one could be ended.
var ErrRepliesFull = errors.New("the budget of bytes for replies is used up")

// ErrTooLarge says that a body exceeds the limit.
var ErrTooLarge = errors.New("the body exceeds the limit")

// RetryAfter is the time after which a refused caller may try again. Connections without progress
// are ended within about this time.
const RetryAfter = time.Second

// Options are the limits and dependencies of a Budget.
type Options struct {
	Clock clock.Clock
	Log   zerolog.Logger
	// Capacity is the number of bytes that all accounts may hold together.
	Capacity unit.Bytes
	// Connections has the highest number of connections of each kind. A kind that is absent has no
	// limit.
	Connections map[Kind]int
	// KeptConnections is the highest number of idle connections to servers that are kept for further
	// requests. Zero means no limit.
	KeptConnections int
	// AddressShare is the share of the capacity and of the connections above which the connections
	// of one peer address are ended before those of others.
	AddressShare float64
	// MinRate is the rate, in bytes a second, below which a connection counts as slow.
	MinRate unit.Bytes
	// Grace is the time before a connection counts as slow, and the time without a byte after which
	// it counts as stalled.
	Grace time.Duration
	// WriteTimeout is the longest time for a write of 64 kB to a caller on a Listener's connection.
	// Zero means no limit.
	WriteTimeout time.Duration
	// Wait is the longest time for which a reservation waits for room.
	Wait time.Duration
	// LabelPrefix begins the names of limits and reasons in metrics and logs.
	LabelPrefix string
}

// Budget is the memory and the connections of all callers together, or of all clients of the ports for
// other daemons.
type Budget struct {
	Options
	used    atomic.Int64
	waiting atomic.Int32
	// refusedAt has, by kind, the instant at which a connection was refused last. The map itself
	// doesn't change.
	refusedAt map[Kind]*atomic.Int64
	metrics   *metrics
	logRate   *rate.Limiter
	// daemons is the budget of the ports for other daemons, nil if this is the one.
	daemons *Budget
	// replies is the budget of replies of servers.
	replies *Replies

	mu        sync.Mutex
	accounts  map[*Account]bool
	addresses map[netip.Addr]*address
	counts    map[Kind]int
	// roomMade is closed and replaced when bytes are released while a reservation waits.
	roomMade chan struct{}
}

// address is what the connections of one peer address use.
type address struct {
	used        atomic.Int64
	connections int
}

// Kind is the kind of peers that a listener is for. Each kind has connections of its own, so that
// callers don't take those of readiness checks.
type Kind string

// The kinds of listeners.
const (
	Callers   Kind = "callers"
	Readiness Kind = "readiness"
	Relays    Kind = "relays"
	Operators Kind = "operators"
	Daemons   Kind = "daemons"
)

// New returns a budget.
func New(o Options) *Budget {
	const logBurst = 5
	refusedAt := make(map[Kind]*atomic.Int64)
	for _, k := range []Kind{Callers, Readiness, Relays, Operators, Daemons} {
		refusedAt[k] = new(atomic.Int64)
	}
	b := &Budget{
		Options: o, refusedAt: refusedAt, metrics: newMetrics(), logRate: rate.NewLimiter(rate.Every(time.Second), logBurst),
		accounts: make(map[*Account]bool), addresses: make(map[netip.Addr]*address), counts: make(map[Kind]int), roomMade: make(chan struct{}),
	}
	b.setReplies(o)
	return b
}

// OrUnlimited returns the budget, or one without limits if it is nil.
func OrUnlimited(b *Budget, clk clock.Clock) *Budget {
	if b != nil {
		return b
	}
	return New(Options{
		Clock: clk, Log: zerolog.Nop(), Capacity: math.MaxInt64 / 2, AddressShare: 1, Grace: time.Second, Wait: time.Second,
	})
}

// ForReplies returns the budget of replies. Its bytes are its own, so that servers that send without end
// don't keep callers out.
func (b *Budget) ForReplies() *Replies {
	return b.replies
}

// setReplies sets the budget of replies. Its metrics are those of the budget of callers.
func (b *Budget) setReplies(o Options) {
	b.replies = newReplies(o, func(size unit.Bytes) {
		b.metrics.repliesEnded.Inc()
		if b.logRate.AllowN(b.Clock.Now(), 1) {
			b.Log.Warn().Int64("bytes", int64(size)).Int64("used", int64(b.replies.Used())).Int64("capacity", b.replies.capacity).Msg("reply-ended")
		}
	})
}

// ForDaemons returns the budget of connections of the kind Daemons. Its bytes are its own, so that
// callers don't keep daemons from exchanging their state, and clients of those ports don't keep
// callers out. Both have the same metrics.
func (b *Budget) ForDaemons() *Budget {
	if b.daemons != nil {
		return b.daemons
	}
	return b
}

// addDaemons adds the budget of the ports for other daemons.
func (b *Budget) addDaemons(o Options) {
	o.LabelPrefix = "daemon-"
	b.daemons = New(o)
	b.daemons.metrics = b.metrics
}

// Used returns the number of bytes that all accounts hold.
func (b *Budget) Used() unit.Bytes {
	return unit.Bytes(b.used.Load())
}

// connectionLimit returns the highest number of connections of the kind.
func (b *Budget) connectionLimit(k Kind) int {
	if limit, limited := b.Connections[k]; limited {
		return limit
	}
	return math.MaxInt
}

// instant returns the present clock.Instant.
func (b *Budget) instant() int64 {
	return int64(clock.InstantOf(b.Clock.Now()))
}

// take reserves the bytes if there is room.
func (b *Budget) take(n int64) bool {
	for {
		used := b.used.Load()
		if used+n > int64(b.Capacity) {
			return false
		}
		if b.used.CompareAndSwap(used, used+n) {
			return true
		}
	}
}

// give returns bytes and wakes the reservations that wait for room.
func (b *Budget) give(n int64) {
	b.used.Add(-n)
	if n > 0 && b.waiting.Load() > 0 {
		b.wake()
	}
}

func (b *Budget) wake() {
	b.mu.Lock()
	defer b.mu.Unlock()
	close(b.roomMade)
	b.roomMade = make(chan struct{})
}

// recheckInterval is the time after which a reservation that waits looks for connections to end
// again, as more of them have become slow or stalled.
const recheckInterval = 50 * time.Millisecond

// takeOrWait reserves the bytes for the account. If there is no room, it ends other connections and
// waits for theirs. It reports whether the bytes are reserved.
func (b *Budget) takeOrWait(a *Account, n int64) bool {
	if n > int64(b.Capacity) {
		return false
	}
	b.waiting.Add(1)
	defer b.waiting.Add(-1)
	for deadline := b.Clock.Now().Add(b.Wait); ; {
		b.mu.Lock()
		roomMade := b.roomMade
		b.mu.Unlock()
		if b.take(n) {
			return true
		}
		if a.Ended() || !b.Clock.Now().Before(deadline) {
			return false
		}
		b.makeRoom(a, n)
		select {
		case <-roomMade:
		case <-b.Clock.After(recheckInterval):
		}
	}
}

// makeRoom ends connections until the bytes that they return make room for n more.
func (b *Budget) makeRoom(a *Account, n int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	missing := b.used.Load() + n - int64(b.Capacity)
	for other := range b.accounts {
		if other.Ended() {
			missing -= other.held.Load()
		}
	}
	quota := int64(b.AddressShare * float64(b.Capacity))
	for _, c := range b.candidates(a, func(p *address) bool { return p.used.Load() > quota }) {
		if missing <= 0 {
			return
		}
		held := c.account.held.Load()
		if b.endAccount(c) {
			missing -= held
		}
	}
}

// endAccount ends a connection. It fails if the connection has changed its phase meanwhile.
func (b *Budget) endAccount(c candidate) bool {
	if !c.account.phase.CompareAndSwap(int32(c.phase), int32(phaseEnded)) {
		return false
	}
	reason := b.LabelPrefix + c.rank.String()
	b.metrics.ended.WithLabelValues(reason).Inc()
	b.logLimited("connection-ended", reason, c.account.peer.String())
	// A reservation that waits is refused by its own goroutine.
	if c.phase != phaseWaiting {
		c.account.end()
	}
	return true
}

// Refused counts and logs a request or connection that was refused.
func (b *Budget) Refused(limit, peer string) {
	limit = b.LabelPrefix + limit
	b.metrics.refused.WithLabelValues(limit).Inc()
	b.logLimited("caller-refused", limit, peer)
}

// logLimited logs that a limit took effect. The number of lines is bounded, as callers decide how
// often that happens.
func (b *Budget) logLimited(event, reason, peer string) {
	if b.logRate.AllowN(b.Clock.Now(), 1) {
		b.Log.Warn().Str("reason", reason).Str("peer", peer).Int64("bytes", b.used.Load()).Int64("capacity", int64(b.Capacity)).Msg(event)
	}
}

// Register registers the metrics.
func (b *Budget) Register(r *prometheus.Registry) error {
	return b.metrics.register(r, b)
}
