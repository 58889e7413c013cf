package forward

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"

	"cuminbay/internal/domain/ident"
	"cuminbay/internal/domain/proxy"
	"cuminbay/internal/domain/unit"
	"cuminbay/internal/fleet/catalog"
	"cuminbay/internal/route/cost"
)

// recordingCosts records the output tokens of answers.
type recordingCosts struct {
	*cost.Model
	recorded []unit.Tokens
}

func (m *recordingCosts) Record(_ time.Time, _ cost.Profile, _ cost.Estimate, output unit.Tokens) {
	m.recorded = append(m.recorded, output)
}

// TestRecordedOutput guards against an answer that is recorded with other tokens than it has, or that
// is recorded although one attempt gave only a part of it, and against a cost that stays in the load
// of an endpoint. An event has seven tokens, the last one on average four.
func TestRecordedOutput(t *testing.T) {
	const events = "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n"
	tests := map[string]struct {
		replies     map[ident.Instance][]scriptedReply
		lastEventID proxy.EventID
		want        []unit.Tokens
	}{
		"whole answer":               {map[ident.Instance][]scriptedReply{"x": {{body: events}}}, 0, []unit.Tokens{18}},
		"comments":                   {map[ident.Instance][]scriptedReply{"x": {{body: ": wait\n\n" + events}}}, 0, []unit.Tokens{18}},
		"second endpoint gives all":  {map[ident.Instance][]scriptedReply{"x": {{unreachable: true}}, "y": {{body: events}}}, 0, []unit.Tokens{18}},
		"second endpoint continues":  {map[ident.Instance][]scriptedReply{"x": {{body: events[:32], bodyCutOff: true}}, "y": {{body: events}}}, 0, nil},
		"caller resumes":             {map[ident.Instance][]scriptedReply{"x": {{body: events}}}, 1, nil},
		"no endpoint gives a stream": {map[ident.Instance][]scriptedReply{"x": {{status: 404, body: "none"}}}, 0, nil},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			clk := clockwork.NewFakeClock()
			f := newTestForwarder(&fakeSender{clock: clk, replies: test.replies})
			costs := &recordingCosts{Model: cost.New()}
			f.Costs = costs
			c.Check(f.Forward(context.Background(), &proxy.Request{
				ID: "r", Method: "POST", Host: "h", Target: "/stream/1", Path: "/stream/1", Credential: "k", Model: testModel, PromptTokens: 500,
				OutputTokens: 100, LastEventID: test.lastEventID, Received: clk.Now(),
			}, new(fakeSink)), qt.IsNil)
			c.Check(costs.recorded, qt.DeepEquals, test.want)
			f.Catalog.Current().EachEndpoint(func(e *catalog.Endpoint) {
				c.Check(e.Load.PendingPrefill(), qt.Equals, unit.Tokens(0))
				c.Check(e.Load.Reserved(), qt.Equals, unit.Tokens(0))
				c.Check(e.Load.Work(), qt.Equals, time.Duration(0))
			})
		})
	}
}
