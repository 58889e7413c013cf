package budget

import (
	"bytes"
	"errors"
	"io"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"cuminbay/internal/domain/unit"
	"cuminbay/internal/kernel/clock"
)

// endlessReply is a reply of the byte x that ends with the abort only, and after size bytes if that is not
// zero.
type endlessReply struct {
	size    int
	aborted chan struct{}
	once    sync.Once
}

var errAborted = errors.New("the read was aborted")

func newEndlessReply(size int) *endlessReply {
	return &endlessReply{size: size, aborted: make(chan struct{})}
}

func (e *endlessReply) abort() { e.once.Do(func() { close(e.aborted) }) }

func (e *endlessReply) Read(p []byte) (int, error) {
	select {
	case <-e.aborted:
		return 0, errAborted
	default:
	}
	if e.size > 0 {
		n := copy(p, bytes.Repeat([]byte("x"), min(len(p), e.size)))
		if e.size -= n; e.size == 0 {
			return n, io.EOF
		}
		return n, nil
	}
	clock.Real().Sleep(time.Millisecond)
	return copy(p, bytes.Repeat([]byte("x"), len(p))), nil
}

func newTestReplies(capacity unit.Bytes) *Replies {
	return New(Options{Clock: clock.Real(), Log: zerolog.Nop(), Capacity: capacity, AddressShare: 1, Grace: time.Second, Wait: time.Second}).ForReplies()
}

// TestReplies guards against replies without end that hold more than the budget together, and against
// sound replies that are given up beside them.
func TestReplies(t *testing.T) {
	const (
		capacity = 1 << 20
		limit    = 1 << 20
	)
	tests := map[string]struct {
		endless, sound int
		// soundSize is the size of each sound reply.
		soundSize int
	}{
		"small sound replies":      {endless: 12, sound: 40, soundSize: 800},
		"medium sound replies":     {endless: 12, sound: 4, soundSize: 30 << 10},
		"only sound replies":       {sound: 40, soundSize: 8 << 10},
		"only replies without end": {endless: 30},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			r := newTestReplies(capacity)
			var readers sync.WaitGroup
			read := func(size int, check func(body []byte, err error)) {
				readers.Go(func() {
					h := r.Open()
					defer h.Close()
					stream := newEndlessReply(size)
					h.StartRead(stream.abort)
					defer h.EndRead()
					body, err := ReadReply(h, stream, -1, limit)
					check(body, err)
				})
			}
			for range test.endless {
				read(0, func(_ []byte, err error) { c.Check(err, qt.IsNotNil) })
			}
			for range test.sound {
				read(test.soundSize, func(body []byte, err error) {
					c.Check(err, qt.IsNil)
					c.Check(len(body), qt.Equals, test.soundSize)
				})
			}
			ended := make(chan struct{})
			go func() {
				readers.Wait()
				close(ended)
			}()
			bound := unit.Bytes(capacity + (test.endless+test.sound)*freeReplyBytes)
			for running := true; running; {
				c.Check(r.Used() <= bound, qt.IsTrue, qt.Commentf("%d bytes held", r.Used()))
				select {
				case <-ended:
					running = false
				case <-clock.Real().After(time.Millisecond):
				}
			}
			c.Check(r.Used(), qt.Equals, unit.Bytes(0))
		})
	}
}

// TestRepliesOrder guards against a reply that is ended for a smaller need than its own, and against the
// end of a read that is over, whose connection may be in use again.
func TestRepliesOrder(t *testing.T) {
	const capacity = 100 << 10
	tests := map[string]struct {
		// first and second are what two replies hold before the third one needs the bytes.
		first, second, needed unit.Bytes
		// firstRead says that the read of the first reply is over.
		firstRead bool
		wantEnded string
		wantErr   error
	}{
		"room for all":                       {first: 40 << 10, second: 40 << 10, needed: 20 << 10},
		"largest is ended":                   {first: 60 << 10, second: 40 << 10, needed: 20 << 10, wantEnded: "first"},
		"needs more than any other holds":    {first: 40 << 10, second: 40 << 10, needed: 50 << 10, wantErr: ErrRepliesFull},
		"largest is read":                    {first: 60 << 10, second: 40 << 10, needed: 20 << 10, firstRead: true, wantEnded: "second"},
		"largest is read, second needs less": {first: 80 << 10, second: 20 << 10, needed: 30 << 10, firstRead: true, wantErr: ErrRepliesFull},
		"small reply":                        {first: 60 << 10, second: 40 << 10, needed: freeReplyBytes},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			r := newTestReplies(capacity)
			ended := make(chan string, 2)
			open := func(name string, held unit.Bytes) *Reply {
				h := r.Open()
				h.StartRead(func() { ended <- name })
				c.Assert(h.Reserve(held), qt.IsNil)
				return h
			}
			first, second := open("first", test.first), open("second", test.second)
			if test.firstRead {
				first.EndRead()
			}
			third := r.Open()
			third.StartRead(func() {})
			result := make(chan error, 1)
			go func() { result <- third.Reserve(test.needed) }()
			if test.wantEnded != "" {
				c.Assert(<-ended, qt.Equals, test.wantEnded)
				loser := map[string]*Reply{"first": first, "second": second}[test.wantEnded]
				c.Check(loser.IsEnded(), qt.IsTrue)
				loser.Close()
			}
			c.Check(<-result, qt.Equals, test.wantErr)
			c.Check(ended, qt.HasLen, 0)
		})
	}
}
