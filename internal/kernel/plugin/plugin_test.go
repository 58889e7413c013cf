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

// TestDecisionsImportNoProtocol guards against routing, serving and fleet
// decisions depending on a protocol, which would tie them to one front end.
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

// recorder is a plug-in that notes its starts and stops.
type recorder struct {
	name  string
	fails bool
	notes *[]string
}

func (r recorder) Start(context.Context) error {
	*r.notes = append(*r.notes, "start "+r.name)
	if r.fails {
		return errors.New("refused")
	}
	return nil
}

func (r recorder) Leave() {
	*r.notes = append(*r.notes, "leave "+r.name)
}

func (r recorder) Stop(context.Context) error {
	*r.notes = append(*r.notes, "stop "+r.name)
	return nil
}

var (
	notes      []string
	callerFail bool
)

func init() {
	plugin.Register(plugin.Caller, "front", func(*plugin.Deps) (plugin.Plugin, error) {
		return recorder{"front", callerFail, &notes}, nil
	})
	plugin.Register(plugin.Platform, "store", func(*plugin.Deps) (plugin.Plugin, error) {
		return recorder{"store", false, &notes}, nil
	})
	plugin.Register(plugin.Controller, "absent", func(*plugin.Deps) (plugin.Plugin, error) {
		return nil, nil
	})
}

// TestOrder guards against a front end taking requests before what it needs
// has started, against a stop that is not announced before anything stops, and
// against a failed start leaving plug-ins running.
func TestOrder(t *testing.T) {
	tests := map[string]struct {
		fails bool
		want  []string
	}{
		"in order and back":   {want: []string{"start store", "start front", "leave store", "leave front", "stop front", "stop store"}},
		"undone if one fails": {fails: true, want: []string{"start store", "start front", "leave store", "stop store"}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			notes, callerFail = nil, test.fails
			k, err := plugin.New(&plugin.Deps{Log: zerolog.Nop()})
			c.Assert(err, qt.IsNil)
			err = k.Start(context.Background())
			c.Assert(err != nil, qt.Equals, test.fails)
			c.Assert(k.Stop(context.Background()), qt.IsNil)
			c.Assert(notes, qt.DeepEquals, test.want)
		})
	}
}

type speaker interface{ Speak() string }

type voice string

func (v voice) Speak() string { return string(v) }

// TestNeed guards against a plug-in running without something that it needs.
func TestNeed(t *testing.T) {
	c := qt.New(t)
	var d plugin.Deps
	var s speaker
	c.Assert(d.Resolve(&s), qt.ErrorMatches, ".*no plug-in provides.*speaker")
	c.Assert(d.Resolve(s), qt.ErrorMatches, ".*wants a pointer.*")
	d.Provide(voice("one"))
	d.Provide(voice("two"))
	c.Assert(d.Resolve(&s), qt.IsNil)
	c.Assert(s.Speak(), qt.Equals, "one")
	var first, second interface{ Absent() }
	c.Assert(d.Resolve(&s, &first, &second), qt.ErrorMatches, "(?s).*provides.*\n.*provides.*")
	var all []speaker
	c.Assert(d.ResolveAll(&all), qt.IsNil)
	c.Assert(all, qt.HasLen, 2)
}
