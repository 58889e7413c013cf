// Package etcd is a client of the platform's key-value store, which speaks the JSON
// gateway protocol of etcd v3 over HTTP. Other plug-ins use it to read, write and
// watch keys and to hold leases.
package etcd

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"cuminbay/internal/domain/unit"
	"cuminbay/internal/kernel/plugin"
	"cuminbay/internal/kernel/settings"
)

const section = "platform"

// Settings holds the settings section "platform".
type Settings struct {
	// Addresses are the addresses of the platform. Reads try them in turn.
	Addresses []string `json:"addresses" validate:"min=1,dive,address"`
	// Timeout is the time limit of a call to one address.
	Timeout settings.Duration `json:"timeout" validate:"duration"`
	// WatchIdle is the time without a message after which a watch is opened
	// again, since its connection may have stalled.
	WatchIdle settings.Duration `json:"watchIdle" validate:"duration"`
	// MaxResponse is the limit of the size of a response in bytes.
	MaxResponse unit.Bytes `json:"maxResponse" validate:"min=1048576"`
}

// A change has to be in effect within 12 s, so the default of WatchIdle is far below
// 12 s. The default of MaxResponse has room for the 64 claim shards of 1 MB each,
// encoded as base64.
const (
	defaultTimeout     = 2 * time.Second
	defaultWatchIdle   = 4 * time.Second
	defaultMaxResponse = 96 << 20
)

func init() {
	settings.Register(section, func() any {
		return &Settings{
			Addresses:   []string{"127.0.0.1:2379"},
			Timeout:     settings.DurationOf(defaultTimeout),
			WatchIdle:   settings.DurationOf(defaultWatchIdle),
			MaxResponse: defaultMaxResponse,
		}
	})
	plugin.Register(plugin.Platform, "etcd", newPlugin)
}

func newPlugin(deps *plugin.Deps) (plugin.Plugin, error) {
	s := deps.Settings.Section(section).(*Settings)
	c := New(Options{
		Addresses:   s.Addresses,
		Clock:       deps.Clock,
		Timeout:     s.Timeout.Duration,
		WatchIdle:   s.WatchIdle.Duration,
		MaxResponse: s.MaxResponse,
	})
	stale := prometheus.NewCounterFunc(prometheus.CounterOpts{
		Name: "cuminbay_platform_stale_total",
		Help: "Answers of the platform at a lower revision than one seen before.",
	}, func() float64 { return float64(c.StaleResponses()) })
	if err := deps.Metrics.Register(stale); err != nil {
		return nil, err
	}
	deps.Provide(c)
	return plugin.NoLifecycle{}, nil
}
