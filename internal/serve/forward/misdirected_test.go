package forward

import (
	"context"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"

	"cuminbay/internal/domain/code"
	"cuminbay/internal/domain/ident"
	"cuminbay/internal/domain/proxy"
	"cuminbay/internal/fleet/catalog"
)

// failedEndpoints records the endpoints that failed.
type failedEndpoints struct {
	fakeDaemons
	failed []ident.Instance
}

func (f *failedEndpoints) EndpointFailed(e *catalog.Endpoint, _ code.Code) {
	f.failed = append(f.failed, e.ID)
}

// TestMisdirected guards against an endpoint whose server has restarted, or left its replica,
// and which attracts all requests as it rejects them at once and has none in flight.
func TestMisdirected(t *testing.T) {
	misdirected := scriptedReply{status: 421, disposition: proxy.Misdirected}
	tests := map[string]struct {
		path       string
		replies    map[ident.Instance][]scriptedReply
		wantFailed []ident.Instance
	}{
		"stream":          {path: "/stream/1", replies: map[ident.Instance][]scriptedReply{"x": {misdirected}, "y": {{body: eventA}}}, wantFailed: []ident.Instance{"x"}},
		"plain":           {path: "/unsafe/1", replies: map[ident.Instance][]scriptedReply{"a": {misdirected}}, wantFailed: []ident.Instance{"a"}},
		"full server":     {path: "/unsafe/1", replies: map[ident.Instance][]scriptedReply{"a": {{status: 503, disposition: proxy.Refused}}}},
		"event missing":   {path: "/not-resumable/1", replies: map[ident.Instance][]scriptedReply{"x": {{body: eventA + eventC}}}},
		"error of server": {path: "/unsafe/1", replies: map[ident.Instance][]scriptedReply{"a": {{status: 500}}}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			clk := clockwork.NewFakeClock()
			f := newTestForwarder(&fakeSender{clock: clk, replies: test.replies})
			observer := new(failedEndpoints)
			f.Observer = observer
			// The result of the request is tested elsewhere.
			_ = f.Forward(context.Background(), &proxy.Request{
				ID: "r", Method: "POST", Host: "h", Target: test.path, Path: test.path, Credential: "k", Model: testModel, Received: clk.Now(),
			}, new(fakeSink))
			c.Check(observer.failed, qt.DeepEquals, test.wantFailed)
			snapshot := f.Catalog.Current()
			var avoided []ident.Instance
			for _, e := range append(snapshot.PlainEndpoints(ledger), snapshot.ModelEndpoints(engines, testModel)...) {
				if e.Load.Avoided(clk.Now()) {
					avoided = append(avoided, e.ID)
				}
			}
			c.Check(avoided, qt.DeepEquals, test.wantFailed)
		})
	}
}
