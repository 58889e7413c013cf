package feed

import (
	"context"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"cuminbay/internal/domain/code"
	"cuminbay/internal/domain/store"
	"cuminbay/internal/domain/unit"
	"cuminbay/internal/fleet/mirror"
	"cuminbay/internal/kernel/clock"
	"cuminbay/internal/peer/twirp"
)

// fakeCopy is a copy with one key, or without any.
type fakeCopy struct{ empty bool }

var testEntry = store.Entry{Key: "servers/a", Value: []byte("v"), Revision: 4}

func (f fakeCopy) Entries() ([]store.Entry, unit.Revision, error) {
	if f.empty {
		return nil, 0, code.NotReady.New("the list has not been read yet")
	}
	return []store.Entry{testEntry}, 5, nil
}

func (fakeCopy) WaitForChanges(_ context.Context, after unit.Revision, _ time.Duration) ([]store.Change, unit.Revision, bool) {
	return []store.Change{{Entry: testEntry, Removed: true}}, 6, after < 3
}

func (fakeCopy) Age() time.Duration { return 70 * time.Millisecond }

// TestFeed guards against a copy that is changed in transfer, and against accepting the
// answer of another daemon that now has the address.
func TestFeed(t *testing.T) {
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
			httpServer := httptest.NewServer(twirp.NewPeerServer(&server{self: "p", platformCopy: test.served}))
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
			c.Check(age, qt.Equals, 70*time.Millisecond)
			changes, completeUpTo, compacted, _, err := client.Changes(context.Background(), test.to, 2)
			c.Assert(err, qt.IsNil)
			c.Check(changes, qt.DeepEquals, []store.Change{{Entry: testEntry, Removed: true}})
			c.Check(completeUpTo, qt.Equals, unit.Revision(6))
			c.Check(compacted, qt.IsTrue)
		})
	}
}
