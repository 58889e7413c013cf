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

// engineAddresses returns the addresses of the engines in the roster and of the
// members of all replicas. The roster may be older than the assignments.
func (c *controller) engineAddresses(current map[ident.FabricDomain]storedAssignment) map[ident.Instance]string {
	addresses := make(map[ident.Instance]string)
	for _, a := range current {
		for _, r := range a.Replicas {
			for _, m := range r.Members {
				addresses[m.Instance] = m.Address
			}
		}
	}
	for _, i := range c.roster.Instances() {
		if i.Role == roster.Engine && i.DataCentre == c.dataCentre {
			addresses[i.ID] = i.Address
		}
	}
	return addresses
}

// observeInstances updates the observations of the instances. Members of
// replicas that are attested to serve are not probed, since the owners of the
// replicas do that. Of the 857 servers of a data centre, the planner probes
// only the spare servers and the members of stopped or draining replicas.
func (c *controller) observeInstances(ctx context.Context, current map[ident.FabricDomain]storedAssignment, states []report.ReplicaState, addresses map[ident.Instance]string) {
	c.observations.retainOnly(addresses)
	probes := make(map[ident.Instance]string, len(addresses))
	for id, address := range addresses {
		probes[id] = address
	}
	serving := attestedServing(states, current)
	now := c.deps.Clock.Now()
	for _, a := range current {
		for i := range a.Replicas {
			r := &a.Replicas[i]
			if r.Draining || !serving[r.ID] {
				continue
			}
			c.observations.addAttestation(r, now)
			for _, m := range r.Members {
				delete(probes, m.Instance)
			}
		}
	}
	c.probeInstances(ctx, probes)
}

// attestedServing returns the replicas that are attested to serve at their
// assigned epoch.
func attestedServing(states []report.ReplicaState, current map[ident.FabricDomain]storedAssignment) map[ident.Replica]bool {
	serving := make(map[ident.Replica]bool)
	for _, s := range states {
		a := current[s.Domain]
		if s.Serving && slices.ContainsFunc(a.Replicas, func(r report.Replica) bool { return r.ID == s.Replica && r.Epoch == s.Epoch }) {
			serving[s.Replica] = true
		}
	}
	return serving
}

// maxProbeAge is the age up to which a report counts as the answer to the last
// probe. It covers one round and the time limit of a probe.
func (c *controller) maxProbeAge() time.Duration {
	return 2 * c.settings.Interval.Duration
}

// deploymentTargets returns the deployments with their target replicas in the
// data centre.
func (c *controller) deploymentTargets() []DeploymentTarget {
	var targets []DeploymentTarget
	for _, d := range c.records.View().Deployments() {
		for _, p := range d.Placements {
			if p.DataCentre == c.dataCentre {
				targets = append(targets, DeploymentTarget{Deployment: d, Replicas: p.Replicas})
			}
		}
	}
	return targets
}

