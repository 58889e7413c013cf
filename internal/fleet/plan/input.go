package plan

import (
	"context"
	"slices"
	"time"

	"github.com/cenkalti/backoff/v5"

	"cuminbay/internal/domain/ident"
	"cuminbay/internal/domain/report"
	"cuminbay/internal/domain/roster"
)

// listed returns the addresses of the engines in the roster and of the members
// of all replicas, since the roster lags.
func (u *duty) listed(current map[ident.FabricDomain]stored) map[ident.Instance]string {
	addresses := make(map[ident.Instance]string)
	for _, c := range current {
		for _, r := range c.Replicas {
			for _, m := range r.Members {
				addresses[m.Instance] = m.Address
			}
		}
	}
	for _, i := range u.roster.Instances() {
		if i.Role == roster.Engine && i.DataCentre == u.centre {
			addresses[i.ID] = i.Address
		}
	}
	return addresses
}

// look updates what is known of the instances. The members of replicas that are
// attested to serve are not probed, since their owners do that: of 857 servers
// of a data centre only the spare ones and those of stopped or leaving replicas
// are read here.
func (u *duty) look(ctx context.Context, current map[ident.FabricDomain]stored, states []report.ReplicaState, listed map[ident.Instance]string) {
	u.sights.keep(listed)
	probes := make(map[ident.Instance]string, len(listed))
	for id, address := range listed {
		probes[id] = address
	}
	serving := servingOf(states, current)
	now := u.deps.Clock.Now()
	for _, c := range current {
		for i := range c.Replicas {
			r := &c.Replicas[i]
			if r.Draining || !serving[r.ID] {
				continue
			}
			u.sights.attested(r, now)
			for _, m := range r.Members {
				delete(probes, m.Instance)
			}
		}
	}
	u.probe(ctx, probes)
}

// servingOf returns the replicas attested to serve at their assigned epoch.
func servingOf(states []report.ReplicaState, current map[ident.FabricDomain]stored) map[ident.Replica]bool {
	serving := make(map[ident.Replica]bool)
	for _, s := range states {
		c := current[s.Domain]
		if s.Serving && slices.ContainsFunc(c.Replicas, func(r report.Replica) bool { return r.ID == s.Replica && r.Epoch == s.Epoch }) {
			serving[s.Replica] = true
		}
	}
	return serving
}

// probeAge is the age up to which a report counts as the answer to the last
// probe: one round and the time limit of a probe.
func (u *duty) probeAge() time.Duration {
	return 2 * u.settings.Interval.Duration
}

// wants returns the deployments with the replicas wanted in the data centre.
func (u *duty) wants() []Want {
	var wants []Want
	for _, d := range u.records.View().Deployments() {
		for _, p := range d.Placements {
			if p.DataCentre == u.centre {
				wants = append(wants, Want{Deployment: d, Replicas: p.Replicas})
			}
		}
	}
	return wants
}

// inputs returns the input of each domain in order of their names.
func (u *duty) inputs(now time.Time, current map[ident.FabricDomain]stored, states []report.ReplicaState, listed map[ident.Instance]string) []Input {
	serving, wants := servingOf(states, current), u.wants()
	byDomain := u.instancesByDomain(now, current, listed)
	var replicas []report.Replica
	for _, c := range current {
		replicas = append(replicas, c.Replicas...)
	}
	for i := range replicas {
		if r := &replicas[i]; u.sights.complete(r, now, u.probeAge()) {
			serving[r.ID] = true
		}
	}
	idle, limited := u.drainer.idle(replicas, u.sights, now)
	for _, id := range limited {
		u.overruns.Inc()
		u.deps.Timeline.Record("drain-limit", string(id), "limit", u.settings.DrainLimit.String())
	}
	var inputs []Input
	for domain, c := range current {
		changed, ok := u.changed[domain]
		if !ok {
			changed = u.held
		}
		inputs = append(inputs, Input{
			Now: now, Domain: domain, DataCentre: u.centre, Current: c.Assignment,
			Instances: byDomain[domain], Serving: serving, Idle: idle, Wants: wants,
			Short: u.short, Changed: changed, Out: u.drains.DataCentreDrained(u.centre),
			Rules: Rules{
				Grace: u.settings.Grace.Duration, Hold: u.settings.Hold.Duration,
				LoadsAtOnce: u.settings.LoadsAtOnce,
			},
		})
	}
	slices.SortFunc(inputs, func(a, b Input) int {
		if a.Domain < b.Domain {
			return -1
		}
		return 1
	})
	return inputs
}

func (u *duty) instancesByDomain(now time.Time, current map[ident.FabricDomain]stored, listed map[ident.Instance]string) map[ident.FabricDomain][]Instance {
	domains := make(map[ident.Instance]ident.FabricDomain, len(listed))
	byID := make(map[ident.Instance]Instance, len(listed))
	for domain, c := range current {
		for _, r := range c.Replicas {
			for _, m := range r.Members {
				domains[m.Instance] = domain
			}
		}
	}
	for _, i := range u.roster.Instances() {
		if _, ok := listed[i.ID]; !ok {
			continue
		}
		if _, placed := domains[i.ID]; !placed {
			domains[i.ID] = i.Domain
		}
		byID[i.ID] = Instance{Accelerators: i.Accelerators, Out: i.State == roster.Leaving}
	}
	out := make(map[ident.FabricDomain][]Instance)
	for id, domain := range domains {
		i := byID[id]
		i.ID, i.Address = id, listed[id]
		i.Out = i.Out || u.drains.InstanceDrained(id)
		i.Missing = u.sights.missing(id, now, u.probeAge())
		i.Report = u.sights.seen[id].report
		out[domain] = append(out[domain], i)
	}
	for _, list := range out {
		slices.SortFunc(list, func(a, b Instance) int {
			if a.ID < b.ID {
				return -1
			}
			return 1
		})
	}
	return out
}

// pacer repeats an order after a growing delay until the instance reports it.
type pacer struct {
	first, longest time.Duration
	given          map[ident.Instance]*given
}

type given struct {
	placement report.Placement
	next      time.Time
	delay     *backoff.ExponentialBackOff
}

func newPacer(first, longest time.Duration) *pacer {
	return &pacer{first: first, longest: longest, given: make(map[ident.Instance]*given)}
}

// due returns the orders to send now, in their order, and counts them as sent.
// A changed order is due at once, and so is one that was obeyed in between.
func (p *pacer) due(orders []Order, now time.Time) []Order {
	var due []Order
	open := make(map[ident.Instance]*given, len(orders))
	defer func() { p.given = open }()
	for _, o := range orders {
		g := p.given[o.To.Instance]
		if g == nil || !samePlacement(g.placement, o.Order.Placement) {
			delay := backoff.NewExponentialBackOff()
			delay.InitialInterval, delay.MaxInterval = p.first, p.longest
			delay.Reset()
			g = &given{placement: o.Order.Placement, next: now, delay: delay}
		}
		open[o.To.Instance] = g
		if now.Before(g.next) {
			continue
		}
		g.next = now.Add(g.delay.NextBackOff())
		due = append(due, o)
	}
	return due
}
