package httpcall_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/valyala/fasthttp"

	"cuminbay/internal/caller/httpcall"
	"cuminbay/internal/domain/code"
	"cuminbay/internal/domain/record"
	"cuminbay/internal/domain/work"
)

// TestFillRequest guards against ignoring a malformed header field, which would
// lose a deadline or the protection of an idempotency key.
func TestFillRequest(t *testing.T) {
	now := time.Unix(1_000, 0)
	tests := map[string]struct {
		name, value string
		want        code.Code
	}{
		"deadline":                      {name: "X-Deadline-Ms", value: "250", want: code.Answered},
		"negative deadline":             {name: "X-Deadline-Ms", value: "-1", want: code.BadHeader},
		"deadline over the limit":       {name: "X-Deadline-Ms", value: "99999999999999999", want: code.BadHeader},
		"priority":                      {name: "X-Priority", value: "-3", want: code.Answered},
		"priority that is not a number": {name: "X-Priority", value: "high", want: code.BadHeader},
		"idempotency key":               {name: "Idempotency-Key", value: "a-1", want: code.Answered},
		"empty idempotency key":         {name: "Idempotency-Key", value: "", want: code.BadHeader},
		"idempotency key with a space":  {name: "Idempotency-Key", value: "a b", want: code.BadHeader},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			var ctx fasthttp.RequestCtx
			ctx.Request.Header.Set(test.name, test.value)
			var r work.Request
			c.Assert(code.Of(httpcall.FillRequest(&ctx, &r, now)), qt.Equals, test.want)
			c.Assert(r.ID, qt.Not(qt.Equals), "")
			if name == "deadline" {
				c.Assert(r.Deadline, qt.Equals, now.Add(250*time.Millisecond))
			}
		})
	}
}

// TestAuthenticateOrganisation guards against accounting a request to an
// organisation without that organisation's key.
func TestAuthenticateOrganisation(t *testing.T) {
	v := record.NewView([]*record.Record{
		{Organisation: &record.Organisation{Name: "bank", Keys: []string{"k1"}}},
		{Organisation: &record.Organisation{Name: "shop", Keys: []string{"k2"}}},
	})
	tests := map[string]struct {
		authorization, name, want string
	}{
		"bearer key":                         {authorization: "Bearer k1", want: "bank"},
		"name without a key":                 {name: "shop"},
		"bearer key and name":                {authorization: "Bearer k2", name: "shop", want: "shop"},
		"no header":                          {},
		"unknown bearer key":                 {authorization: "Bearer k3", name: "shop"},
		"basic authentication":               {authorization: "Basic k1"},
		"bearer key of another organisation": {authorization: "Bearer k1", name: "shop"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			var ctx fasthttp.RequestCtx
			if test.authorization != "" {
				ctx.Request.Header.Set("Authorization", test.authorization)
			}
			if test.name != "" {
				ctx.Request.Header.Set(httpcall.OrganisationHeader, test.name)
			}
			o, err := httpcall.AuthenticateOrganisation(&ctx, v)
			if test.want == "" {
				c.Assert(code.Of(err), qt.Equals, code.UnknownOrganisation)
				return
			}
			c.Assert(err, qt.IsNil)
			c.Assert(string(o.Name), qt.Equals, test.want)
		})
	}
}

// TestWriteError guards against an error response without the outcome, and
// against a Retry-After that is rounded down to zero.
func TestWriteError(t *testing.T) {
	c := qt.New(t)
	var ctx fasthttp.RequestCtx
	httpcall.WriteError(&ctx, code.WithRetryAfter(code.Overloaded.New("full"), 1200*time.Millisecond))
	c.Assert(ctx.Response.StatusCode(), qt.Equals, 429)
	c.Assert(string(ctx.Response.Header.Peek("Retry-After")), qt.Equals, "2")
	c.Assert(string(ctx.Response.Body()), qt.Contains, `"type":"overloaded","code":3002,"outcome":"not-run"`)
}