// planInputs returns the inputs of all domains in order of their names.
func (c *controller) planInputs(now time.Time, current map[ident.FabricDomain]storedAssignment, states []report.ReplicaState, addresses map[ident.Instance]string) []Input {
	serving, targets := attestedServing(states, current), c.deploymentTargets()
	byDomain := c.instancesByDomain(now, current, addresses)
	var replicas []report.Replica
	for _, a := range current {
		replicas = append(replicas, a.Replicas...)
	}
	for i := range replicas {
		if r := &replicas[i]; c.observations.allMembersReady(r, now, c.maxProbeAge()) {
			serving[r.ID] = true
		}
	}
	idle, timedOut := c.drainer.updateDraining(replicas, c.observations, now)
	for _, id := range timedOut {
		c.drainTimeouts.Inc()
		c.deps.Timeline.Record("drain-limit", string(id), "limit", c.settings.DrainLimit.String())
	}
	var inputs []Input
	for domain, a := range current {
		lastChange, ok := c.lastVoluntaryChange[domain]
		if !ok {
			lastChange = c.leaderSince
		}
		inputs = append(inputs, Input{
			Now: now, Domain: domain, DataCentre: c.dataCentre, Current: a.Assignment,
			Instances: byDomain[domain], Serving: serving, Idle: idle, Targets: targets,
			MissingSince: c.missingSince, LastVoluntaryChange: lastChange, DataCentreDrained: c.drains.DataCentreDrained(c.dataCentre),
			Options: Options{
				GracePeriod: c.settings.Grace.Duration, HoldTime: c.settings.Hold.Duration,
				MaxConcurrentLoads: c.settings.LoadsAtOnce,
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

// instancesByDomain returns the engine instances of each domain in order of
// their ids. A member belongs to the domain of its replica, other instances to
// the domain that the roster names.
func (c *controller) instancesByDomain(now time.Time, current map[ident.FabricDomain]storedAssignment, addresses map[ident.Instance]string) map[ident.FabricDomain][]Instance {
	domains := make(map[ident.Instance]ident.FabricDomain, len(addresses))
	byID := make(map[ident.Instance]Instance, len(addresses))
	for domain, a := range current {
		for _, r := range a.Replicas {
			for _, m := range r.Members {
				domains[m.Instance] = domain
			}
		}
	}
	for _, i := range c.roster.Instances() {
		if _, ok := addresses[i.ID]; !ok {
			continue
		}
		if _, assigned := domains[i.ID]; !assigned {
			domains[i.ID] = i.Domain
		}
		byID[i.ID] = Instance{Accelerators: i.Accelerators, OutOfService: i.State == roster.Leaving}
	}
	result := make(map[ident.FabricDomain][]Instance)
	for id, domain := range domains {
		i := byID[id]
		i.ID, i.Address = id, addresses[id]
		i.OutOfService = i.OutOfService || c.drains.InstanceDrained(id)
		i.UnreachableFor = c.observations.unreachableFor(id, now, c.maxProbeAge())
		i.Report = c.observations.byInstance[id].report
		result[domain] = append(result[domain], i)
	}
	for _, instances := range result {
		slices.SortFunc(instances, func(a, b Instance) int {
			if a.ID < b.ID {
				return -1
			}
			return 1
		})
	}
	return result
}

// orderRetry repeats each order after an exponential delay until the instance
// reports that it has carried out the order.
type orderRetry struct {
	initialDelay, maxDelay time.Duration
	sent                   map[ident.Instance]*sentOrder
}

type sentOrder struct {
	membership report.Membership
	nextSend   time.Time
	delays     *backoff.ExponentialBackOff
}

func newOrderRetry(initialDelay, maxDelay time.Duration) *orderRetry {
	return &orderRetry{initialDelay: initialDelay, maxDelay: maxDelay, sent: make(map[ident.Instance]*sentOrder)}
}

// dueOrders returns the orders that are to be sent now, in the given
// sequence, and records them as sent. A changed order is due at once. So is an
// order that was missing from the orders of the previous round, since it had
// been carried out in between.
func (r *orderRetry) dueOrders(orders []Order, now time.Time) []Order {
	var due []Order
	pending := make(map[ident.Instance]*sentOrder, len(orders))
	defer func() { r.sent = pending }()
	for _, o := range orders {
		s := r.sent[o.To.Instance]
		if s == nil || !sameMembership(s.membership, o.Order.Membership) {
			delays := backoff.NewExponentialBackOff()
			delays.InitialInterval, delays.MaxInterval = r.initialDelay, r.maxDelay
			delays.Reset()
			s = &sentOrder{membership: o.Order.Membership, nextSend: now, delays: delays}
		}
		pending[o.To.Instance] = s
		if now.Before(s.nextSend) {
			continue
		}
		s.nextSend = now.Add(s.delays.NextBackOff())
		due = append(due, o)
	}
	return due
}
