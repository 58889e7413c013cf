package forward

import (
	"cuminbay/internal/domain/code"
	"cuminbay/internal/domain/ident"
	"cuminbay/internal/domain/proxy"
	"cuminbay/internal/domain/unit"
	"cuminbay/internal/route/admit"
	"cuminbay/internal/route/balance"
)

// Explanation says where a request would go now, or why it would be refused.
type Explanation struct {
	Daemon        ident.Instance     `json:"daemon"`
	ConfigVersion uint64             `json:"config_version"`
	Route         string             `json:"route,omitempty"`
	Service       ident.Service      `json:"service,omitempty"`
	Model         ident.Model        `json:"model,omitempty"`
	Organisation  ident.Organisation `json:"organisation,omitempty"`
	// Priority is the request's; a higher one has precedence.
	Priority unit.Priority `json:"priority"`
	// Output, MedianOutput and HighOutput are the mean, the median and the 90th percentile of the
	// expected output tokens, and Work the expected slot time in milliseconds.
	Output       unit.Tokens `json:"output"`
	MedianOutput unit.Tokens `json:"output_median"`
	HighOutput   unit.Tokens `json:"output_high"`
	Work         int64       `json:"work_ms"`
	// Relay is the daemon that the request would be passed on to, as this one reaches no endpoint.
	Relay ident.Instance `json:"relay,omitempty"`
	// Unreachable are the endpoints that accept no connection of this daemon.
	Unreachable []ident.Instance `json:"unreachable,omitempty"`
	*balance.Explanation
	// Waits says that no endpoint may be chosen, so that the request would wait in the queue, in
	// which Queued requests are.
	Waits  bool          `json:"waits"`
	Queued unit.Requests `json:"queued"`
	// Refusal is the code and the reason of a refusal, and RetryAfter the time in milliseconds
	// after which the caller is told to come back.
	Refusal    string `json:"refusal,omitempty"`
	Reason     string `json:"reason,omitempty"`
	RetryAfter int64  `json:"retry_after_ms,omitempty"`
}

// Explain returns what Forward would do with the request now. It sends nothing.
func (f *Forwarder) Explain(r *proxy.Request) Explanation {
	x := &exchange{Forwarder: f, request: r}
	out := Explanation{Daemon: f.Self, Model: r.Model}
	err := x.resolveRoute(f.Catalog.Current())
	out.ConfigVersion, out.Service = x.configVersion, x.service
	if x.route != nil {
		out.Route = x.route.Name
	}
	if x.organisation != nil {
		out.Organisation = x.organisation.Name
	}
	if err != nil {
		out.refuse(err)
		return out
	}
	out.Priority = x.priority()
	out.Output, out.MedianOutput, out.HighOutput = x.estimate.OutputTokens, x.estimate.MedianOutput, x.estimate.HighOutput
	out.Work = x.estimate.Work.Milliseconds()
	x.explainChoice(&out)
	return out
}

func (o *Explanation) refuse(err error) {
	o.Refusal, o.Reason, o.RetryAfter = code.Of(err).String(), code.Message(err), code.RetryAfter(err).Milliseconds()
}

// explainChoice adds the choice of the endpoint, as pick makes it.
func (x *exchange) explainChoice(out *Explanation) {
	candidates := x.candidates()
	reachable := x.reachable(candidates)
	for _, e := range candidates {
		if e.Load.Unreachable() {
			out.Unreachable = append(out.Unreachable, e.ID)
		}
	}
	if len(reachable) == 0 {
		if relay := x.pickRelay(nil); relay != nil {
			out.Relay = relay.ID
			return
		}
		reachable = candidates
	}
	choice := x.Explainer.Explain(x.Clock.Now(), reachable, x.balanceRequest(nil, x.slotLimit(admit.OnTime)))
	out.Explanation, out.Waits = &choice, true
	for i := range choice.Candidates {
		out.Waits = out.Waits && choice.Candidates[i].Probability == 0
	}
	out.Queued = x.queue.LengthOf(x.queueKey())
	// Requests that wait go first.
	out.Waits = out.Waits || x.isEngineStream && out.Queued > 0
}
