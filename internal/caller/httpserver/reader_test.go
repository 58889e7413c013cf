package httpserver

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"
	"github.com/valyala/fasthttp"
	"golang.org/x/net/http/httpguts"
	"pgregory.net/rapid"

	"cuminbay/internal/domain/unit"
	"cuminbay/internal/kernel/budget"
	"cuminbay/internal/kernel/clock"
	"cuminbay/internal/kernel/http1"
)

// recordedConn is a connection on which recorded bytes arrive in pieces before the caller closes it.
type recordedConn struct {
	net.Conn
	input *bytes.Reader
	piece int
}

func (c *recordedConn) Read(p []byte) (int, error)    { return c.input.Read(p[:min(len(p), c.piece)]) }
func (*recordedConn) Write(p []byte) (int, error)     { return len(p), nil }
func (*recordedConn) SetReadDeadline(time.Time) error { return nil }
func (*recordedConn) RemoteAddr() net.Addr            { return nil }
func (*recordedConn) Close() error                    { return nil }
func fuzzLimits() Limits                              { return Limits{HeaderBytes: 8 << 10, BodyBytes: 1 << 10} }

func newRecordedConn(raw []byte, piece int) *recordedConn {
	return &recordedConn{input: bytes.NewReader(raw), piece: piece}
}

// checkReader compares the reader with that of fasthttp, which has no budget, for all requests in the
// bytes.
func checkReader(t interface{ Fatalf(string, ...any) }, raw []byte, piece int) {
	b := budget.OrUnlimited(nil, clock.Real())
	s := New(Options{Clock: clock.Real(), Budget: b})
	account := b.Open(budget.Callers, nil, func() {})
	idle := b.Used()
	c := newConn(s, newRecordedConn(raw, piece), account)
	defer c.stop(nil)
	reference := bufio.NewReaderSize(newRecordedConn(raw, piece), fuzzLimits().HeaderBytes)
	const maxRequests = 20
	for range maxRequests {
		r := &requestReader{conn: c, limits: fuzzLimits()}
		status, err := r.read()
		var want fasthttp.Request
		wantErr := want.Header.Read(reference)
		if wantErr == nil {
			wantErr = checkNames(&want.Header)
		}
		headFailed, hasLength := wantErr != nil, want.Header.ContentLength() >= 0
		if wantErr == nil {
			wantErr = checkFraming(&want.Header)
		}
		if wantErr == nil {
			wantErr = want.ContinueReadBody(reference, fuzzLimits().BodyBytes, false)
		}
		// Which error of a malformed head or chunk that is also too long or cut off is found first
		// depends on the pieces in which it is read.
		sameStatus := status == statusOf(wantErr) || headFailed || !hasLength
		if (err == nil) != (wantErr == nil) || err != nil && !sameStatus {
			t.Fatalf("read: got status %d, error %v; fasthttp: %v\n%q", status, err, wantErr, raw)
		}
		if err == nil && (!bytes.Equal(r.body, want.Body()) || !bytes.Equal(r.request.Header.RawHeaders(), want.Header.RawHeaders())) {
			t.Fatalf("read: got body %q, fasthttp: %q\n%q", r.body, want.Body(), raw)
		}
		if used := b.Used() - idle; int(used) < cap(r.body) {
			t.Fatalf("%d bytes are reserved for a body buffer of %d\n%q", used, cap(r.body), raw)
		}
		r.release()
		if err != nil {
			break
		}
	}
	account.Close()
	if b.Used() != 0 {
		t.Fatalf("%d bytes stay reserved\n%q", b.Used(), raw)
	}
}

// checkNames returns an error if the name of a field is invalid, which the parser accepts.
func checkNames(h *fasthttp.RequestHeader) error {
	for name := range h.All() {
		if !httpguts.ValidHeaderFieldName(string(name)) {
			return http1.ErrMalformedHead
		}
	}
	return nil
}

// requestGenerator makes requests whose parts are valid, missing, repeated or malformed.
func requestGenerator() *rapid.Generator[string] {
	return rapid.Custom(func(t *rapid.T) string {
		var b strings.Builder
		fmt.Fprintf(&b, "%s /x HTTP/1.1\r\nHost: h\r\n", rapid.SampledFrom([]string{"POST", "GET", "HEAD", "PUT"}).Draw(t, "method"))
		b.WriteString(strings.Repeat(rapid.SampledFrom([]string{"a:\r\n", "A: b\r\n", "A:b\n", " folded\r\n", "noColon\r\n", "A B: c\r\n"}).Draw(t, "field"), rapid.SampledFrom([]int{0, 1, 3, 900, 3000}).Draw(t, "fields")))
		if rapid.IntRange(0, 9).Draw(t, "expect") == 0 {
			b.WriteString("Expect: 100-continue\r\n")
		}
		size := rapid.SampledFrom([]int{0, 1, 5, 1000, 1024, 1025}).Draw(t, "size")
		if rapid.Bool().Draw(t, "chunked") {
			b.WriteString("Transfer-Encoding: chunked\r\n\r\n")
			chunk := rapid.SampledFrom([]int{1, 7, 600, 2000}).Draw(t, "chunk")
			for left := size; left > 0; left -= chunk {
				n := min(left, chunk)
				fmt.Fprintf(&b, "%x%s\r\n%s%s", n, rapid.SampledFrom([]string{"", "", ";ext", " "}).Draw(t, "extension"), strings.Repeat("c", n), rapid.SampledFrom([]string{"\r\n", "\r\n", "\r\n", "\n", "x"}).Draw(t, "chunk end"))
			}
			b.WriteString("0\r\n" + rapid.SampledFrom([]string{"\r\n", "\r\n", "T: v\r\n\r\n", "T v\r\n\r\n", ""}).Draw(t, "trailer"))
			return b.String()
		}
		fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n", size+rapid.SampledFrom([]int{0, 0, 0, 0, 1, 100000}).Draw(t, "missing"))
		b.WriteString(strings.Repeat("b", size))
		return b.String()
	})
}

