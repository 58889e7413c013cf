package forward

import (
	"slices"
	"time"

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
	// Waits says that the request would wait in the queue, in which Queued requests are.
	Waits  bool          `json:"waits"`
	Queued unit.Requests `json:"queued"`
	// Admission is set if no endpoint may be chosen, or if requests in the queue go first.
	Admission *AdmissionExplanation `json:"admission,omitempty"`
	// Refusal is the code and the reason of a refusal, and RetryAfter the time in milliseconds
	// after which the caller is told to come back.
	Refusal    string `json:"refusal,omitempty"`
	Reason     string `json:"reason,omitempty"`
	RetryAfter int64  `json:"retry_after_ms,omitempty"`
}

// AdmissionExplanation says whether a request waits for a slot or is refused at once.
type AdmissionExplanation struct {
	Action string `json:"action"`
	Class  string `json:"class"`
	// Predicted is the expected wait in milliseconds, zero if it is unknown.
	Predicted int64 `json:"predicted_ms"`
	// Wait is the longest wait in milliseconds, and Until the time at which it ends without a
	// slot; zero if the request is refused at once.
	Wait  int64     `json:"wait_ms"`
	Until time.Time `json:"until,omitzero"`
	// Reason is the reason of the refusal as in logs and metrics, and RetryAfter the time in
	// milliseconds after which the caller is told to come back. Of a request that waits they are
	// those of the refusal at the end of the wait.
	Reason     string `json:"reason,omitempty"`
	RetryAfter int64  `json:"retry_after_ms"`
}

// unstartedSink is the sink of a request that is only explained.
type unstartedSink struct{ Sink }

// Started returns false, as there is no answer.
func (unstartedSink) Started() bool { return false }

// Explain returns what Forward would do with the request now. It sends nothing, and the request counts
// nowhere: neither for its organisation nor in limits, schedules or metrics.
func (f *Forwarder) Explain(r *proxy.Request) Explanation {
	x := &exchange{Forwarder: f, request: r, sink: unstartedSink{}}
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
	x.admission = x.shares.Preview(x.shareRecord())
	out.Priority = x.priority()
	out.Output, out.MedianOutput, out.HighOutput = x.estimate.OutputTokens, x.estimate.MedianOutput, x.estimate.HighOutput
	out.Work = x.estimate.Work.Milliseconds()
	request := x.slotRequest()
	mayChoose := x.explainChoice(&request, &out)
	out.Queued = x.queue.LengthOf(x.queueKey())
	if !mayChoose || !x.mayGoFirst(&request) {
		x.explainAdmission(&request, &out)
	}
	return out
}

func (o *Explanation) refuse(err error) {
	o.Refusal, o.Reason, o.RetryAfter = code.Of(err).String(), code.Message(err), code.RetryAfter(err).Milliseconds()
}

// explainChoice adds the choice of the endpoint, as pick makes it. It reports whether there is one.
func (x *exchange) explainChoice(r *admit.Request, out *Explanation) bool {
	candidates, now := x.candidates(), x.Clock.Now()
	reachable := x.reachable(candidates)
	for _, e := range candidates {
		if e.Load.Unreachable() {
			out.Unreachable = append(out.Unreachable, e.ID)
		}
	}
	if len(reachable) == 0 {
		if relay := x.pickRelay(nil); relay != nil {
			out.Relay = relay.ID
			return true
		}
		reachable = candidates
	}
	choice := x.Explainer.Explain(now, reachable, x.balanceRequest(nil, admit.Turn{Class: r.Class(now), Limit: x.slotLimit(r.Class(now))}))
	out.Explanation = &choice
	return slices.ContainsFunc(choice.Candidates, func(c balance.Candidate) bool { return c.Probability > 0 })
}

// explainAdmission adds what waitForSlot decides.
func (x *exchange) explainAdmission(r *admit.Request, out *Explanation) {
	now := x.Clock.Now()
	decision := x.decideSlot(r, now)
	admission := &AdmissionExplanation{Action: admit.Refuse.String(), Class: decision.Class.String(), Predicted: decision.Predicted.Milliseconds()}
	out.Admission = admission
	if err := x.checkLimits(x.limitsDeadline(decision.Until), x.retries.Peek); err != nil {
		out.refuse(err)
		admission.RetryAfter = out.RetryAfter
		return
	}
	queued, refusedAt := decision.queued(), now
	switch {
	case decision.Action == admit.Refuse:
		admission.Reason = refusedAtOnce
	case !x.queue.HasRoom(&queued):
		admission.Reason = refusedDisplaced
	default:
		refusedAt = decision.Until
		out.Waits, admission.Action, admission.Reason = true, admit.Wait.String(), refusedAfterWait
		admission.Wait, admission.Until = decision.Until.Sub(now).Milliseconds(), decision.Until
	}
	admission.Reason = refusalOf(admission.Reason, decision.endpoints)
	err := x.refusalError(refusedAt, decision.endpoints, func(waiting unit.Requests, patience time.Duration) time.Duration {
		flow := x.monitor.Peek(x.queueKey())
		return flow.PeekReturn(refusedAt, waiting, flow.Forecast(x.estimate.Work), patience)
	})
	if !out.Waits {
		out.refuse(err)
	}
	admission.RetryAfter = code.RetryAfter(err).Milliseconds()
}
