package forward

import (
	"context"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"

	"cuminbay/internal/domain/cluster"
	"cuminbay/internal/domain/code"
	"cuminbay/internal/domain/ident"
	"cuminbay/internal/domain/proxy"
	"cuminbay/internal/fleet/catalog"
)

// TestNoOrganisations guards against a request that runs without a key, since the configuration has an
// empty list of organisations and not none.
func TestNoOrganisations(t *testing.T) {
	tests := map[string]struct {
		path     string
		required bool
		want     code.Code
	}{
		"keys required":         {path: "/safe/1", required: true, want: code.UnknownOrganisation},
		"keys required, public": {path: "/public/1", required: true, want: code.Answered},
		"no keys required":      {path: "/safe/1", want: code.Answered},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			f := newTestForwarder(&fakeSender{clock: clockwork.NewFakeClock(), replies: map[ident.Instance][]scriptedReply{"a": {{body: "done"}}}})
			config := *testConfig()
			config.Version, config.Organisations, config.KeysRequired = config.Version+1, []cluster.Organisation{}, test.required
			f.Catalog.(*catalog.Catalog).Apply(catalog.Update{Config: &config})
			err := f.Forward(context.Background(), &proxy.Request{Host: "h", Path: test.path, Credential: "k", Received: f.Clock.Now()}, &fakeSink{})
			c.Check(code.Of(err), qt.Equals, test.want, qt.Commentf("%v", err))
		})
	}
}
