package cli

import (
	"strings"

	"github.com/valyala/fasthttp"

	"cuminbay/internal/caller/operator"
)

type statusCommand struct {
	operatorFlags
	streams Streams
}

// Execute prints a daemon's status.
func (c *statusCommand) Execute([]string) error {
	var s operator.Status
	if err := c.sendRequest(fasthttp.MethodGet, "/status", nil, &s); err != nil {
		return err
	}
	if c.JSON {
		return c.streams.printJSON(s)
	}
	c.printStatus(&s)
	return nil
}

func (c *statusCommand) printStatus(s *operator.Status) {
	p := c.streams.printf
	p("daemon %s in %s: ready %t, requests in flight %d, revision %d\n", s.Instance, s.DataCentre, s.Ready, s.InFlight, s.Revision)
	for _, d := range s.Daemons {
		p("  daemon %-20s %-12s alive %t\n", d.Instance, d.DataCentre, d.Alive)
	}
	for _, r := range s.Replicas {
		unreadyMembers := make([]string, 0, len(r.UnreadyMembers))
		for _, m := range r.UnreadyMembers {
			unreadyMembers = append(unreadyMembers, string(m.Instance)+": "+m.Reason)
		}
		p("  replica %-24s epoch %-4d serving %-5t cold %-5t %s\n", r.Replica, r.Epoch, r.Serving, r.Cold, strings.Join(unreadyMembers, "; "))
	}
	for _, e := range s.Endpoints {
		p("  endpoint %-23s %-8s in flight %d of %d, first token %.3f s\n", e.ID, e.Protocol, e.InFlight, e.EffectiveLimit, e.FirstToken)
	}
	for _, d := range s.Drains {
		if d.Drained {
			p("  out of service: %s\n", d.Target)
		}
	}
	for _, r := range s.Rejected {
		p("  rejected record %s at revision %d: %s\n", r.Name, r.Revision, r.Reason)
	}
}
