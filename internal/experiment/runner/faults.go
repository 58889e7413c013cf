package runner

import (
	"context"

	"cuminbay/internal/experiment/report"
	"cuminbay/internal/experiment/scenario"
	"cuminbay/internal/experiment/site"
)

// defaultRate keeps the modelled sites at about 60% of what their replicas can serve.
const defaultRate = 100.0

// callShare is the share of at-most-once calls in the usual traffic.
const callShare = 0.05

// moveDataCentre takes a data centre out and returns it.
func moveDataCentre(ctx context.Context, t *runner) error {
	m, err := scenario.SiteByName(t.Site)
	if err != nil {
		return err
	}
	s, err := t.startSite(ctx, "move", m)
	if err != nil {
		return err
	}
	defer s.Stop()
	centre := m.DataCentres[0].Name
	drainAt, restoreAt, end := t.timeAt(0.25), t.timeAt(0.65), t.timeAt(1)
	_, err = t.runLoad(ctx, loadRun{
		name: "move of " + string(centre), site: s, traffic: t.traffic(t.rate(defaultRate), callShare), retries: 1,
		faults: []site.Fault{
			{At: drainAt, Name: "drain " + string(centre), Apply: site.Drain(centre)},
			{At: restoreAt, Name: "restore " + string(centre), Apply: site.Restore(centre)},
		},
		spans: []report.PhaseSpan{
			{Name: "before", From: warmUp, To: drainAt}, {Name: "out", From: drainAt, To: restoreAt}, {Name: "returned", From: restoreAt, To: end},
		},
	})
	return err
}

// comparePolicies runs both policies with the same load and faults.
func comparePolicies(ctx context.Context, t *runner) error {
	for _, policy := range []string{"random2", "estimate"} {
		m, err := scenario.SiteByName(t.Site)
		if err != nil {
			return err
		}
		m.Policy = policy
		if err := t.runPolicy(ctx, policy, m); err != nil {
			return err
		}
	}
	return nil
}

func (t *runner) runPolicy(ctx context.Context, name string, m scenario.Site) error {
	s, err := t.startSite(ctx, "policy-"+name, m)
	if err != nil {
		return err
	}
	defer s.Stop()
	victim := s.Engines()[0].Instance
	killAt, end := t.timeAt(0.6), t.timeAt(1)
	_, err = t.runLoad(ctx, loadRun{
		name: "policy " + name, site: s, traffic: t.traffic(t.rate(defaultRate), callShare), retries: 1,
		faults: []site.Fault{{At: killAt, Name: "kill " + string(victim), Apply: site.Kill(victim)}},
		spans: []report.PhaseSpan{
			{Name: "no fault", From: warmUp, To: killAt}, {Name: "after a kill", From: killAt, To: end},
		},
	})
	return err
}

// injectFailures injects one fault after the other, each on parts that the earlier
// ones left alone.
func injectFailures(ctx context.Context, t *runner) error {
	m, err := scenario.SiteByName(t.Site)
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
		if err := t.runFailure(ctx, f.name, m, f.choose); err != nil {
			return err
		}
	}
	return nil
}

func (t *runner) runFailure(ctx context.Context, name string, m scenario.Site,
	choose func(*site.Site) (string, func(*site.Site) error, func(*site.Site) error),
) error {
	s, err := t.startSite(ctx, name, m)
	if err != nil {
		return err
	}
	defer s.Stop()
	target, inject, recover := choose(s)
	from, to, end := t.timeAt(0.25), t.timeAt(0.65), t.timeAt(1)
	_, err = t.runLoad(ctx, loadRun{
		name: name, site: s, traffic: t.traffic(t.rate(defaultRate), callShare), retries: 1,
		faults: []site.Fault{
			{At: from, Name: name + ": " + target, Apply: inject}, {At: to, Name: target + " is back", Apply: recover},
		},
		spans: []report.PhaseSpan{
			{Name: "before", From: warmUp, To: from}, {Name: "during", From: from, To: to}, {Name: "after", From: to, To: end},
		},
	})
	return err
}
