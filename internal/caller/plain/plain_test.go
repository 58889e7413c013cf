package plain_test

import (
	"context"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/valyala/fasthttp"

	"cuminbay/internal/caller/plain"
	"cuminbay/internal/domain/record"
	"cuminbay/internal/domain/work"
	"cuminbay/internal/kernel/clock"
)

type fakeBackend struct{ dispatched *work.Request }

func (*fakeBackend) View() *record.View {
	return record.NewView([]*record.Record{
		{Organisation: &record.Organisation{Name: "bank", Keys: []string{"k1"}}},
		{Service: &record.Service{Name: "ledger", Prefix: "/ledger", Calls: []record.Call{
			{Method: "POST", Path: "/pay", AtMostOnce: true}, {Method: "GET", Path: "/*"},
		}}},
	})
}

func (b *fakeBackend) Dispatch(_ context.Context, r *work.Request, s work.Sink) error {
	b.dispatched = r
	_ = s.Start(work.Head{Status: 201})
	_ = s.Chunk(work.Chunk{Raw: []byte("paid")})
	return s.End(work.End{})
}

// TestHandle guards against dispatching an at-most-once call without a key, and
// against dispatching a call that no record allows.
func TestHandle(t *testing.T) {
	tests := map[string]struct {
		method, path, key, auth string
		status                  int
	}{
		"at-most-once call with a key":    {method: "POST", path: "/ledger/pay", key: "x", auth: "Bearer k1", status: 201},
		"at-most-once call without a key": {method: "POST", path: "/ledger/pay", auth: "Bearer k1", status: 400},
		"no bearer key":                   {method: "POST", path: "/ledger/pay", key: "x", status: 401},
		"wrong method":                    {method: "PUT", path: "/ledger/pay", key: "x", auth: "Bearer k1", status: 404},
		"call without a key":              {method: "GET", path: "/ledger/book?d=1", auth: "Bearer k1", status: 201},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			b := &fakeBackend{}
			f := &plain.FrontEnd{Clock: clock.Real(), Records: b, Dispatcher: b}
			var ctx fasthttp.RequestCtx
			ctx.Request.Header.SetMethod(test.method)
			ctx.Request.SetRequestURI(test.path)
			if test.auth != "" {
				ctx.Request.Header.Set("Authorization", test.auth)
			}
			if test.key != "" {
				ctx.Request.Header.Set("Idempotency-Key", test.key)
			}
			f.Handle(&ctx)
			c.Assert(ctx.Response.StatusCode(), qt.Equals, test.status, qt.Commentf("%s", ctx.Response.Body()))
			c.Assert(b.dispatched != nil, qt.Equals, test.status == 201)
			if b.dispatched != nil {
				// The service has sent no type.
				c.Assert(string(ctx.Response.Header.ContentType()), qt.Equals, "")
				c.Assert(b.dispatched.AtMostOnce, qt.Equals, test.key != "")
				c.Assert(b.dispatched.Header, qt.HasLen, 0)
			}
		})
	}
}
