package forward

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"cuminbay/internal/domain/code"
	"cuminbay/internal/domain/proxy"
)

// TestEventBuffer guards against forwarding a part of an event or text that is no event of the
// stream, and against a resumed stream with missing or repeated events.
func TestEventBuffer(t *testing.T) {
	tests := map[string]struct {
		lastID        proxy.EventID
		reads         []string
		wantForwarded string
		wantBuffered  string
		wantError     bool
	}{
		"complete events":                      {reads: []string{"id: 1\ndata: a\n\nid: 2\ndata: b\n\n"}, wantForwarded: "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"},
		"one event in two reads":               {reads: []string{"id: 1\nda", "ta: a\n\n"}, wantForwarded: "id: 1\ndata: a\n\n"},
		"incomplete event stays in the buffer": {reads: []string{"id: 1\n\nid: 2\nda"}, wantForwarded: "id: 1\n\n", wantBuffered: "id: 2\nda"},
		"carriage returns":                     {reads: []string{"id: 1\r\ndata: a\r\n\r\n"}, wantForwarded: "id: 1\r\ndata: a\r\n\r\n"},
		"events without ids":                   {reads: []string{": comment\n\ndata: a\n\n"}, wantForwarded: ": comment\n\ndata: a\n\n"},
		"another field before the id":          {reads: []string{"weight-versions: 2\nid: 1\ndata: a\n\n"}, wantForwarded: "weight-versions: 2\nid: 1\ndata: a\n\n"},
		"resumed at the next event":            {lastID: 7, reads: []string{"id: 8\n\n"}, wantForwarded: "id: 8\n\n"},
		"resumed with repeated events":         {lastID: 7, reads: []string{"id: 6\n\nid: 7\n\nid: 8\n\n"}, wantForwarded: "id: 8\n\n"},
		"event missing after the resumption":   {lastID: 7, reads: []string{"id: 9\n\n"}, wantError: true},
		"event missing later":                  {reads: []string{"id: 1\n\nid: 3\n\n"}, wantForwarded: "id: 1\n\n", wantBuffered: "id: 3\n\n", wantError: true},
		"comment between events":               {reads: []string{"id: 1\n\n: ping\n\nid: 2\n\n"}, wantForwarded: "id: 1\n\n: ping\n\nid: 2\n\n"},
		"text after an event":                  {reads: []string{"id: 1\n\nerror: full\n\n"}, wantForwarded: "id: 1\n\n", wantError: true},
		"text after the resumption":            {lastID: 7, reads: []string{"HTTP/1.1 503 Full\r\n\r\n"}, wantError: true},
		"repeated event":                       {reads: []string{"id: 1\n\nid: 1\n\nid: 2\n\n"}, wantForwarded: "id: 1\n\nid: 2\n\n"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			ev := &eventBuffer{lastID: test.lastID, hasLastID: test.lastID > 0}
			var forwarded []byte
			var failure error
			for _, read := range test.reads {
				ev.unforwarded = append(ev.unforwarded, read...)
				complete, err := ev.completeEvents()
				forwarded = append(forwarded, complete...)
				ev.discardForwarded(len(complete))
				if failure = err; err != nil {
					break
				}
			}
			c.Check(string(forwarded), qt.Equals, test.wantForwarded)
			if test.wantError {
				c.Check(code.Of(failure), qt.Equals, code.ForeignAnswer)
				return
			}
			c.Check(failure, qt.IsNil)
			c.Check(string(ev.unforwarded), qt.Equals, test.wantBuffered)
		})
	}
}
