package budget

import (
	"cmp"
	"io"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"cuminbay/internal/domain/unit"
	"cuminbay/internal/kernel/clock"
)

// freeReplyBytes is what each reply may hold whether there is room or not. The number of replies at a
// time is bounded by the connections of callers.
const freeReplyBytes = 8 << 10

// Replies bounds the bytes of replies of servers and other processes that are held while they are read,
// or until they are forwarded. A server may send bytes without end, and the sum of several such replies
// has to fit too. When there is no room, the largest reply is ended. While there is room, a reservation
// takes atomics only, except for the first one above freeReplyBytes.
type Replies struct {
	clock    clock.Clock
	capacity int64
	wait     time.Duration
	used     atomic.Int64
	// ended is called with the size of a reply that was ended.
	ended func(size unit.Bytes)

	mu sync.Mutex
	// large has the replies that hold more than freeReplyBytes.
	large map[*Reply]bool
	// roomMade is closed and replaced when bytes of a large reply are released.
	roomMade chan struct{}
}

// Reply is what one reply holds of the budget. Its methods are called by one goroutine. A nil Reply has no
// limit.
type Reply struct {
	replies *Replies
	held    atomic.Int64
	isLarge bool

	// For a large reply, the lock of replies guards the fields below. abort ends the read of the reply,
	// and is nil while none is in progress. isEnded says that the budget has ended it.
	abort   func()
	isEnded bool
}

func newReplies(o Options, ended func(size unit.Bytes)) *Replies {
	return &Replies{
		clock: o.Clock, capacity: int64(o.Capacity), wait: o.Wait, ended: ended,
		large: make(map[*Reply]bool), roomMade: make(chan struct{}),
	}
}

// Open returns a reply that holds nothing. It has to be closed.
func (r *Replies) Open() *Reply {
	if r == nil {
		return nil
	}
	return &Reply{replies: r}
}

// Used returns the number of bytes that all replies hold.
func (r *Replies) Used() unit.Bytes {
	return unit.Bytes(r.used.Load())
}

// take reserves the bytes if there is room.
func (r *Replies) take(n int64) bool {
	for {
		used := r.used.Load()
		if used+n > r.capacity {
			return false
		}
		if r.used.CompareAndSwap(used, used+n) {
			return true
		}
	}
}

// StartRead says that the reply is read from now on. The function ends the read; it must not block.
func (h *Reply) StartRead(abort func()) {
	if h == nil {
		return
	}
	h.lockLarge()
	defer h.unlockLarge()
	h.abort, h.isEnded = abort, false
}

// lockLarge takes the lock if the reply is large. No other goroutine knows a reply that isn't.
func (h *Reply) lockLarge() {
	if h.isLarge {
		h.replies.mu.Lock()
	}
}

func (h *Reply) unlockLarge() {
	if h.isLarge {
		h.replies.mu.Unlock()
	}
}

// EndRead says that the reply is no longer read. What it holds stays reserved.
func (h *Reply) EndRead() {
	if h == nil {
		return
	}
	h.lockLarge()
	defer h.unlockLarge()
	h.abort = nil
}

// Reserve reserves bytes before they are allocated. If there is no room, it ends larger replies and waits
// for their bytes.
//
// The error is ErrRepliesFull, after which the reply has to be given up.
func (h *Reply) Reserve(n unit.Bytes) error {
	if h == nil || n <= 0 {
		return nil
	}
	r := h.replies
	if h.held.Load()+int64(n) <= freeReplyBytes {
		r.used.Add(int64(n))
		h.held.Add(int64(n))
		return nil
	}
	if !r.take(int64(n)) && !r.makeRoom(h, int64(n)) {
		r.ended(unit.Bytes(h.held.Load()) + n)
		return ErrRepliesFull
	}
	h.held.Add(int64(n))
	if !h.isLarge {
		h.isLarge = true
		r.mu.Lock()
		r.large[h] = true
		r.mu.Unlock()
	}
	return nil
}

// makeRoom reserves the bytes after it has ended larger replies. It reports false if the reply is the
// largest itself, or if it has been ended meanwhile.
func (r *Replies) makeRoom(h *Reply, n int64) bool {
	for deadline := r.clock.Now().Add(r.wait); ; {
		r.mu.Lock()
		roomMade := r.roomMade
		hasRoom := r.take(n)
		mayWait := hasRoom || !h.isEnded && r.endLargerReplies(h, n)
		r.mu.Unlock()
		if hasRoom || !mayWait || !r.clock.Now().Before(deadline) {
			return hasRoom
		}
		select {
		case <-roomMade:
		case <-r.clock.After(recheckInterval):
		}
	}
}

// endLargerReplies ends replies that are larger than h with n more bytes until theirs make room. It
// reports whether there will be room. The caller holds the lock.
func (r *Replies) endLargerReplies(h *Reply, n int64) bool {
	missing := r.used.Load() + n - r.capacity
	var larger []*Reply
	for other := range r.large {
		switch held := other.held.Load(); {
		case other.isEnded:
			missing -= held
		case other != h && other.abort != nil && held > h.held.Load()+n:
			larger = append(larger, other)
		}
	}
	slices.SortFunc(larger, func(x, y *Reply) int { return cmp.Compare(y.held.Load(), x.held.Load()) })
	for _, other := range larger {
		if missing <= 0 {
			break
		}
		missing -= other.held.Load()
		other.isEnded = true
		other.abort()
		r.ended(unit.Bytes(other.held.Load()))
	}
	return missing <= 0
}

// IsEnded reports whether the budget has ended the read of the reply.
func (h *Reply) IsEnded() bool {
	if h == nil {
		return false
	}
	h.lockLarge()
	defer h.unlockLarge()
	return h.isEnded
}

// Held returns the number of bytes that the reply holds.
func (h *Reply) Held() unit.Bytes {
	if h == nil {
		return 0
	}
	return unit.Bytes(h.held.Load())
}

// Release returns reserved bytes.
func (h *Reply) Release(n unit.Bytes) {
	if h == nil || n <= 0 {
		return
	}
	h.held.Add(-int64(n))
	h.replies.used.Add(-int64(n))
	if h.isLarge {
		h.replies.wake()
	}
}

func (r *Replies) wake() {
	r.mu.Lock()
	defer r.mu.Unlock()
	close(r.roomMade)
	r.roomMade = make(chan struct{})
}

// Close returns everything that the reply holds.
func (h *Reply) Close() {
	if h == nil {
		return
	}
	if h.isLarge {
		h.replies.mu.Lock()
		delete(h.replies.large, h)
		h.replies.mu.Unlock()
	}
	h.Release(h.Held())
}

// ReadReply reads a reply of a server to the end of the stream. The announced length is negative if it is
// not known. The buffer of a long reply, or of one whose length isn't known, is doubled as bytes arrive.
// After an error, nothing of it is held.
//
// The error is ErrTooLarge, ErrRepliesFull or an error of the stream.
func ReadReply(h *Reply, stream io.Reader, length, limit int) ([]byte, error) {
	if length > limit {
		return nil, ErrTooLarge
	}
	// One byte more than the length lets the end of the stream be read without a larger buffer.
	first := firstChunkedBytes
	if length >= 0 {
		first = min(length+1, firstFixedBytes)
	}
	before := h.Held()
	body, err := readBuffer(h, stream, first, limit+1, limit)
	if err != nil {
		h.Release(h.Held() - before)
	}
	return body, err
}
