package replica

import (
	"context"
	"encoding/json"
	"slices"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/alitto/pond/v2"
	"github.com/prometheus/client_golang/prometheus"

	"cuminbay/internal/domain/ident"
	"cuminbay/internal/domain/record"
	"cuminbay/internal/domain/report"
	"cuminbay/internal/domain/roster"
	"cuminbay/internal/domain/store"
	"cuminbay/internal/domain/unit"
	"cuminbay/internal/kernel/plugin"
	"cuminbay/internal/route/table"
)

const section = "replica"

// The operations of other plug-ins that the controller uses.
type (
	engineClient interface {
		FetchReport(ctx context.Context, address string) (*report.Report, error)
	}
	ownerLookup interface {
		Owner(key string) ident.Instance
		Owners(key string, n int) []ident.Instance
	}
	keyLister interface {
		List(ctx context.Context, prefix store.Key) ([]store.Entry, unit.Revision, error)
	}
	recordSource interface {
		View() *record.View
	}
	instanceLister interface {
		Instances() []roster.Instance
	}
)

// controller probes the members of the replicas that this daemon owns and
// attests their states.
type controller struct {
	plugin.BackgroundTasks
	*Tracker
	deps     *plugin.Deps
	settings *Settings
	self     ident.Instance
	pool     pond.Pool

	engines engineClient
	owners  ownerLookup
	lister  keyLister
	records recordSource
	roster  instanceLister
	drains  drainStates

	// started says that the interfaces above are set. Plug-ins that start
	// earlier may already call Endpoints.
	started atomic.Bool

	// lastServing and lastRound are used only by the goroutine that probes.
	lastServing map[ident.Replica]bool
	lastRound   time.Time

	servingGauge  prometheus.Gauge
	strandedGauge prometheus.Gauge
	downSeconds   prometheus.Counter
	probeFailures prometheus.Counter
}

func newPlugin(deps *plugin.Deps) (plugin.Plugin, error) {
	s := deps.Settings.Section(section).(*Settings)
	c := &controller{
		deps: deps, settings: s, self: deps.Settings.Daemon.Instance,
		lastServing: make(map[ident.Replica]bool),
		Tracker: NewTracker(Options{
			Clock: deps.Clock, Self: deps.Settings.Daemon.Instance, DataCentre: deps.Settings.Daemon.DataCentre,
			Incarnation: unit.Incarnation(deps.Clock.Now().UnixMilli()),
			StaleAfter:  s.StaleAfter.Duration, AttestStaleAfter: s.AttestStaleAfter.Duration,
		}),
		servingGauge: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "cuminbay_replicas_serving", Help: "Replicas of the data centre that serve, as seen here.",
		}),
		strandedGauge: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "cuminbay_accelerators_stranded", Help: "Accelerators of the data centre's listed engines outside any serving replica.",
		}),
		downSeconds: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "cuminbay_replica_down_seconds_total", Help: "Seconds that assigned replicas owned by this daemon did not serve.",
		}),
		probeFailures: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "cuminbay_replica_probe_failures_total", Help: "Reads of members' reports that failed.",
		}),
	}
	for _, metric := range []prometheus.Collector{c.servingGauge, c.strandedGauge, c.downSeconds, c.probeFailures} {
		if err := deps.Metrics.Register(metric); err != nil {
			return nil, err
		}
	}
	deps.Provide(c)
	return c, nil
}

// Start begins to read assignments and to probe members.
func (c *controller) Start(context.Context) error {
	if err := c.deps.Resolve(&c.engines, &c.owners, &c.lister, &c.records, &c.roster, &c.drains); err != nil {
		return err
	}
	c.pool = pond.NewPool(c.settings.Probes)
	c.started.Store(true)
	c.Every(c.deps.Clock, c.settings.AssignInterval.Duration, c.readAssignments)
	c.Every(c.deps.Clock, c.settings.ProbeInterval.Duration, c.runRound)
	return nil
}

// Stop ends the rounds and the probes.
func (c *controller) Stop(ctx context.Context) error {
	err := c.BackgroundTasks.Stop(ctx)
	if c.pool != nil {
		c.pool.Stop()
	}
	return err
}

// Endpoints returns the endpoints of the data centre's serving replicas.
func (c *controller) Endpoints() []table.Endpoint {
	if !c.started.Load() {
		return nil
	}
	return Endpoints(c.options.DataCentre, c.AttestedStates(), c.records.View(), c.drains)
}

// RemovalPlanned reports whether the removal of an endpoint was planned.
func (c *controller) RemovalPlanned(e *table.Endpoint) bool {
	return RemovalPlanned(e, c.AttestedStates(), c.drains)
}

