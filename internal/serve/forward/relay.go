package forward

import (
	"cuminbay/internal/domain/code"
	"cuminbay/internal/domain/ident"
	"cuminbay/internal/fleet/catalog"
	"cuminbay/internal/route/admit"
	"cuminbay/internal/route/balance"
)

// maxRelays bounds the daemons to which one request is passed on. It is maxRelaysInReach if this
// daemon reaches other servers, as the endpoints are then probably down.
const (
	maxRelays        = 3
	maxRelaysInReach = 1
)

// pick returns an endpoint that can take the request and was not tried. If this daemon can connect to
// none of the endpoints, it returns a daemon that may reach them.
func (x *exchange) pick(tried []ident.Instance, t admit.Turn) *catalog.Endpoint {
	now, candidates := x.Clock.Now(), x.candidates()
	if reachable := x.reachable(candidates); len(reachable) > 0 {
		return x.Picker.Pick(now, reachable, x.balanceRequest(tried, t))
	}
	if relay := x.pickRelay(tried); relay != nil {
		return relay
	}
	if x.request.Relayed != nil {
		// The endpoints are probably down, as they are out of reach of two daemons.
		return nil
	}
	return x.Picker.Pick(now, candidates, x.balanceRequest(tried, t))
}

// balanceRequest returns what the choice of an endpoint depends on.
func (x *exchange) balanceRequest(tried []ident.Instance, t admit.Turn) balance.Request {
	return balance.Request{
		Tried: tried, MaxUtilisation: t.Limit, Draw: x.drawFor(t.Class), PromptTokens: x.request.PromptTokens, OutputTokens: x.estimate.OutputTokens,
		Objective: x.route.LatencyObjective, ObjectiveAt: x.request.Received.Add(x.route.LatencyObjective),
	}
}

// reachable returns the endpoints that this daemon can connect to.
func (x *exchange) reachable(endpoints []*catalog.Endpoint) []*catalog.Endpoint {
	if x.Links.CutOff() {
		return nil
	}
	for i, e := range endpoints {
		if !e.Load.Unreachable() {
			continue
		}
		reachable := append(make([]*catalog.Endpoint, 0, len(endpoints)), endpoints[:i]...)
		for _, e := range endpoints[i+1:] {
			if !e.Load.Unreachable() {
				reachable = append(reachable, e)
			}
		}
		return reachable
	}
	return endpoints
}

// pickRelay returns a daemon to pass the request on to, nil if there is none. A request is passed
// on by one daemon only.
func (x *exchange) pickRelay(tried []ident.Instance) *catalog.Endpoint {
	limit := maxRelaysInReach
	if x.Links.CutOff() {
		limit = maxRelays
	}
	if x.request.Relayed != nil || x.relayCount >= limit || len(x.candidates()) == 0 {
		return nil
	}
	return x.Relays.PickRelay(tried)
}

// acceptRelayed takes over what another daemon knows of a request that it has passed on. It
// returns an error if the request has to go to a third one.
//
// Errors carry code.EndpointUnreachable or code.NotReady.
func (x *exchange) acceptRelayed(configVersion uint64) error {
	relayed := x.request.Relayed
	switch {
	case relayed == nil:
		return nil
	case x.Links.CutOff():
		return code.EndpointUnreachable.New("accept request from daemon %s: this daemon reaches no server either", relayed.From)
	case configVersion < relayed.ConfigVersion:
		return code.NotReady.New("accept request from daemon %s: it has configuration version %d, later than %d", relayed.From, relayed.ConfigVersion, configVersion)
	}
	x.possibleRuns = relayed.PossibleRuns
	return nil
}

// recordRelayFailure records the failure of an attempt at a daemon. It says nothing about the
// server that the daemon has chosen.
func (x *exchange) recordRelayFailure(relay *catalog.Endpoint, err error) {
	if cause := code.Of(err); cause == code.ConnectionClosed {
		x.needsNewConnection = true
	} else {
		x.triedServers = append(x.triedServers, relay.ID)
	}
	x.Log.Info().Str("request", string(x.request.ID)).Str("daemon", string(relay.ID)).Int("attempt", x.attemptCount).
		Str("cause", code.Of(err).Spec().Name).Str("detail", code.Message(err)).Msg("relay-failed")
}

// mayRelayAgain reports whether a request that a daemon has rejected may be served through
// another one. A rejection for lack of endpoints or slots is final, as all daemons have the same
// ones.
func mayRelayAgain(err error) bool {
	switch code.Of(err) {
	case code.EndpointUnreachable, code.NotReady, code.Draining:
		return true
	}
	return false
}
