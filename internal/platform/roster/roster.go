// Package roster polls the platform's list of instances over HTTP and keeps the last
// valid list, for the plug-ins that need the addresses and states of instances.
package roster

import (
	"context"
	"encoding/json"
	"fmt"
	"math"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rs/zerolog"
	"github.com/valyala/fasthttp"

	"cuminbay/internal/domain/ident"
	"cuminbay/internal/domain/roster"
	"cuminbay/internal/kernel/clock"
	"cuminbay/internal/kernel/http1"
	"cuminbay/internal/kernel/plugin"
	"cuminbay/internal/kernel/settings"
)

const section = "roster"

// Settings holds the settings section "roster".
type Settings struct {
	// URL is the URL of the platform's list of instances.
	URL string `json:"url" validate:"url"`
	// Interval is the time between two reads of the list.
	Interval settings.Duration `json:"interval" validate:"duration"`
	// Timeout is the time limit of a read of the list.
	Timeout settings.Duration `json:"timeout" validate:"duration"`
}

func init() {
	settings.Register(section, func() any {
		return &Settings{
			URL:      "http://127.0.0.1:2380/roster",
			Interval: settings.DurationOf(time.Second),
			Timeout:  settings.DurationOf(2 * time.Second),
		}
	})
	plugin.Register(plugin.Roster, "http", func(deps *plugin.Deps) (plugin.Plugin, error) {
		s := deps.Settings.Section(section).(*Settings)
		p := &component{clock: deps.Clock, interval: s.Interval.Duration, list: New(Options{
			Clock: deps.Clock, Log: deps.Log, URL: s.URL, Timeout: s.Timeout.Duration,
		})}
		deps.Provide(p.list)
		return p, nil
	})
}

// component is the plug-in that refreshes the list.
type component struct {
	plugin.BackgroundTasks
	clock    clock.Clock
	interval time.Duration
	list     *List
}

// Start refreshes the list in the background, once per interval.
func (c *component) Start(context.Context) error {
	c.Every(c.clock, c.interval, func(context.Context) { c.list.Refresh() })
	return nil
}

// Options configure a List.
type Options struct {
	Clock clock.Clock
	Log   zerolog.Logger
	URL   string
	// Timeout is the time limit of one read of the list.
	Timeout time.Duration
}

// List holds the last valid list of instances. Reads take no lock.
type List struct {
	options Options
	client  fasthttp.Client
	current atomic.Pointer[snapshot]

	// Only the goroutine that calls Refresh uses the following fields.
	bodyHash     uint64
	loggedFaults map[string]bool
	failing      bool
}

// snapshot is a valid list and the time of the request that returned it.
type snapshot struct {
	instances   []roster.Instance
	requestedAt time.Time
}

// maxBodyBytes is the limit of the list's size in bytes. 12,840 entries of 300 bytes take
// 4 MB.
const maxBodyBytes = 32 << 20

// New returns an empty List. Refresh fills it.
func New(o Options) *List {
	return &List{options: o, client: fasthttp.Client{MaxResponseBodySize: maxBodyBytes, ConfigureClient: http1.ConfigureClient}}
}

// Instances returns the last valid list in order of id, or nil before the first one.
// Callers must not change the slice.
func (l *List) Instances() []roster.Instance {
	if s := l.current.Load(); s != nil {
		return s.instances
	}
	return nil
}

// ListAge returns the age of the last valid list, or the longest duration before the
// first one.
func (l *List) ListAge() time.Duration {
	if s := l.current.Load(); s != nil {
		return l.options.Clock.Since(s.requestedAt)
	}
	return math.MaxInt64
}

// Refresh reads the list once. If that fails, the last valid list stays in use; only
// the first of consecutive failures is logged.
func (l *List) Refresh() {
	err := l.refresh()
	if err != nil && !l.failing {
		l.options.Log.Warn().Err(err).Str("url", l.options.URL).Msg("roster-unavailable")
	}
	l.failing = err != nil
}

func (l *List) refresh() error {
	// The age counts from the request, since the platform may have made the list
	// at any time after it.
	requestedAt := l.options.Clock.Now()
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI(l.options.URL)
	if err := l.client.DoTimeout(req, resp, l.options.Timeout); err != nil {
		return err
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		return fmt.Errorf("read list of instances: got status %d, expected 200", resp.StatusCode())
	}
	// Decoding megabytes of JSON every second would take a large part of the
	// daemon's CPU budget, so an unchanged body is not decoded again.
	hash := xxhash.Sum64(resp.Body())
	if current := l.current.Load(); current != nil && hash == l.bodyHash {
		l.current.Store(&snapshot{current.instances, requestedAt})
		return nil
	}
	instances, err := l.decode(resp.Body())
	if err != nil {
		return err
	}
	l.bodyHash = hash
	l.current.Store(&snapshot{instances, requestedAt})
	return nil
}

func (l *List) decode(body []byte) ([]roster.Instance, error) {
	var raw []json.RawMessage
	if err := json.Unmarshal(body, &raw); err != nil {
		return nil, fmt.Errorf("decode list of instances: not a JSON array: %w", err)
	}
	instances := make([]roster.Instance, 0, len(raw))
	seen := make(map[ident.Instance]bool, len(raw))
	faults := make(map[string]bool)
	for _, entry := range raw {
		var instance roster.Instance
		err := json.Unmarshal(entry, &instance)
		if err == nil {
			err = instance.Check()
		}
		if err == nil && seen[instance.ID] {
			err = fmt.Errorf("instance %s: listed twice", instance.ID)
		}
		if err != nil {
			faults[err.Error()] = true
			continue
		}
		seen[instance.ID] = true
		instances = append(instances, instance)
	}
	l.logNewFaults(faults)
	if len(instances) == 0 && len(raw) > 0 {
		return nil, fmt.Errorf("list of instances: none of %d entries is valid, expected at least one", len(raw))
	}
	slices.SortFunc(instances, func(a, b roster.Instance) int { return strings.Compare(string(a.ID), string(b.ID)) })
	return instances, nil
}

// logNewFaults logs the faults that the previous list did not have.
func (l *List) logNewFaults(faults map[string]bool) {
	for fault := range faults {
		if !l.loggedFaults[fault] {
			l.options.Log.Warn().Str("reason", fault).Msg("roster-entry-skipped")
		}
	}
	l.loggedFaults = faults
}
