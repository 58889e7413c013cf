package cli

import (
	"github.com/valyala/fasthttp"

	"cuminbay/internal/caller/operator"
)

type timelineCommand struct {
	operatorFlags
	HTML    bool `long:"html" description:"print a self-contained HTML page"`
	Own     bool `long:"own" description:"only the events of the daemon asked"`
	streams Streams
}

// Execute prints the merged events of all daemons, or with --own the events of the
// called daemon.
func (c *timelineCommand) Execute([]string) error {
	path := "/timeline?all=1"
	if c.Own {
		path = "/timeline"
	}
	var t operator.Timeline
	if err := c.sendRequest(fasthttp.MethodGet, path, nil, &t); err != nil {
		return err
	}
	switch {
	case c.JSON:
		return c.streams.printJSON(t)
	case c.HTML:
		return writePage(c.streams.Out, t)
	}
	for _, e := range t.Events {
		c.streams.printf("%s %-16s %-22s %-24s %s\n", e.Timestamp, e.Process, e.Name, e.Subject, e.FormatFields())
	}
	for _, s := range t.Unresponsive {
		c.streams.printf("no answer from %s: %s\n", s.Instance, s.Reason)
	}
	return nil
}
