package forward

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"

	"cuminbay/internal/domain/code"
	"cuminbay/internal/domain/ident"
	"cuminbay/internal/domain/proxy"
	"cuminbay/internal/domain/unit"
	"cuminbay/internal/kernel/budget"
)

// TestRepliesFull guards against replies without end that use up a daemon's memory, against an answer that
// says that such a request has not run, and against memory that is not returned.
func TestRepliesFull(t *testing.T) {
	const capacity = 64 << 10
	endless := scriptedReply{body: "x", flood: true}
	tests := map[string]forwardTest{
		"safe, sound second server":        {path: "/safe/1", replies: map[ident.Instance][]scriptedReply{"a": {endless}, "b": {{body: "whole"}}}, wantStatus: 200, wantBody: "whole"},
		"safe, both without end":           {path: "/safe/1", replies: map[ident.Instance][]scriptedReply{"a": {endless}, "b": {endless}}, wantCode: code.RepliesFull},
		"unsafe":                           {path: "/unsafe/1", replies: map[ident.Instance][]scriptedReply{"a": {endless}}, wantCode: code.RepliesFull},
		"event":                            {path: "/stream/1", replies: map[ident.Instance][]scriptedReply{"x": {endless}, "y": {{body: eventA}}}, wantStatus: 200, wantBody: eventA},
		"error instead of a stream":        {path: "/stream/1", replies: map[ident.Instance][]scriptedReply{"x": {{status: 500, flood: true}}, "y": {{body: eventA}}}, wantStatus: 200, wantBody: eventA},
		"event after the start, no second": {path: "/not-resumable/1", replies: map[ident.Instance][]scriptedReply{"x": {{body: eventA + "x", flood: true}}}, wantCode: code.RepliesFull, wantStatus: 200, wantBody: eventA},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			clk := clockwork.NewFakeClock()
			f := newTestForwarder(&fakeSender{clock: clk, replies: test.replies})
			f.Replies = budget.New(budget.Options{Clock: clk, Log: zerolog.Nop(), Capacity: capacity, AddressShare: 1, Wait: time.Second}).ForReplies()
			sink := new(fakeSink)
			r := &proxy.Request{
				ID: "r", Method: "POST", Host: "h", Target: test.path, Path: test.path, Credential: "k", Model: testModel,
				Received: clk.Now(), Deadline: clk.Now().Add(3 * time.Second),
			}
			err := f.Forward(context.Background(), r, sink)
			if test.wantCode != 0 {
				c.Check(code.Of(err), qt.Equals, test.wantCode, qt.Commentf("%v", err))
				c.Check(code.OutcomeOf(err), qt.Equals, code.Unknown)
			} else {
				c.Check(err, qt.IsNil)
			}
			c.Check(sink.status, qt.Equals, test.wantStatus)
			c.Check(string(sink.body), qt.Equals, test.wantBody)
			c.Check(f.Replies.Used(), qt.Equals, unit.Bytes(0))
		})
	}
}
