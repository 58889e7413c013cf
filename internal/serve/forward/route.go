package forward

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"cuminbay/internal/domain/cluster"
	"cuminbay/internal/domain/code"
	"cuminbay/internal/domain/ident"
	"cuminbay/internal/fleet/catalog"
	"cuminbay/internal/route/admit"
	"cuminbay/internal/route/cost"
)

// resolveRoute finds the route, the caller's organisation and the service, and sets
// the deadline.
func (x *exchange) resolveRoute(s *catalog.Snapshot) error {
	r := x.request
	if s.Config == nil {
		return code.NotReady.New("resolve route: the daemon has not received any configuration yet")
	}
	if err := x.acceptRelayed(s.Config.Version); err != nil {
		return err
	}
	x.configVersion = s.Config.Version
	x.route = s.Route(r.Host, r.Path)
	if x.route == nil {
		return x.refuseUnknown(code.UnknownPath.New("resolve route: no route for host %q and path %q in configuration version %d", r.Host, r.Path, s.Config.Version))
	}
	x.organisation = s.Organisation(r.Credential)
	if x.organisation == nil && !x.route.Public && s.Config.KeysRequired {
		return x.refuseUnknown(code.UnknownOrganisation.New("authenticate for route %s: no organisation of configuration version %d has the caller's key", x.route.Name, s.Config.Version))
	}
	if err := x.checkPoison(); err != nil {
		return err
	}
	x.service = x.chooseService()
	x.key = admit.QueueKey(string(x.service) + " " + string(r.Model))
	x.predictCost(s)
	x.deadline = r.Received.Add(x.route.Timeout)
	if !r.Deadline.IsZero() && r.Deadline.Before(x.deadline) {
		x.deadline = r.Deadline
	}
	return nil
}

// minWaitShare is the share of its objective for which a request counts as able to meet it, however
// long its first event is expected to take.
const minWaitShare = 0.5

// predictCost sets the expected cost of the request by the configuration of the snapshot.
func (x *exchange) predictCost(s *catalog.Snapshot) {
	if service := s.Config.Services[x.service]; service != nil {
		x.engine = service.Engine
	}
	p := x.profile()
	x.estimate = x.Costs.Predict(p, x.engine)
	x.isEngineStream = x.engine != nil && x.route.Kind == cluster.Stream
	longest := time.Duration((1 - minWaitShare) * float64(x.route.LatencyObjective))
	x.firstEvent = min(x.Costs.FirstEventInSlot(p, x.engine), longest)
}

// profile returns what is known of the request before it runs.
func (x *exchange) profile() cost.Profile {
	r := x.request
	return cost.Profile{
		Service: x.service, Model: r.Model, Route: x.route.Name,
		PromptTokens: r.PromptTokens, MaxOutputTokens: r.OutputTokens, LengthHint: r.LengthHint,
	}
}

// checkPoison returns an error if equal requests or requests with a part of this prompt have
// crashed servers.
//
// Errors carry code.PoisonRequest.
func (x *exchange) checkPoison() error {
	if err := x.Poison.Check(x.request.Fingerprint); err != nil {
		return err
	}
	return x.Parts.CheckParts(x.request.SharedParts)
}

// refuseUnknown returns the error for a path or key that the configuration doesn't have. An
// old copy may lack the version that added it, so the caller is told to retry, which
// reaches another daemon.
func (x *exchange) refuseUnknown(err error) error {
	if status := x.Copy.Status(); status.Age > status.MaxAge {
		return code.NotReady.Wrap(err, "resolve route: the copy of the configuration is %s old, longer than %s", status.Age, status.MaxAge)
	}
	return err
}

// chooseService chooses a service of the route by weight. All attempts of a request
// go to the same service.
func (x *exchange) chooseService() ident.Service {
	targets := x.route.Targets
	if len(targets) == 1 {
		return targets[0].Service
	}
	var total float64
	for _, t := range targets {
		total += float64(t.Weight)
	}
	const steps = 1 << 20
	remaining := float64(xxhash.Sum64String(string(x.request.ID))%steps) / steps * total
	for _, t := range targets {
		if remaining -= float64(t.Weight); remaining < 0 {
			return t.Service
		}
	}
	return targets[len(targets)-1].Service
}

// candidates returns the endpoints of the service that serve the request.
func (x *exchange) candidates() []*catalog.Endpoint {
	s := x.Catalog.Current()
	if s.Config == nil {
		return nil
	}
	if service := s.Config.Services[x.service]; service != nil && service.Engine != nil {
		return s.ModelEndpoints(x.service, x.request.Model)
	}
	return s.PlainEndpoints(x.service)
}
