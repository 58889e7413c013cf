package runner

import (
	"context"

	"cuminbay/internal/experiment/report"
	"cuminbay/internal/experiment/scenario"
	"cuminbay/internal/experiment/site"
)

// defaultRate, in requests per second, is about 60% of what the replicas of the users'
// sites can serve.
const defaultRate = 100.0

// callShare is the share of at-most-once calls in the traffic of these experiments.
const callShare = 0.05

// drainDataCentre drains a data centre under load and restores it.
func drainDataCentre(ctx context.Context, r *runner) error {
	spec, err := scenario.SiteByName(r.Site)
	if err != nil {
		return err
	}
	s, err := r.startSite(ctx, "move", spec)
	if err != nil {
		return err
	}
	defer s.Stop()
	dataCentre := spec.DataCentres[0].Name
	drainAt, restoreAt, end := r.timeAt(0.25), r.timeAt(0.65), r.timeAt(1)
	_, err = r.runLoad(ctx, loadRun{
		name: "move of " + string(dataCentre), site: s, traffic: r.traffic(r.rate(defaultRate), callShare), retries: 1,
		faults: []site.Fault{
			{At: drainAt, Name: "drain " + string(dataCentre), Apply: site.Drain(dataCentre)},
			{At: restoreAt, Name: "restore " + string(dataCentre), Apply: site.Restore(dataCentre)},
		},
		spans: []report.PhaseSpan{
			{Name: "before", From: warmUp, To: drainAt}, {Name: "out", From: drainAt, To: restoreAt}, {Name: "returned", From: restoreAt, To: end},
		},
	})
	return err
}

// comparePolicies runs the same load and faults with each endpoint selection policy.
func comparePolicies(ctx context.Context, r *runner) error {
	for _, policy := range []string{"random2", "estimate"} {
		spec, err := scenario.SiteByName(r.Site)
		if err != nil {
			return err
		}
		spec.Policy = policy
		if err := r.runPolicy(ctx, policy, spec); err != nil {
			return err
		}
	}
	return nil
}

func (r *runner) runPolicy(ctx context.Context, name string, spec scenario.SiteSpec) error {
	s, err := r.startSite(ctx, "policy-"+name, spec)
	if err != nil {
		return err
	}
	defer s.Stop()
	victim := s.Engines()[0].Instance
	killAt, end := r.timeAt(0.6), r.timeAt(1)
	_, err = r.runLoad(ctx, loadRun{
		name: "policy " + name, site: s, traffic: r.traffic(r.rate(defaultRate), callShare), retries: 1,
		faults: []site.Fault{{At: killAt, Name: "kill " + string(victim), Apply: site.Kill(victim)}},
		spans: []report.PhaseSpan{
			{Name: "no fault", From: warmUp, To: killAt}, {Name: "after a kill", From: killAt, To: end},
		},
	})
	return err
}

// injectFailures starts a new site for each of several faults, injects the fault under
// load and later ends it.
func injectFailures(ctx context.Context, r *runner) error {
	spec, err := scenario.SiteByName(r.Site)
	if err != nil {
		return err
	}
	for _, f := range []struct {
		name   string
		choose func(s *site.Site) (string, func(*site.Site) error, func(*site.Site) error)
	}{
		{"member killed", func(s *site.Site) (string, func(*site.Site) error, func(*site.Site) error) {
			id := s.Engines()[0].Instance
			return "engine " + string(id), site.Kill(id), site.Restart(id)
		}},
		{"member paused", func(s *site.Site) (string, func(*site.Site) error, func(*site.Site) error) {
			id := s.Engines()[0].Instance
			return "engine " + string(id), site.Pause(id), site.Continue(id)
		}},
		{"daemon killed", func(s *site.Site) (string, func(*site.Site) error, func(*site.Site) error) {
			id := s.Daemons()[0].Instance
			return string(id), site.Kill(id), site.Restart(id)
		}},
		{"fabric domain down", func(s *site.Site) (string, func(*site.Site) error, func(*site.Site) error) {
			id := s.Engines()[0].Domain
			return "domain " + string(id), site.EachEngine(id, site.Kill), site.EachEngine(id, site.Restart)
		}},
		{"platform down", func(*site.Site) (string, func(*site.Site) error, func(*site.Site) error) {
			return "platform", site.PlatformDown, site.PlatformUp
		}},
	} {
		if err := r.runFailure(ctx, f.name, spec, f.choose); err != nil {
			return err
		}
	}
	return nil
}

func (r *runner) runFailure(ctx context.Context, name string, spec scenario.SiteSpec,
	choose func(*site.Site) (string, func(*site.Site) error, func(*site.Site) error),
) error {
	s, err := r.startSite(ctx, name, spec)
	if err != nil {
		return err
	}
	defer s.Stop()
	target, inject, undo := choose(s)
	injectAt, recoverAt, end := r.timeAt(0.25), r.timeAt(0.65), r.timeAt(1)
	_, err = r.runLoad(ctx, loadRun{
		name: name, site: s, traffic: r.traffic(r.rate(defaultRate), callShare), retries: 1,
		faults: []site.Fault{
			{At: injectAt, Name: name + ": " + target, Apply: inject}, {At: recoverAt, Name: target + " recovered", Apply: undo},
		},
		spans: []report.PhaseSpan{
			{Name: "before", From: warmUp, To: injectAt}, {Name: "during", From: injectAt, To: recoverAt}, {Name: "after", From: recoverAt, To: end},
		},
	})
	return err
}
