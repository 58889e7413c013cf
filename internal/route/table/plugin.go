package table

import (
	"context"
	"strconv"
	"time"

	"cuminbay/internal/kernel/plugin"
	"cuminbay/internal/kernel/settings"
)

func init() {
	settings.Register("table", func() any {
		return &Settings{Interval: settings.DurationOf(100 * time.Millisecond)}
	})
	plugin.Register(plugin.Decision, "table", newPlugin)
}

// Settings are the settings in the section "table".
type Settings struct {
	// Interval is the time between two reads of the endpoint sources.
	Interval settings.Duration `json:"interval" validate:"duration"`
}

// endpointSource offers the endpoints that the source considers to be in service.
type endpointSource interface {
	Endpoints() []Endpoint
}

// removalChecker tells a planned removal of an endpoint that is no longer offered from a
// failure. After a planned removal the endpoint completes its requests in flight.
type removalChecker interface {
	RemovalPlanned(e *Endpoint) bool
}

// component publishes the table from the endpoints of all sources.
type component struct {
	plugin.BackgroundTasks
	deps            *plugin.Deps
	settings        *Settings
	publisher       *Publisher
	sources         []endpointSource
	removalCheckers []removalChecker
}

func newPlugin(deps *plugin.Deps) (plugin.Plugin, error) {
	c := &component{
		deps:      deps,
		settings:  deps.Settings.Section("table").(*Settings),
		publisher: NewPublisher(),
	}
	deps.Provide(c.publisher)
	return c, nil
}

// Start implements plugin.Plugin. It starts the task that publishes the table.
func (c *component) Start(context.Context) error {
	if err := c.deps.ResolveAll(&c.sources); err != nil {
		return err
	}
	if err := c.deps.ResolveAll(&c.removalCheckers); err != nil {
		return err
	}
	c.Every(c.deps.Clock, c.settings.Interval.Duration, func(context.Context) { c.publishTable() })
	return nil
}

// publishTable reads the sources and publishes their endpoints if they have changed.
func (c *component) publishTable() {
	var endpoints []Endpoint
	for _, s := range c.sources {
		endpoints = append(endpoints, s.Endpoints()...)
	}
	before := c.publisher.Current()
	if c.publisher.Publish(endpoints) {
		after := c.publisher.Current()
		c.signalStoppedEndpoints(before, after)
		c.deps.Timeline.Record("table-published", strconv.FormatUint(after.Generation(), 10),
			"endpoints", strconv.Itoa(len(endpoints)))
	}
}

// signalStoppedEndpoints notifies the requests in flight to engines that have left the
// table or were formed again, unless the removal was planned.
func (c *component) signalStoppedEndpoints(before, after *Table) {
	for _, e := range before.endpoints {
		current := after.byID[e.ID]
		if (current == nil || current.stopSignal != e.stopSignal) && e.Protocol == Engine && !c.isRemovalPlanned(e) {
			e.SignalStopped()
		}
	}
}

func (c *component) isRemovalPlanned(e *Endpoint) bool {
	for _, p := range c.removalCheckers {
		if p.RemovalPlanned(e) {
			return true
		}
	}
	return false
}
