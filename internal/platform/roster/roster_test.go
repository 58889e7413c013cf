package roster_test

import (
	"bytes"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"
	"github.com/valyala/fasthttp"

	"cuminbay/internal/platform/roster"
	"cuminbay/internal/standin/faultserver"
)

// TestMalformedHead guards against a list that counts although the head of its response is malformed.
func TestMalformedHead(t *testing.T) {
	tests := map[string]string{
		"status 000":           "HTTP/1.1 000 X\r\n",
		"name with a blank":    "HTTP/1.1 200 OK\r\nA B: c\r\n",
		"blank before a colon": "HTTP/1.1 200 OK\r\nAb : c\r\n",
	}
	for name, head := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			server, err := faultserver.ServeRaw(head + "Content-Length: 2\r\n\r\n[]")
			c.Assert(err, qt.IsNil)
			defer server.Close() //nolint:errcheck // the end of the test
			var log bytes.Buffer
			l := roster.New(roster.Options{Clock: clockwork.NewFakeClock(), Log: zerolog.New(&log), URL: "http://" + server.Addr().String() + "/", Timeout: 2 * time.Second})
			l.Refresh()
			c.Check(log.String(), qt.Contains, "malformed head")
			c.Check(l.ListAge() > time.Hour, qt.IsTrue)
		})
	}
}

// TestRefresh guards against a list that is lost when the platform fails or one entry
// is invalid, and against a fault that is logged with every read.
func TestRefresh(t *testing.T) {
	const (
		a = `{"instance":"a","dataCentre":"thimi","role":"engine","state":"live","address":"127.0.0.1:1"}`
		b = `{"instance":"b","dataCentre":"thimi","role":"daemon","state":"leaving","address":"127.0.0.1:2"}`
	)
	tests := map[string]struct {
		status int
		body   string
		want   string
		stale  bool
		logged string
	}{
		"sorted":          {status: 200, body: "[" + b + "," + a + "]", want: "a b"},
		"bad entry":       {status: 200, body: `[` + b + `,{"instance":"c"},5]`, want: "b", logged: "roster-entry-skipped"},
		"listed twice":    {status: 200, body: "[" + a + "," + a + "]", want: "a", logged: "listed twice"},
		"empty":           {status: 200, body: "[]"},
		"unchanged":       {status: 200, body: "[" + a + "]", want: "a"},
		"no valid entry":  {status: 200, body: `[{"instance":"c"}]`, want: "a", stale: true, logged: "none of 1 entries"},
		"not an array":    {status: 200, body: "{}", want: "a", stale: true, logged: "not a JSON array"},
		"platform failed": {status: 503, body: "[]", want: "a", stale: true, logged: "status 503"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			var mu sync.Mutex
			status, body := 200, "["+a+"]"
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			c.Assert(err, qt.IsNil)
			server := &fasthttp.Server{Handler: func(ctx *fasthttp.RequestCtx) {
				mu.Lock()
				defer mu.Unlock()
				ctx.SetStatusCode(status)
				ctx.SetBodyString(body)
			}}
			served := make(chan error, 1)
			go func() { served <- server.Serve(listener) }()
			c.Cleanup(func() {
				c.Check(server.Shutdown(), qt.IsNil)
				c.Check(<-served, qt.IsNil)
			})
			var log bytes.Buffer
			clk := clockwork.NewFakeClock()
			l := roster.New(roster.Options{Clock: clk, Log: zerolog.New(&log), URL: "http://" + listener.Addr().String() + "/", Timeout: 2 * time.Second})
			c.Assert(l.Instances(), qt.HasLen, 0)
			c.Assert(l.ListAge() > time.Hour, qt.IsTrue)
			l.Refresh()

			mu.Lock()
			status, body = test.status, test.body
			mu.Unlock()
			clk.Advance(time.Minute)
			l.Refresh()
			l.Refresh()
			var ids []string
			for _, i := range l.Instances() {
				ids = append(ids, string(i.ID))
			}
			c.Assert(strings.Join(ids, " "), qt.Equals, test.want)
			c.Assert(l.ListAge() == time.Minute, qt.Equals, test.stale)
			if test.logged != "" && name != "bad entry" {
				c.Assert(strings.Count(log.String(), test.logged), qt.Equals, 1)
			}
			c.Assert(log.String(), qt.Contains, test.logged)
			if test.logged == "" {
				c.Assert(log.String(), qt.Equals, "")
			}
		})
	}
}
