package forward

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"cuminbay/internal/domain/code"
	"cuminbay/internal/domain/proxy"
)

// TestEvents guards against a part of an event being passed on, and against a
// stream that is joined from two runs with an event missing or twice.
func TestEvents(t *testing.T) {
	tests := map[string]struct {
		last   proxy.EventID
		reads  []string
		passed string
		left   string
		fails  bool
	}{
		"whole events":              {reads: []string{"id: 1\ndata: a\n\nid: 2\ndata: b\n\n"}, passed: "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"},
		"an event in two reads":     {reads: []string{"id: 1\nda", "ta: a\n\n"}, passed: "id: 1\ndata: a\n\n"},
		"a part is kept":            {reads: []string{"id: 1\n\nid: 2\nda"}, passed: "id: 1\n\n", left: "id: 2\nda"},
		"carriage returns":          {reads: []string{"id: 1\r\ndata: a\r\n\r\n"}, passed: "id: 1\r\ndata: a\r\n\r\n"},
		"events without ids":        {reads: []string{": comment\n\ndata: a\n\n"}, passed: ": comment\n\ndata: a\n\n"},
		"a first field before":      {reads: []string{"weight-versions: 2\nid: 1\ndata: a\n\n"}, passed: "weight-versions: 2\nid: 1\ndata: a\n\n"},
		"resumed at the next event": {last: 7, reads: []string{"id: 8\n\n"}, passed: "id: 8\n\n"},
		"resumed too early":         {last: 7, reads: []string{"id: 6\n\nid: 7\n\nid: 8\n\n"}, passed: "id: 8\n\n"},
		"an event missing":          {last: 7, reads: []string{"id: 9\n\n"}, fails: true},
		"an event missing later":    {reads: []string{"id: 1\n\nid: 3\n\n"}, passed: "id: 1\n\n", left: "id: 3\n\n", fails: true},
		"an event twice":            {reads: []string{"id: 1\n\nid: 1\n\nid: 2\n\n"}, passed: "id: 1\n\nid: 2\n\n"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			v := &events{last: test.last, lastKnown: test.last > 0}
			var passed []byte
			var failure error
			for _, r := range test.reads {
				v.buffer = append(v.buffer, r...)
				whole, err := v.complete()
				passed = append(passed, whole...)
				v.discard(len(whole))
				if failure = err; err != nil {
					break
				}
			}
			c.Check(string(passed), qt.Equals, test.passed)
			if test.fails {
				c.Check(code.Of(failure), qt.Equals, code.ForeignAnswer)
				return
			}
			c.Check(failure, qt.IsNil)
			c.Check(string(v.buffer), qt.Equals, test.left)
		})
	}
}
