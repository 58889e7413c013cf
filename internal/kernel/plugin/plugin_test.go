package plugin_test

import (
	"context"
	"errors"
	"go/parser"
	"go/token"
	"path/filepath"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"cuminbay/internal/kernel/plugin"
)

// TestDecisionsImportNoProtocol guards against a protocol dependency of the
// routing, serving and fleet decisions, which would tie the decisions to one
// front end.
func TestDecisionsImportNoProtocol(t *testing.T) {
	forbidden := map[string]string{
		"HTTP client and server": "github.com/valyala/fasthttp",
		"peer protocol":          "github.com/twitchtv/twirp",
		"front ends":             "cuminbay/internal/caller/",
		"endpoint protocols":     "cuminbay/internal/endpoint/",
		"platform protocols":     "cuminbay/internal/platform/",
		"peers":                  "cuminbay/internal/peer/",
	}
	var files []string
	for _, area := range []string{"route", "serve", "fleet", "domain"} {
		found, err := filepath.Glob("../../" + area + "/*/*.go")
		qt.Assert(t, err, qt.IsNil)
		files = append(files, found...)
	}
	qt.Assert(t, len(files) > 20, qt.IsTrue)
	for name, path := range forbidden {
		t.Run(name, func(t *testing.T) {
			for _, file := range files {
				parsed, err := parser.ParseFile(token.NewFileSet(), file, nil, parser.ImportsOnly)
				qt.Assert(t, err, qt.IsNil)
				for _, i := range parsed.Imports {
					qt.Check(t, strings.HasPrefix(strings.Trim(i.Path.Value, `"`), path), qt.IsFalse, qt.Commentf("%s imports %s", file, i.Path.Value))
				}
			}
		})
	}
}

// recordingPlugin is a plug-in that records its starts and stops.
type recordingPlugin struct {
	name      string
	failStart bool
	events    *[]string
}

func (r recordingPlugin) Start(context.Context) error {
	*r.events = append(*r.events, "start "+r.name)
	if r.failStart {
		return errors.New("start failed as requested by the test")
	}
	return nil
}

func (r recordingPlugin) AnnounceStop() {
	*r.events = append(*r.events, "announce stop "+r.name)
}

func (r recordingPlugin) Stop(context.Context) error {
	*r.events = append(*r.events, "stop "+r.name)
	return nil
}

var (
	recordedEvents  []string
	failCallerStart bool
)

func init() {
	plugin.Register(plugin.Caller, "front", func(*plugin.Deps) (plugin.Plugin, error) {
		return recordingPlugin{"front", failCallerStart, &recordedEvents}, nil
	})
	plugin.Register(plugin.Platform, "store", func(*plugin.Deps) (plugin.Plugin, error) {
		return recordingPlugin{"store", false, &recordedEvents}, nil
	})
	plugin.Register(plugin.Controller, "absent", func(*plugin.Deps) (plugin.Plugin, error) {
		return nil, nil
	})
}

// TestStartStopOrder guards against a front end that starts before its
// dependencies, against a plug-in that stops before the announcement of the
// stop, and against a failed start that leaves plug-ins running.
func TestStartStopOrder(t *testing.T) {
	tests := map[string]struct {
		failStart bool
		want      []string
	}{
		"start in order, stop in reverse":         {want: []string{"start store", "start front", "announce stop store", "announce stop front", "stop front", "stop store"}},
		"failed start stops the started plug-ins": {failStart: true, want: []string{"start store", "start front", "announce stop store", "stop store"}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			recordedEvents, failCallerStart = nil, test.failStart
			k, err := plugin.New(&plugin.Deps{Log: zerolog.Nop()})
			c.Assert(err, qt.IsNil)
			err = k.Start(context.Background())
			c.Assert(err != nil, qt.Equals, test.failStart)
			c.Assert(k.Stop(context.Background()), qt.IsNil)
			c.Assert(recordedEvents, qt.DeepEquals, test.want)
		})
	}
}

type provider interface{ ProviderName() string }

type providerName string

func (v providerName) ProviderName() string { return string(v) }

// TestResolve guards against a plug-in that runs without a value that it needs.
func TestResolve(t *testing.T) {
	c := qt.New(t)
	var deps plugin.Deps
	var s provider
	c.Assert(deps.Resolve(&s), qt.ErrorMatches, ".*no plug-in provides.*provider")
	c.Assert(deps.Resolve(s), qt.ErrorMatches, ".*expected a pointer.*")
	deps.Provide(providerName("one"))
	deps.Provide(providerName("two"))
	c.Assert(deps.Resolve(&s), qt.IsNil)
	c.Assert(s.ProviderName(), qt.Equals, "one")
	var first, second interface{ Absent() }
	c.Assert(deps.Resolve(&s, &first, &second), qt.ErrorMatches, "(?s).*provides.*\n.*provides.*")
	var all []provider
	c.Assert(deps.ResolveAll(&all), qt.IsNil)
	c.Assert(all, qt.HasLen, 2)
}
