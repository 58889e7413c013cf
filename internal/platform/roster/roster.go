// Package roster reads the platform's list of live and leaving instances over
// HTTP.
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
	"cuminbay/internal/kernel/plugin"
	"cuminbay/internal/kernel/settings"
)

const section = "roster"

// Settings are the section "roster".
type Settings struct {
	// URL of the platform's list of instances.
	URL string `json:"url" validate:"url"`
	// Interval is the time between two reads of the list.
	Interval settings.Duration `json:"interval" validate:"duration"`
	// Timeout bounds a read of the list.
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

// component is the plug-in.
type component struct {
	plugin.BackgroundTasks
	clock    clock.Clock
	interval time.Duration
	list     *List
}

// Start begins reading the list.
func (p *component) Start(context.Context) error {
	p.Every(p.clock, p.interval, func(context.Context) { p.list.Refresh() })
	return nil
}

// Options are the parts of a List.
type Options struct {
	Clock clock.Clock
	Log   zerolog.Logger
	URL   string
	// Timeout bounds one read of the list.
	Timeout time.Duration
}

// List holds the last good list. Readers take it without a lock.
type List struct {
	options Options
	client  fasthttp.Client
	current atomic.Pointer[snapshot]

	// The rest belongs to the one goroutine that calls Refresh.
	bodyHash     uint64
	loggedFaults map[string]bool
	failing      bool
}

type snapshot struct {
	instances   []roster.Instance
	requestedAt time.Time
}

// maxBody bounds the list; 12,840 entries of 300 bytes make 4 MB.
const maxBody = 32 << 20

// New returns an empty list; Refresh reads it.
func New(o Options) *List {
	return &List{options: o, client: fasthttp.Client{MaxResponseBodySize: maxBody}}
}

// Instances returns the last good list in order of id, or nil before the first
// one. It is shared and must not be changed.
func (l *List) Instances() []roster.Instance {
	if s := l.current.Load(); s != nil {
		return s.instances
	}
	return nil
}

// ListAge returns the age of the list, or the longest duration before the first
// one.
func (l *List) ListAge() time.Duration {
	if s := l.current.Load(); s != nil {
		return l.options.Clock.Since(s.requestedAt)
	}
	return math.MaxInt64
}

// Refresh reads the list once. On failure the last good list stays, and the
// first failure in a row is logged.
func (l *List) Refresh() {
	err := l.refresh()
	if err != nil && !l.failing {
		l.options.Log.Warn().Err(err).Str("url", l.options.URL).Msg("roster-unavailable")
	}
	l.failing = err != nil
}

func (l *List) refresh() error {
	// The age counts from the request, as the answer may be as old as that.
	requestedAt := l.options.Clock.Now()
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI(l.options.URL)
	if err := l.client.DoTimeout(req, resp, l.options.Timeout); err != nil {
		return err
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		return fmt.Errorf("status %d", resp.StatusCode())
	}
	// Decoding megabytes of JSON once a second would take a large part of
	// the daemon's processor budget, so an unchanged body is not decoded.
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
		return nil, fmt.Errorf("not a JSON array: %w", err)
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
		return nil, fmt.Errorf("none of %d entries is valid", len(raw))
	}
	slices.SortFunc(instances, func(a, b roster.Instance) int { return strings.Compare(string(a.ID), string(b.ID)) })
	return instances, nil
}

// logNewFaults logs each fault when it appears; one that went away is logged again
// if it comes back.
func (l *List) logNewFaults(faults map[string]bool) {
	for fault := range faults {
		if !l.loggedFaults[fault] {
			l.options.Log.Warn().Str("reason", fault).Msg("roster-entry-skipped")
		}
	}
	l.loggedFaults = faults
}
