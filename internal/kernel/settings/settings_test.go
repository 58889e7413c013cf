package settings_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"cuminbay/internal/domain/code"
	"cuminbay/internal/kernel/settings"
)

type testSection struct {
	Listen string            `json:"listen" validate:"listen"`
	Wait   settings.Duration `json:"wait" validate:"duration"`
	Size   int               `json:"size" validate:"min=1,max=10"`
}

func init() {
	settings.Register("test", func() any {
		return &testSection{Listen: "127.0.0.1:1", Wait: settings.DurationOf(time.Second), Size: 5}
	})
}

// TestParse guards against a daemon that starts with an invalid setting, and
// against an error that names only one of several invalid values or omits a
// path.
func TestParse(t *testing.T) {
	const daemon = `"daemon":{"instance":"i1","dataCentre":"d1"}`
	tests := map[string]struct {
		raw       string
		overrides []string
		problems  []string
	}{
		"defaults":               {raw: `{` + daemon + `}`},
		"override":               {raw: `{` + daemon + `}`, overrides: []string{"test.size=7", "test.wait=3s"}},
		"not JSON":               {raw: "{\n\"daemon\" 1}", problems: []string{"line 2 column 10"}},
		"missing names":          {raw: `{}`, problems: []string{"daemon.instance", "daemon.dataCentre"}},
		"unknown section":        {raw: `{` + daemon + `,"tset":{}}`, problems: []string{"tset: unknown section"}},
		"unknown field":          {raw: `{` + daemon + `,"test":{"sise":1}}`, problems: []string{`test: unknown field "sise"`}},
		"wrong type":             {raw: `{` + daemon + `,"test":{"size":"1"}}`, problems: []string{"test.size: got a JSON string"}},
		"several invalid values": {raw: `{` + daemon + `,"test":{"listen":"here","size":11}}`, problems: []string{"test.listen", "test.size"}},
		"negative duration":      {raw: `{` + daemon + `,"test":{"wait":"-1s"}}`, problems: []string{"test.wait"}},
		"duration number":        {raw: `{` + daemon + `,"test":{"wait":5}}`, problems: []string{`duration 5 is not a string`}},
		"bad override":           {raw: `{` + daemon + `}`, overrides: []string{"test.size"}, problems: []string{`override "test.size"`}},
		"two values":             {raw: `{` + daemon + `} {}`, problems: []string{"more than one JSON value"}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			s, err := settings.Parse([]byte(test.raw), test.overrides)
			if test.problems == nil {
				c.Assert(err, qt.IsNil)
				c.Assert(string(s.Daemon.Instance), qt.Equals, "i1")
				if test.overrides != nil {
					got := s.Section("test").(*testSection)
					c.Assert(got.Size, qt.Equals, 7)
					c.Assert(got.Wait.Duration, qt.Equals, 3*time.Second)
				}
				return
			}
			c.Assert(code.Of(err), qt.Equals, code.BadSettings)
			for _, f := range test.problems {
				c.Assert(err.Error(), qt.Contains, f)
			}
		})
	}
}
