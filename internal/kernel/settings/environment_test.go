package settings

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestProcessorShare guards against a daemon that takes a missing or malformed share for a slow or a
// fast processor.
func TestProcessorShare(t *testing.T) {
	tests := map[string]struct {
		text    string
		want    float64
		invalid bool
	}{
		"not set":  {},
		"share":    {text: "0.192", want: 0.192},
		"cores":    {text: "2", want: 2},
		"text":     {text: "fast", invalid: true},
		"negative": {text: "-1", invalid: true},
		"no value": {text: "NaN", invalid: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			t.Setenv(processorVariable, test.text)
			got, err := ProcessorShare()
			c.Check(err != nil, qt.Equals, test.invalid)
			c.Check(got, qt.Equals, test.want)
		})
	}
}
