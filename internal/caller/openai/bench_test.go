package openai

import (
	"bufio"
	"context"
	"net"
	"testing"

	"github.com/valyala/fasthttp"

	"cuminbay/internal/domain/record"
	"cuminbay/internal/domain/unit"
	"cuminbay/internal/domain/work"
	"cuminbay/internal/kernel/clock"
)

// fakeBackend answers each request with sixteen tokens at once.
type fakeBackend struct{}

func (fakeBackend) Dispatch(_ context.Context, _ *work.Request, s work.Sink) error {
	if err := s.Start(work.Head{Endpoint: "e"}); err != nil {
		return err
	}
	for range 16 {
		if err := s.Chunk(work.Chunk{Text: "token ", Tokens: 1}); err != nil {
			return err
		}
	}
	return s.End(work.End{FinishReason: "stop"})
}

func (fakeBackend) Drain(context.Context) unit.Requests { return 0 }

func (fakeBackend) Ready() bool { return true }

func (fakeBackend) View() *record.View {
	return record.NewView([]*record.Record{{Organisation: &record.Organisation{Name: "o", Keys: []string{"k"}}}})
}

// BenchmarkStream measures the front end over loopback with one request and
// sixteen events of its answer.
func BenchmarkStream(b *testing.B) {
	f := &frontend{clock: clock.Real(), records: fakeBackend{}, dispatcher: fakeBackend{}, drainer: fakeBackend{}}
	server := &fasthttp.Server{Handler: f.handle}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	go func() { _ = server.Serve(listener) }()
	defer func() { _ = server.Shutdown() }()
	conn, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	var request fasthttp.Request
	request.Header.SetMethod(fasthttp.MethodPost)
	request.SetRequestURI("http://x/v1/chat/completions")
	request.Header.Set(fasthttp.HeaderAuthorization, "Bearer k")
	request.SetBodyString(`{"model":"m","stream":true,"messages":[{"role":"user","content":"hello"}]}`)
	r, w := bufio.NewReader(conn), bufio.NewWriter(conn)
	b.ReportAllocs()
	for b.Loop() {
		if err := request.Write(w); err != nil {
			b.Fatal(err)
		}
		if err := w.Flush(); err != nil {
			b.Fatal(err)
		}
		var response fasthttp.Response
		if err := response.Read(r); err != nil {
			b.Fatal(err)
		}
	}
}
