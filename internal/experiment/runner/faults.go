package runner

import (
	"context"

	"cuminbay/internal/experiment/report"
	"cuminbay/internal/experiment/scenario"
	"cuminbay/internal/experiment/site"
)

// usualRate keeps the modelled sites at about 60% of what their replicas can serve.
const usualRate = 100.0

// callShare is the share of at-most-once calls in the usual traffic.
const callShare = 0.05

// move takes a data centre out and returns it.
func move(ctx context.Context, t *trial) error {
	m, err := scenario.Named(t.Site)
	if err != nil {
		return err
	}
	s, err := t.start(ctx, "move", m)
	if err != nil {
		return err
	}
	defer s.Stop()
	centre := m.DataCentres[0].Name
	out, back, end := t.part(0.25), t.part(0.65), t.part(1)
	_, err = t.run(ctx, drive{
		name: "move of " + string(centre), site: s, traffic: t.traffic(t.rate(usualRate), callShare), retries: 1,
		faults: []site.Fault{
			{At: out, Name: "drain " + string(centre), Do: site.Drain(centre)},
			{At: back, Name: "restore " + string(centre), Do: site.Restore(centre)},
		},
		spans: []report.Span{
			{Name: "before", From: warmUp, To: out}, {Name: "out", From: out, To: back}, {Name: "returned", From: back, To: end},
		},
	})
	return err
}

// policies runs both policies with the same load and faults.
func policies(ctx context.Context, t *trial) error {
	for _, policy := range []string{"random2", "estimate"} {
		m, err := scenario.Named(t.Site)
		if err != nil {
			return err
		}
		m.Policy = policy
		if err := t.policy(ctx, policy, m); err != nil {
			return err
		}
	}
	return nil
}

func (t *trial) policy(ctx context.Context, name string, m scenario.Site) error {
	s, err := t.start(ctx, "policy-"+name, m)
	if err != nil {
		return err
	}
	defer s.Stop()
	victim := s.Engines()[0].Instance
	killed, end := t.part(0.6), t.part(1)
	_, err = t.run(ctx, drive{
		name: "policy " + name, site: s, traffic: t.traffic(t.rate(usualRate), callShare), retries: 1,
		faults: []site.Fault{{At: killed, Name: "kill " + string(victim), Do: site.Kill(victim)}},
		spans: []report.Span{
			{Name: "no fault", From: warmUp, To: killed}, {Name: "after a kill", From: killed, To: end},
		},
	})
	return err
}

// failures injects one fault after the other, each on parts that the earlier
// ones left alone.
func failures(ctx context.Context, t *trial) error {
	m, err := scenario.Named(t.Site)
	if err != nil {
		return err
	}
	for _, f := range []struct {
		name string
		pick func(s *site.Site) (string, func(*site.Site) error, func(*site.Site) error)
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
			return "domain " + string(id), site.Each(id, site.Kill), site.Each(id, site.Restart)
		}},
		{"platform down", func(*site.Site) (string, func(*site.Site) error, func(*site.Site) error) {
			return "platform", site.PlatformDown, site.PlatformUp
		}},
	} {
		if err := t.failure(ctx, f.name, m, f.pick); err != nil {
			return err
		}
	}
	return nil
}

func (t *trial) failure(ctx context.Context, name string, m scenario.Site,
	pick func(*site.Site) (string, func(*site.Site) error, func(*site.Site) error),
) error {
	s, err := t.start(ctx, name, m)
	if err != nil {
		return err
	}
	defer s.Stop()
	what, begin, finish := pick(s)
	from, to, end := t.part(0.25), t.part(0.65), t.part(1)
	_, err = t.run(ctx, drive{
		name: name, site: s, traffic: t.traffic(t.rate(usualRate), callShare), retries: 1,
		faults: []site.Fault{
			{At: from, Name: name + ": " + what, Do: begin}, {At: to, Name: what + " is back", Do: finish},
		},
		spans: []report.Span{
			{Name: "before", From: warmUp, To: from}, {Name: "during", From: from, To: to}, {Name: "after", From: to, To: end},
		},
	})
	return err
}
