package feed

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"
	"google.golang.org/protobuf/proto"

	"cuminbay/internal/domain/code"
	"cuminbay/internal/domain/store"
	"cuminbay/internal/domain/unit"
	"cuminbay/internal/fleet/mirror"
	"cuminbay/internal/kernel/budget"
	"cuminbay/internal/kernel/clock"
	"cuminbay/internal/kernel/plugin"
	"cuminbay/internal/peer/twirp"
)

// TestPayload guards against a large answer that is not compressed, and against a malformed
// answer that is accepted or ends the process.
func TestPayload(t *testing.T) {
	large := &copyResponse{Entries: []store.Entry{{Key: "op/config", Value: bytes.Repeat([]byte("a route; "), 40_000), Revision: 9}}, Revision: 9}
	payload, err := encodePayload(large)
	c := qt.New(t)
	c.Assert(err, qt.IsNil)
	c.Check(len(payload) < 20_000, qt.IsTrue, qt.Commentf("%d bytes", len(payload)))
	decoded, age, err := decodeAnswer(appendAge(payload, 3*time.Second))
	c.Assert(err, qt.IsNil)
	c.Check(decoded, qt.DeepEquals, large)
	c.Check(age, qt.Equals, 3*time.Second)
	for name, body := range map[string][]byte{
		"empty":       nil,
		"no payload":  appendAge(nil, time.Second),
		"not JSON":    appendAge([]byte("?"), time.Second),
		"cut off":     appendAge(payload[:len(payload)/2], time.Second),
		"not gzip":    appendAge([]byte{0x1f, 0x8b, 1}, time.Second),
		"too short":   {1, 2},
		"other magic": appendAge([]byte{0x1f}, time.Second),
	} {
		t.Run(name, func(t *testing.T) {
			_, _, err := decodeAnswer(body)
			qt.New(t).Check(err, qt.IsNotNil)
		})
	}
}

// slowServer sends an answer of 64 kB in parts, with pauses between them.
func slowServer(clk clock.Clock, parts int, pause time.Duration) http.Handler {
	raw, err := proto.Marshal(&twirp.Answer{Body: appendAge([]byte(`{"revision":7}`+strings.Repeat(" ", 64<<10)), time.Second)})
	if err != nil {
		panic(err)
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Type", "application/protobuf")
		w.Header().Set("Content-Length", strconv.Itoa(len(raw)))
		size := len(raw) / parts
		for rest := raw; len(rest) > 0; rest = rest[min(size, len(rest)):] {
			if _, err := w.Write(rest[:min(size, len(rest))]); err != nil {
				return
			}
			w.(http.Flusher).Flush()
			if !plugin.Sleep(r.Context(), clk, pause) {
				return
			}
		}
	})
}

// TestSlowTransfer guards against a large answer that is cut off although it arrives, against a
// stalled one that is awaited, and against an age of the copy that leaves out the time for which it
// was on the way.
func TestSlowTransfer(t *testing.T) {
	tests := map[string]struct {
		parts int
		pause time.Duration
		fails bool
	}{
		"slow but steady": {parts: 10, pause: 250 * time.Millisecond},
		"stalled":         {parts: 2, pause: 4 * time.Second, fails: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			httpServer := httptest.NewServer(slowServer(clock.Real(), test.parts, test.pause))
			defer httpServer.Close()
			client := newClient("a", clock.Real())
			start := clock.Real().Now()
			_, revision, age, err := client.List(context.Background(), mirror.Peer{Instance: "p", Address: strings.TrimPrefix(httpServer.URL, "http://")})
			if test.fails {
				c.Check(code.Of(err), qt.Equals, code.PlatformUnavailable)
				c.Check(clock.Real().Since(start) < 3*time.Second, qt.IsTrue)
				return
			}
			c.Assert(err, qt.IsNil)
			c.Check(revision, qt.Equals, unit.Revision(7))
			onTheWay := time.Duration(test.parts-1) * test.pause
			c.Check(age >= time.Second+onTheWay, qt.IsTrue, qt.Commentf("age %s", age))
		})
	}
}

// fakeCopy is a copy with one key, or without any.
type fakeCopy struct{ empty bool }

var testEntry = store.Entry{Key: "servers/a", Value: []byte("v"), Revision: 4}

