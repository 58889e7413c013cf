package twirp

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"
	"google.golang.org/protobuf/proto"

	"cuminbay/internal/domain/unit"
	"cuminbay/internal/kernel/budget"
	"cuminbay/internal/kernel/clock"
)

// echoPeer answers questions with their own bodies.
type echoPeer struct{}

func (echoPeer) Exchange(_ context.Context, e *Envelope) (*Envelope, error) { return e, nil }
func (echoPeer) Ask(_ context.Context, q *Question) (*Answer, error) {
	return &Answer{Body: q.GetBody()}, nil
}

const (
	testMessage = 64 << 10
	testGrace   = 50 * time.Millisecond
)

// serveBounded serves echoPeer with the limits, and returns the budget and the address.
func serveBounded(c *qt.C, clk clock.Clock, connections int, capacity unit.Bytes) (*budget.Budget, string) {
	b := budget.New(budget.Options{
		Clock: clk, Log: zerolog.Nop(), LabelPrefix: "daemon-", Capacity: capacity, Connections: map[budget.Kind]int{budget.Daemons: connections},
		AddressShare: 0.5, MinRate: 1, Grace: testGrace, Wait: time.Second,
	})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	s := &http.Server{Handler: NewPeerServer(echoPeer{}), ReadTimeout: 5 * time.Second, WriteTimeout: 5 * time.Second}
	bounded := Bound(s, listener, b, clk, testMessage)
	go func() { _ = s.Serve(bounded) }()
	c.Cleanup(func() { _ = s.Close() })
	return b, listener.Addr().String()
}

func dial(c *qt.C, address string) net.Conn {
	conn, err := net.Dial("tcp", address)
	c.Assert(err, qt.IsNil)
	c.Assert(conn.SetDeadline(clock.Real().Now().Add(10*time.Second)), qt.IsNil)
	c.Cleanup(func() { _ = conn.Close() })
	return conn
}

// askRequest returns a question of which the body has the given number of bytes.
func askRequest(c *qt.C, size int) string {
	raw, err := proto.Marshal(&Question{Body: bytes.Repeat([]byte("q"), size)})
	c.Assert(err, qt.IsNil)
	return fmt.Sprintf("POST %sAsk HTTP/1.1\r\nHost: h\r\nContent-Type: application/protobuf\r\nContent-Length: %d\r\n\r\n%s", PeerPathPrefix, len(raw), raw)
}

func readStatus(r *bufio.Reader) int {
	response, err := http.ReadResponse(r, nil)
	if err != nil {
		return 0
	}
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return 0
	}
	return response.StatusCode
}

func eventually(c *qt.C, condition string, holds func() bool) {
	clk := clock.Real()
	for deadline := clk.Now().Add(10 * time.Second); clk.Now().Before(deadline); clk.Sleep(5 * time.Millisecond) {
		if holds() {
			return
		}
	}
	c.Fatalf("%s: condition not met", condition)
}

// TestBoundedRequests guards against reserved bytes that are not returned, against requests that are
// mixed up when several arrive together, and against messages above the limit.
func TestBoundedRequests(t *testing.T) {
	c := qt.New(t)
	small, largest := askRequest(c, 1), askRequest(c, testMessage-100)
	tests := map[string]struct {
		sent string
		want []int
	}{
		"one request":                {sent: small, want: []int{http.StatusOK}},
		"pipelined":                  {sent: strings.Repeat(small, 3), want: []int{http.StatusOK, http.StatusOK, http.StatusOK}},
		"pipelined, large":           {sent: strings.Repeat(largest, 3), want: []int{http.StatusOK, http.StatusOK, http.StatusOK}},
		"chunks":                     {sent: strings.Replace(small, "Content-Length: 3\r\n\r\n", "Transfer-Encoding: chunked\r\n\r\n3\r\n", 1) + "\r\n0\r\n\r\n", want: []int{http.StatusOK}},
		"message above the limit":    {sent: askRequest(c, testMessage), want: []int{http.StatusRequestEntityTooLarge, 0}},
		"unknown path":               {sent: strings.Replace(small, "Ask", "None", 1) + small, want: []int{http.StatusNotFound, http.StatusOK}},
		"malformed head":             {sent: "?\r\n\r\n", want: []int{http.StatusBadRequest, 0}},
		"connection without request": {},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			b, address := serveBounded(c, clock.Real(), 4, 1<<20)
			conn := dial(c, address)
			sent := make(chan struct{})
			go func() {
				defer close(sent)
				_, _ = conn.Write([]byte(test.sent))
			}()
			reader := bufio.NewReader(conn)
			for _, want := range test.want {
				c.Check(readStatus(reader), qt.Equals, want)
			}
			<-sent
			_ = conn.Close()
			eventually(c, "all bytes returned", func() bool { return b.Used() == 0 })
		})
	}
}

