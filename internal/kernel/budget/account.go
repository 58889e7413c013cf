package budget

import (
	"net"
	"net/netip"
	"sync/atomic"
	"time"

	"cuminbay/internal/domain/unit"
	"cuminbay/internal/kernel/clock"
)

// phase is what a connection does.
type phase int32

// The phases. Each change of phase is a compare-and-swap, so that a connection is ended either
// before its request runs or not at all.
const (
	// phaseIdle: no byte of a request was read.
	phaseIdle phase = iota
	// phaseReading: a request is read.
	phaseReading
	// phaseWaiting: a request is read and waits for room.
	phaseWaiting
	// phaseRunning: a request runs or is answered.
	phaseRunning
	// phaseEnded: the budget has ended the connection.
	phaseEnded
)

// connectionBytes is what a connection holds without a request: its buffers, the stacks of its
// goroutines and the socket's state.
const connectionBytes = 16 << 10

// Account is what one connection holds of the budget. The phase methods are called by one goroutine
// at a time.
type Account struct {
	budget  *Budget
	kind    Kind
	peer    netip.Addr
	address *address
	// end closes the connection.
	end    func()
	phase  atomic.Int32
	held   atomic.Int64
	closed atomic.Bool
	// startedAt, progressAt and writingSince are instants: the start of the request, the last byte
	// received, and the start of a write that has not returned, zero if there is none.
	startedAt, progressAt, writingSince atomic.Int64
	// received is the number of bytes of the request that were read.
	received atomic.Int64
}

// Open opens the account of a new connection. It ends another connection if the kind has no
// connection left, and returns nil if none can be ended. The function end closes the connection; it
// must not block.
func (b *Budget) Open(k Kind, remote net.Addr, end func()) *Account {
	a := &Account{budget: b, kind: k, end: end}
	if tcp, ok := remote.(*net.TCPAddr); ok {
		a.peer = tcp.AddrPort().Addr().Unmap()
	}
	now := b.instant()
	a.startedAt.Store(now)
	a.progressAt.Store(now)
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.counts[k] >= b.connectionLimit(k) && !b.endConnection(a) {
		return nil
	}
	if a.address = b.addresses[a.peer]; a.address == nil {
		a.address = new(address)
		b.addresses[a.peer] = a.address
	}
	a.address.connections++
	b.counts[k]++
	b.accounts[a] = true
	// The connection is accepted already; requests find that there is no room.
	a.add(connectionBytes)
	return a
}

// endConnection ends a connection of the same kind for the new one. The caller holds the lock.
func (b *Budget) endConnection(a *Account) bool {
	ending := 0
	for other := range b.accounts {
		if other.kind == a.kind && other.Ended() {
			ending++
		}
	}
	// Ended connections are closed, but stay counted until their goroutines have ended.
	if b.counts[a.kind]-ending < b.connectionLimit(a.kind) && ending <= maxEnding {
		return true
	}
	quota := int(b.AddressShare * float64(b.connectionLimit(a.kind)))
	a.address = b.addresses[a.peer]
	for _, c := range b.candidates(a, func(p *address) bool { return p.connections > quota }) {
		if c.account.kind == a.kind && ending < maxEnding && b.endAccount(c) {
			return true
		}
	}
	return false
}

// maxEnding bounds the connections above the limit whose goroutines have not ended yet.
const maxEnding = 16

// add adds to the bytes held without a check for room.
func (a *Account) add(n int64) {
	a.budget.used.Add(n)
	a.hold(n)
}

// hold records bytes that were taken from the budget. If the account was closed meanwhile, they are
// returned.
func (a *Account) hold(n int64) {
	a.held.Add(n)
	a.address.used.Add(n)
	if a.closed.Load() {
		a.returnAll()
	}
}

func (a *Account) returnAll() {
	held := a.held.Swap(0)
	a.address.used.Add(-held)
	a.budget.give(held)
}