func (f fakeCopy) Entries() ([]store.Entry, unit.Revision, time.Time, error) {
	if f.empty {
		return nil, 0, time.Time{}, code.NotReady.New("the list has not been read yet")
	}
	return []store.Entry{testEntry}, 5, f.confirmedAt(), nil
}

func (f fakeCopy) WaitForChanges(_ context.Context, after unit.Revision, _, _ time.Duration) ([]store.Change, unit.Revision, time.Time, bool) {
	return []store.Change{{Entry: testEntry, Removed: true}}, 6, f.confirmedAt(), after < 3
}

// testAge is the age of the copy.
const testAge = 70 * time.Millisecond

func (fakeCopy) confirmedAt() time.Time { return clock.Real().Now().Add(-testAge) }

// TestFeed guards against a copy that is changed in transfer, and against accepting the
// answer of another daemon that now has the address.
func TestFeed(t *testing.T) {
	// maxTransfer bounds the time of a transfer over loopback, which counts in the age.
	const maxTransfer = 500 * time.Millisecond
	tests := map[string]struct {
		served fakeCopy
		to     mirror.Peer
		fails  bool
	}{
		"copy transferred":              {to: mirror.Peer{Instance: "p"}},
		"another daemon at the address": {to: mirror.Peer{Instance: "q"}, fails: true},
		"copy not ready":                {served: fakeCopy{empty: true}, to: mirror.Peer{Instance: "p"}, fails: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			httpServer := httptest.NewServer(twirp.NewPeerServer(&server{self: "p", clock: clock.Real(), platformCopy: test.served}))
			defer httpServer.Close()
			test.to.Address = strings.TrimPrefix(httpServer.URL, "http://")
			client := newClient("a", clock.Real())
			entries, revision, age, err := client.List(context.Background(), test.to)
			if test.fails {
				c.Check(code.Of(err), qt.Equals, code.PlatformUnavailable)
				return
			}
			c.Assert(err, qt.IsNil)
			c.Check(entries, qt.DeepEquals, []store.Entry{testEntry})
			c.Check(revision, qt.Equals, unit.Revision(5))
			c.Check(age >= testAge && age < testAge+maxTransfer, qt.IsTrue, qt.Commentf("age %s", age))
			changes, completeUpTo, compacted, _, err := client.Changes(context.Background(), test.to, 2, 0, time.Second)
			c.Assert(err, qt.IsNil)
			c.Check(changes, qt.DeepEquals, []store.Change{{Entry: testEntry, Removed: true}})
			c.Check(completeUpTo, qt.Equals, unit.Revision(6))
			c.Check(compacted, qt.IsTrue)
		})
	}
}

// TestRefusedFollower guards against a follower that doesn't notice that its connection was refused,
// and against one that is refused for ever.
func TestRefusedFollower(t *testing.T) {
	const limit = 2
	c := qt.New(t)
	clk := clockwork.NewFakeClock()
	b := budget.New(budget.Options{
		Clock: clk, Log: zerolog.Nop(), Capacity: 1 << 20, Connections: map[budget.Kind]int{budget.Daemons: limit},
		AddressShare: 0.5, MinRate: 1, Grace: time.Second, Wait: time.Second,
	})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	httpServer := &http.Server{Handler: twirp.NewPeerServer(&server{self: "p", clock: clock.Real(), platformCopy: fakeCopy{}}), ReadTimeout: 10 * time.Second}
	bounded := twirp.Bound(httpServer, listener, b, clk, 1<<10)
	go func() { _ = httpServer.Serve(bounded) }()
	defer httpServer.Close() //nolint:errcheck // the test has ended
	for range limit {
		stranger, err := net.Dial("tcp", listener.Addr().String())
		c.Assert(err, qt.IsNil)
		defer stranger.Close() //nolint:errcheck // the test has ended
	}
	follower := newClient("a", clock.Real())
	to := mirror.Peer{Instance: "p", Address: listener.Addr().String()}
	_, _, _, err = follower.List(context.Background(), to)
	c.Check(code.Of(err), qt.Equals, code.PlatformUnavailable)
	clk.Advance(time.Second)
	entries, _, _, err := follower.List(context.Background(), to)
	c.Check(err, qt.IsNil)
	c.Check(entries, qt.DeepEquals, []store.Entry{testEntry})
}