// owns reports whether this daemon owns the replica.
func (c *controller) owns(r ident.Replica) bool {
	return c.owners.Owner("replica/"+string(r)) == c.self
}

// assignmentReaders is the number of daemons of a data centre that read
// assignments from the platform. The others get the assignments from these.
const assignmentReaders = 2

// readAssignments reads the assignments if this daemon is one of the readers.
func (c *controller) readAssignments(ctx context.Context) {
	if !slices.Contains(c.owners.Owners("assign", assignmentReaders), c.self) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, c.settings.AssignInterval.Duration)
	defer cancel()
	entries, _, err := c.lister.List(ctx, store.AssignmentPrefix)
	if err != nil {
		c.deps.Log.Debug().Err(err).Msg("assignments-not-read")
		return
	}
	for _, e := range entries {
		var a report.Assignment
		err := json.Unmarshal(e.Value, &a)
		if err == nil {
			_, err = c.UpdateAssignment(a)
		}
		if err != nil {
			c.deps.Log.Warn().Err(err).Str("key", string(e.Key)).Msg("assignment-rejected")
		}
	}
}

// runRound probes the members once, publishes the attestation and records the
// changes.
func (c *controller) runRound(ctx context.Context) {
	c.probeMembers(ctx)
	if ctx.Err() != nil {
		return
	}
	c.PublishAttestation(c.owns)
	c.recordChanges(c.deps.Clock.Now())
}

// probeMembers requests the reports of the members and stores the valid ones.
func (c *controller) probeMembers(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, c.settings.ProbeInterval.Duration)
	defer cancel()
	group := c.pool.NewGroup()
	for _, m := range c.ProbeTargets(c.owns) {
		group.Submit(func() {
			if ctx.Err() != nil {
				return
			}
			requestedAt := c.deps.Clock.Now()
			r, err := c.engines.FetchReport(ctx, m.Address)
			if err != nil || r.Check() != nil || r.Instance != m.Instance {
				c.probeFailures.Inc()
				return
			}
			c.ObserveReport(r, requestedAt)
		})
	}
	if err := group.Wait(); err != nil {
		c.deps.Log.Debug().Err(err).Msg("probes-stopped")
	}
}

// recordChanges records the replicas that started or stopped serving, and
// updates the metrics.
func (c *controller) recordChanges(now time.Time) {
	elapsed := now.Sub(c.lastRound).Seconds()
	if c.lastRound.IsZero() {
		elapsed = 0
	}
	c.lastRound = now
	states := c.AttestedStates()
	serving := make(map[ident.Replica]bool, len(states))
	usedInstances := make(map[ident.Instance]bool)
	for i := range states {
		s := &states[i]
		serving[s.Replica] = s.Serving
		if s.Serving {
			for _, m := range s.Members {
				usedInstances[m] = true
			}
		} else if c.owns(s.Replica) {
			c.downSeconds.Add(elapsed)
		}
		if s.Serving != c.lastServing[s.Replica] {
			c.recordEvent(s)
		}
	}
	for id, wasServing := range c.lastServing {
		if _, ok := serving[id]; !ok && wasServing {
			c.deps.Timeline.Record("replica-stopped", string(id), "reason", "no longer assigned")
		}
	}
	c.lastServing = serving
	c.setGauges(serving, usedInstances)
}

// recordEvent records in the timeline that a replica started or stopped
// serving.
func (c *controller) recordEvent(s *State) {
	epoch := strconv.FormatUint(uint64(s.Epoch), 10)
	if s.Serving {
		c.deps.Timeline.Record("replica-serving", string(s.Replica), "epoch", epoch)
		return
	}
	reason, member := "unknown", ""
	if len(s.UnreadyMembers) > 0 {
		reason, member = s.UnreadyMembers[0].Reason, string(s.UnreadyMembers[0].Instance)
	}
	c.deps.Timeline.Record("replica-stopped", string(s.Replica), "epoch", epoch, "reason", reason, "member", member)
}

// setGauges sets the number of serving replicas and the number of accelerators
// of instances outside of these.
func (c *controller) setGauges(serving map[ident.Replica]bool, usedInstances map[ident.Instance]bool) {
	count := 0
	for _, s := range serving {
		if s {
			count++
		}
	}
	c.servingGauge.Set(float64(count))
	stranded := 0
	for _, i := range c.roster.Instances() {
		if i.DataCentre == c.options.DataCentre && i.Role == roster.Engine && !usedInstances[i.ID] {
			stranded += int(i.Accelerators)
		}
	}
	c.strandedGauge.Set(float64(stranded))
}