// TestReader guards against a request whose end is found elsewhere than by the parser that servers are
// compared with, against memory that is used without a reservation, and against reservations that are
// not returned.
func TestReader(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		raw := strings.Join(rapid.SliceOfN(requestGenerator(), 1, 3).Draw(t, "requests"), "")
		raw = raw[:len(raw)-rapid.SampledFrom([]int{0, 0, 0, 1, 2, min(9, len(raw))}).Draw(t, "cut")]
		checkReader(t, []byte(raw), rapid.SampledFrom([]int{17, 1000, 1 << 20}).Draw(t, "piece"))
	})
}

// FuzzReader is the fuzz target of TestReader's check.
func FuzzReader(f *testing.F) {
	f.Add([]byte("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\nT: v\r\n\r\n"), 3)
	f.Add([]byte("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nab\r\n\nGET / HTTP/1.1\r\nHost: h\r\n\r\n"), 1)
	f.Add([]byte("\r\n\r\n\x16\x03\x01"), 2)
	f.Fuzz(func(t *testing.T, raw []byte, piece int) {
		checkReader(t, raw, max(1, piece))
	})
}

// TestAccounts guards against reservations that are not returned, or returned twice, after one of the
// ways in which a connection can end.
func TestAccounts(t *testing.T) {
	const post = "POST /x HTTP/1.1\r\nHost: h\r\n"
	tests := map[string]struct {
		raw string
		// leaves says that the caller closes the connection after the bytes.
		leaves bool
		// started says that the caller waits for the handler first.
		started bool
		stops   bool
		// capacity limits the budget, if it is not zero.
		capacity int
		// others is the number of further connections that stall in the same way.
		others int
	}{
		"no request":                 {leaves: true},
		"idle time limit":            {},
		"header time limit":          {raw: "POST /x HT"},
		"body time limit":            {raw: post + "Content-Length: 900\r\n\r\nabc"},
		"chunk time limit":           {raw: post + "Transfer-Encoding: chunked\r\n\r\n300\r\nabc"},
		"caller leaves in head":      {raw: "POST /x HT", leaves: true},
		"caller leaves in body":      {raw: post + "Content-Length: 900\r\n\r\nabc", leaves: true},
		"malformed head":             {raw: "nonsense\r\n\r\n"},
		"head over the limit":        {raw: post + "Long: " + strings.Repeat("a", 9000) + "\r\n\r\n"},
		"body over the limit":        {raw: post + "Content-Length: 2000\r\n\r\n" + strings.Repeat("a", 2000)},
		"chunks over the limit":      {raw: post + "Transfer-Encoding: chunked\r\n\r\n7d0\r\n" + strings.Repeat("a", 2000) + "\r\n0\r\n\r\n"},
		"answered and idle":          {raw: post + "Content-Length: 1000\r\n\r\n" + strings.Repeat("a", 1000)},
		"answered and closed":        {raw: post + "Connection: close\r\nContent-Length: 1000\r\n\r\n" + strings.Repeat("a", 1000)},
		"pipelined":                  {raw: strings.Repeat(post+"Content-Length: 1000\r\n\r\n"+strings.Repeat("a", 1000), 5)},
		"caller leaves during run":   {raw: "GET /wait HTTP/1.1\r\nHost: h\r\n\r\n", started: true, leaves: true},
		"aborted answer":             {raw: "GET /abort HTTP/1.1\r\nHost: h\r\n\r\n"},
		"panic":                      {raw: "GET /panic HTTP/1.1\r\nHost: h\r\n\r\n"},
		"stopped during run":         {raw: "GET /wait HTTP/1.1\r\nHost: h\r\n\r\n", started: true, stops: true},
		"refused for lack of room":   {raw: post + "Content-Length: 1000\r\n\r\n" + strings.Repeat("a", 1000), capacity: 17 << 10},
		"stalled and ended for room": {raw: post + "Content-Length: 1000\r\n\r\nabc", capacity: 58 << 10, others: 3},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			limits := defaultLimits()
			limits.HeaderTimeout, limits.IdleTimeout = 300*time.Millisecond, 300*time.Millisecond
			var b *budget.Budget
			if test.capacity > 0 {
				b = budget.New(budget.Options{
					Clock: clock.Real(), Log: zerolog.Nop(), Capacity: unit.Bytes(test.capacity), AddressShare: 1, MinRate: 1, Grace: 50 * time.Millisecond, Wait: 100 * time.Millisecond,
				})
			}
			s, h, address := startServerWithBudget(c, limits, b)
			var callers []net.Conn
			for range 1 + test.others {
				callers = append(callers, dial(c, address, test.raw))
			}
			if test.started {
				<-h.started
			}
			if test.stops {
				s.CancelUnanswered()
			}
			if test.leaves {
				_ = callers[0].Close()
			} else {
				for _, caller := range callers {
					_, _ = io.Copy(io.Discard, caller)
				}
			}
			for range 200 {
				if s.Budget.Used() == 0 {
					return
				}
				<-clock.Real().After(10 * time.Millisecond)
			}
			c.Fatalf("%d bytes stay reserved", s.Budget.Used())
		})
	}
}
