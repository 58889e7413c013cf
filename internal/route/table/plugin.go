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

// Settings are the settings of the table plug-in.
type Settings struct {
	// Interval is the time between two looks at the sources of endpoints.
	Interval settings.Duration `json:"interval" validate:"duration"`
}

// source offers the endpoints that it knows to be in service.
type source interface {
	Endpoints() []Endpoint
}

// planner says whether an endpoint that is no longer offered was taken out as
// planned. Requests in flight to it then end by themselves.
type planner interface {
	RemovalPlanned(e *Endpoint) bool
}

// builder publishes the table from its sources.
type builder struct {
	plugin.BackgroundTasks
	deps      *plugin.Deps
	settings  *Settings
	publisher *Publisher
	sources   []source
	planners  []planner
}

func newPlugin(d *plugin.Deps) (plugin.Plugin, error) {
	b := &builder{
		deps:      d,
		settings:  d.Settings.Section("table").(*Settings),
		publisher: NewPublisher(),
	}
	d.Provide(b.publisher)
	return b, nil
}

// Start begins to publish.
func (b *builder) Start(context.Context) error {
	if err := b.deps.ResolveAll(&b.sources); err != nil {
		return err
	}
	if err := b.deps.ResolveAll(&b.planners); err != nil {
		return err
	}
	b.Every(b.deps.Clock, b.settings.Interval.Duration, func(context.Context) { b.publish() })
	return nil
}

func (b *builder) publish() {
	var endpoints []Endpoint
	for _, s := range b.sources {
		endpoints = append(endpoints, s.Endpoints()...)
	}
	before := b.publisher.Current()
	if b.publisher.Publish(endpoints) {
		t := b.publisher.Current()
		b.signalStopped(before, t)
		b.deps.Timeline.Record("table-published", strconv.FormatUint(t.Generation(), 10),
			"endpoints", strconv.Itoa(len(endpoints)))
	}
}

// signalStopped tells the requests in flight to endpoints that have stopped.
func (b *builder) signalStopped(before, after *Table) {
	for _, e := range before.endpoints {
		now := after.byID[e.ID]
		if (now == nil || now.stop != e.stop) && e.Protocol == Engine && !b.removalPlanned(e) {
			e.SignalStopped()
		}
	}
}

func (b *builder) removalPlanned(e *Endpoint) bool {
	for _, p := range b.planners {
		if p.RemovalPlanned(e) {
			return true
		}
	}
	return false
}