// TestBoundedConnections guards against more connections than the limit, against an answer to a
// connection without a request, which daemons would log, and against connections without progress
// that keep those of daemons out.
func TestBoundedConnections(t *testing.T) {
	c := qt.New(t)
	question := askRequest(c, 1)
	tests := map[string]string{
		"idle":      "",
		"slow head": question[:20],
		"slow body": question[:len(question)-1],
	}
	for name, begin := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			const limit = 2
			clk := clockwork.NewFakeClock()
			b, address := serveBounded(c, clk, limit, 1<<20)
			for range limit {
				_, err := dial(c, address).Write([]byte(begin))
				c.Assert(err, qt.IsNil)
			}
			answered := func() bool {
				conn := dial(c, address)
				_, _ = conn.Write([]byte(question))
				return readStatus(bufio.NewReader(conn)) == http.StatusOK
			}
			raw, _ := io.ReadAll(dial(c, address))
			c.Check(string(raw), qt.Equals, "", qt.Commentf("an answer to a connection without a request"))
			c.Check(budgetCounter(c, b, "refused_total", "daemon-connections"), qt.Equals, 1.0)
			eventually(c, "answered", func() bool { clk.Advance(testGrace); return answered() })
		})
	}
}

// budgetCounter returns the value of a counter for the label.
func budgetCounter(c *qt.C, b *budget.Budget, name, label string) float64 {
	registry := prometheus.NewRegistry()
	c.Assert(b.Register(registry), qt.IsNil)
	families, err := registry.Gather()
	c.Assert(err, qt.IsNil)
	for _, f := range families {
		for _, m := range f.GetMetric() {
			if f.GetName() == "cuminbay_budget_"+name && m.GetLabel()[0].GetValue() == label {
				return m.GetCounter().GetValue()
			}
		}
	}
	return 0
}

// TestBoundedBytes guards against bodies that don't end and answers that aren't read whose memory is
// not reserved, or which keep the requests of daemons out.
func TestBoundedBytes(t *testing.T) {
	const capacity, strangers, pipelined = 1 << 20, 16, 100
	c := qt.New(t)
	question := askRequest(c, testMessage-100)
	tests := map[string]string{
		"last byte missing": question[:len(question)-1],
		"answers not read":  strings.Repeat(question, pipelined),
		"many short fields": "POST / HTTP/1.1\r\nHost: h\r\n" + strings.Repeat("a:\r\n", 3000),
	}
	for name, sent := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			b, address := serveBounded(c, clock.Real(), 10*strangers, capacity)
			for range strangers {
				conn := dial(c, address)
				go func() { _, _ = conn.Write([]byte(sent)) }()
			}
			for range 3 {
				eventually(c, "answered", func() bool {
					conn := dial(c, address)
					_, _ = conn.Write([]byte(question))
					return readStatus(bufio.NewReader(conn)) == http.StatusOK
				})
				// Connections and answers are counted without a check for room.
				const unchecked = (strangers + 10) * (16<<10 + answerCopies*testMessage)
				c.Check(b.Used() <= capacity+unchecked, qt.IsTrue, qt.Commentf("%d bytes", b.Used()))
			}
			// A client that is refused, or younger than others that wait for room, never stalls.
			eventually(c, "connections ended or refused for lack of room", func() bool {
				return budgetCounter(c, b, "ended_total", "daemon-stalled")+budgetCounter(c, b, "ended_total", "daemon-younger")+budgetCounter(c, b, "refused_total", "daemon-bytes") > 0
			})
		})
	}
}