// Reserve reserves bytes of a request before they are allocated. If there is no room, it ends
// connections that hold memory without need and waits for a short time.
//
// The error is ErrNoRoom, after which the request must be refused.
func (a *Account) Reserve(n unit.Bytes) error {
	if n <= 0 {
		return nil
	}
	if a.budget.take(int64(n)) {
		a.hold(int64(n))
		return nil
	}
	if !a.phase.CompareAndSwap(int32(phaseReading), int32(phaseWaiting)) {
		return ErrNoRoom
	}
	taken := a.budget.takeOrWait(a, int64(n))
	if taken {
		a.hold(int64(n))
	}
	a.progressAt.Store(a.budget.instant())
	if !a.phase.CompareAndSwap(int32(phaseWaiting), int32(phaseReading)) || !taken {
		if taken {
			a.Release(n)
		}
		a.budget.Refused("bytes", a.peer.String())
		return ErrNoRoom
	}
	return nil
}

// ReserveAnswer reserves bytes of an answer. It doesn't fail, since the request has run; further
// requests find that there is no room.
func (a *Account) ReserveAnswer(n unit.Bytes) {
	if n > 0 {
		a.add(int64(n))
	}
}

// Release returns reserved bytes. Bytes that Close has returned are not returned again.
func (a *Account) Release(n unit.Bytes) {
	for {
		held := a.held.Load()
		released := min(int64(n), held)
		if released <= 0 {
			return
		}
		if a.held.CompareAndSwap(held, held-released) {
			a.address.used.Add(-released)
			a.budget.give(released)
			return
		}
	}
}

// Close returns everything that the connection holds. It may be called more than once.
func (a *Account) Close() {
	if a.closed.Swap(true) {
		return
	}
	a.returnAll()
	b := a.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.accounts, a)
	b.counts[a.kind]--
	if a.address.connections--; a.address.connections == 0 {
		delete(b.addresses, a.peer)
	}
}

// Begin says that a request is read from now on. It reports whether the connection may be used.
func (a *Account) Begin() bool {
	now := a.budget.instant()
	a.startedAt.Store(now)
	a.progressAt.Store(now)
	a.received.Store(0)
	return a.phase.CompareAndSwap(int32(phaseIdle), int32(phaseReading))
}

// Received says that bytes were read.
func (a *Account) Received(n int) {
	if n > 0 {
		a.received.Add(int64(n))
		a.progressAt.Store(a.budget.instant())
	}
}

// Run says that the request has been read and runs from now on. It reports whether it may run.
func (a *Account) Run() bool {
	return a.phase.CompareAndSwap(int32(phaseReading), int32(phaseRunning))
}

// Finish says that the request has been answered or refused.
func (a *Account) Finish() {
	a.progressAt.Store(a.budget.instant())
	if !a.phase.CompareAndSwap(int32(phaseRunning), int32(phaseIdle)) {
		a.phase.CompareAndSwap(int32(phaseReading), int32(phaseIdle))
	}
}

// writePiece is the number of bytes that a peer has to read within the grace period, or within a time
// limit of WriteTo.
const writePiece = 64 << 10

// WriteTo writes to the connection of the account, whose peer may not read. Each piece has the time
// limit; zero means that the deadline of the connection stays.
func (a *Account) WriteTo(c net.Conn, p []byte, limit time.Duration) (int, error) {
	defer a.EndWrite()
	for written := 0; ; {
		a.StartWrite()
		if limit > 0 {
			_ = c.SetWriteDeadline(a.budget.Clock.Now().Add(limit))
		}
		n, err := c.Write(p[written:min(len(p), written+writePiece)])
		written += n
		if err != nil || written == len(p) {
			return written, err
		}
	}
}

// StartWrite and EndWrite enclose a write to the peer, which may not read.
func (a *Account) StartWrite() {
	a.writingSince.Store(a.budget.instant())
}

// EndWrite ends what StartWrite has begun.
func (a *Account) EndWrite() {
	a.writingSince.Store(0)
}

// MustClose reports whether the connection has to be closed after the current answer, since another
// one was refused within the grace period. Otherwise connections with many requests, each of which
// runs and is not ended, would keep all others out.
func (a *Account) MustClose() bool {
	refusedAt := a.budget.refusedAt[a.kind].Load()
	return refusedAt != 0 && a.budget.Clock.Since(clock.Instant(refusedAt).Time()) < a.budget.Grace
}

// Ended reports whether the budget has ended the connection.
func (a *Account) Ended() bool {
	return phase(a.phase.Load()) == phaseEnded
}
