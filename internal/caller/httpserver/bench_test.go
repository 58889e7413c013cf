package httpserver

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"cuminbay/internal/kernel/clock"
)

// BenchmarkRequest measures an ordinary request on a kept connection.
func BenchmarkRequest(b *testing.B) {
	s := New(Options{Clock: clock.Real(), Handler: &testHandler{}, Limits: func() Limits {
		return Limits{HeaderBytes: 16 << 10, BodyBytes: 4 << 20, HeaderTimeout: 1e9, IdleTimeout: 1e9}
	}})
	if err := s.Listen(context.Background(), "127.0.0.1:0"); err != nil {
		b.Fatal(err)
	}
	conn, err := net.Dial("tcp", s.listener.Addr().String())
	if err != nil {
		b.Fatal(err)
	}
	raw := "POST /x HTTP/1.1\r\nHost: h\r\nRequest-Id: 1\r\nKey: k\r\nModel: m\r\nToken-Count: 100,140\r\nContent-Length: 3000\r\n\r\n" + strings.Repeat("a", 3000)
	in := bufio.NewReader(conn)
	b.ReportAllocs()
	for b.Loop() {
		_, _ = io.WriteString(conn, raw)
		response, err := http.ReadResponse(in, nil)
		if err != nil {
			b.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, response.Body)
	}
	_ = conn.Close()
	_ = s.Stop(context.Background())
}
