package cli

import (
	"cmp"
	"fmt"
	"net/url"
	"slices"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"cuminbay/internal/route/balance"
	"cuminbay/internal/serve/forward"
)

type explainCommand struct {
	Address      string `long:"at" env:"CUMINBAY_METRICS" default:"127.0.0.1:9464" value-name:"IP:PORT" description:"a daemon's address for metrics (adapter.metrics)"`
	JSON         bool   `long:"json" description:"print JSON"`
	Route        string `long:"route" description:"name of the route; instead of --host and --path"`
	Host         string `long:"host" description:"host of the request"`
	Path         string `long:"path" description:"path of the request"`
	Model        string `long:"model" description:"model of the request"`
	Organisation string `long:"organisation" description:"name of the caller's organisation"`
	Prompt       uint   `long:"prompt" description:"prompt tokens"`
	Output       uint   `long:"output" description:"upper bound of the output tokens; 0 is none"`
	Hint         uint   `long:"hint" description:"the caller's estimate of the output tokens; 0 is none"`
	streams      Streams
}

// Execute prints where the request would go.
func (c *explainCommand) Execute([]string) error {
	arguments := url.Values{}
	for name, value := range map[string]string{"route": c.Route, "host": c.Host, "path": c.Path, "model": c.Model, "organisation": c.Organisation} {
		if value != "" {
			arguments.Set(name, value)
		}
	}
	for name, n := range map[string]uint{"prompt": c.Prompt, "output": c.Output, "hint": c.Hint} {
		arguments.Set(name, strconv.FormatUint(uint64(n), 10))
	}
	var x forward.Explanation
	daemon := operatorFlags{Address: c.Address}
	if err := daemon.sendRequest(fasthttp.MethodGet, "/explain?"+arguments.Encode(), nil, &x); err != nil {
		return err
	}
	if c.JSON {
		return c.streams.printJSON(x)
	}
	c.print(&x)
	return nil
}

func (c *explainCommand) print(x *forward.Explanation) {
	p := c.streams.printf
	p("daemon %s, configuration version %d: route %s, service %s, model %s, organisation %s, priority %d\n", x.Daemon, x.ConfigVersion, x.Route, x.Service, x.Model, x.Organisation, x.Priority)
	if x.Refusal != "" && x.Admission == nil {
		p("refused: %s, %s", x.Refusal, x.Reason)
		if x.RetryAfter > 0 {
			p(", retry after %d ms", x.RetryAfter)
		}
		p("\n")
		return
	}
	p("expected output: %d tokens, median %d, 90th percentile %d; work %d ms\n", x.Output, x.MedianOutput, x.HighOutput, x.Work)
	for _, id := range x.Unreachable {
		p("  endpoint %-20s left out: accepts no connection of this daemon\n", id)
	}
	if x.Relay != "" {
		p("passed on to daemon %s, as this one reaches no endpoint\n", x.Relay)
	}
	if x.Explanation != nil {
		c.printChoice(x.Explanation)
	}
	switch {
	case x.Admission != nil:
		c.printAdmission(x)
	case x.Waits:
		// A daemon of an older build doesn't say more.
		p("no endpoint may be chosen: the request waits, behind %d others at this daemon, or is refused\n", x.Queued)
	}
}

func (c *explainCommand) printChoice(x *balance.Explanation) {
	c.streams.printf("choice by %s, level %.1f", x.Choice, x.Level)
	if x.Arrivals > 0 {
		c.streams.printf("; room for %.0f%% of the requests (%.1f of %.1f that are expected before counts are renewed), others wait or are refused", 100*x.Admitted, x.Room, x.Arrivals)
	}
	c.streams.printf("\n")
	candidates := slices.Clone(x.Candidates)
	slices.SortStableFunc(candidates, func(a, b balance.Candidate) int { return cmp.Compare(b.Probability, a.Probability) })
	for i := range candidates {
		c.printCandidate(&candidates[i])
	}
}

func (c *explainCommand) printAdmission(x *forward.Explanation) {
	p, a := c.streams.printf, x.Admission
	predicted := "unknown"
	if a.Predicted > 0 {
		predicted = fmt.Sprintf("%d ms", a.Predicted)
	}
	p("%d requests wait at this daemon; class %s, predicted wait %s\n", x.Queued, a.Class, predicted)
	if !x.Waits {
		p("refused at once: %s, %s, retry after %d ms", x.Refusal, x.Reason, a.RetryAfter)
		if a.Reason != "" {
			p(" (%s)", a.Reason)
		}
		p("\n")
		return
	}
	p("waits for a slot for at most %d ms, until %s; refused without one: %s, retry after %d ms\n", a.Wait, a.Until.UTC().Format(time.RFC3339Nano), a.Reason, a.RetryAfter)
}

func (c *explainCommand) printCandidate(e *balance.Candidate) {
	p := c.streams.printf
	age := "age unknown"
	if e.PeerAge >= 0 {
		age = fmt.Sprintf("%d ms old", e.PeerAge)
	}
	p("  endpoint %-20s %-12s %5.1f%%  in flight %d + %d of others (%s), slots %d, pending prefill %d + %d", e.Endpoint, e.DataCentre, 100*e.Probability, e.InFlight, e.PeerInFlight, age, e.Slots, e.PendingPrefill, e.PeerPendingPrefill)
	if e.Excluded != "" {
		p("; left out: %s\n", e.Excluded)
		return
	}
	if e.First > 0 {
		p("; load %.1f, first event %d ms ± %d, missed %.3f, correction %d ms", e.Load, e.First, e.Spread, e.Missed, e.Correction)
		if e.CorrectionAge >= 0 {
			p(" (%d ms old)", e.CorrectionAge)
		}
	}
	p("\n")
}
