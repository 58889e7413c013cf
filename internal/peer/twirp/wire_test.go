package twirp

import (
	"context"
	"net"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"

	"cuminbay/internal/domain/ident"
	"cuminbay/internal/fleet/member"
)

// countingListener counts the bytes read and written on its connections.
type countingListener struct {
	net.Listener
	bytes atomic.Int64
}

type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (l *countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return countingConn{c, &l.bytes}, err
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

// fixedSection always returns the same digest and delta.
type fixedSection struct {
	name          string
	digest, delta []byte
}

func (f *fixedSection) Section() string     { return f.name }
func (f *fixedSection) IsGlobal() bool      { return true }
func (f *fixedSection) Digest() []byte      { return f.digest }
func (f *fixedSection) Delta([]byte) []byte { return f.delta }

// Merge ignores the delta.
func (f *fixedSection) Merge(ident.Instance, []byte) error { return nil }

// BenchmarkWire measures an exchange of six sections over loopback: the time of both
// daemons together, and the bytes in both directions without TCP and IP headers.
func BenchmarkWire(b *testing.B) {
	for name, size := range map[string]struct{ digest, delta int }{
		"empty/calls=1": {}, "empty/calls=2": {0, 1}, "digests=1000/calls=1": {1000, 0}, "digests=1000/calls=2": {1000, 500},
	} {
		b.Run(name, func(b *testing.B) {
			c := qt.New(b)
			var sections []any
			for _, n := range []string{"config", "drain", "poison", "remote", "replica"} {
				sections = append(sections, &fixedSection{name: n})
			}
			sections = append(sections, &fixedSection{"member", make([]byte, size.digest), make([]byte, size.delta)})
			m := new(fakeMembers)
			sender, receiver := buildPlugin(c, "dc00-entry-00", "dc00", m, sections...), buildPlugin(c, "dc00-entry-01", "dc00", m, sections...)
			for _, p := range []*Plugin{sender, receiver} {
				p.members, p.contacts = m, m
				c.Assert(p.collectProviders(), qt.IsNil)
			}
			server := httptest.NewUnstartedServer(NewPeerServer(&handler{receiver}))
			l := &countingListener{Listener: server.Listener}
			server.Listener = l
			server.Start()
			defer server.Close()
			peer := member.Peer{Instance: "dc00-entry-01", DataCentre: "dc00", Address: l.Addr().String()}
			b.ReportAllocs()
			for b.Loop() {
				c.Assert(sender.exchange(context.Background(), peer), qt.IsNil)
			}
			b.ReportMetric(float64(l.bytes.Load())/float64(b.N), "wire-B/op")
		})
	}
}
