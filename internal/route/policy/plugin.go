package policy

import (
	"time"

	"cuminbay/internal/domain/unit"
	"cuminbay/internal/kernel/plugin"
	"cuminbay/internal/kernel/settings"
)

func init() {
	settings.Register("policy", func() any {
		return &Settings{
			Name:         "estimate",
			CacheEntries: 1 << 16,
			LeastLimit:   1,
			Target:       settings.DurationOf(2 * time.Second),
		}
	})
	plugin.Register(plugin.Policy, "estimate", newLeastCostPlugin)
	plugin.Register(plugin.Policy, "random2", newRandom2Plugin)
}

// Settings are the settings in the section "policy".
type Settings struct {
	// Name is the policy in use: estimate or random2.
	Name string `json:"name" validate:"oneof=estimate random2"`
	// CacheEntries bounds the prompt prefixes that are recorded.
	CacheEntries int `json:"cacheEntries" validate:"min=1,max=16777216"`
	// LeastLimit is the lowest adaptive limit of an endpoint.
	LeastLimit unit.Requests `json:"leastLimit" validate:"min=1"`
	// Target is the time to the first token above which limits are decreased.
	Target settings.Duration `json:"target" validate:"duration"`
}

func newLeastCostPlugin(deps *plugin.Deps) (plugin.Plugin, error) {
	s := deps.Settings.Section("policy").(*Settings)
	if s.Name != "estimate" {
		return nil, nil
	}
	deps.Provide(NewLeastCost(LeastCostOptions{
		CacheEntries: s.CacheEntries,
		Limits:       LimitOptions{Min: s.LeastLimit, FirstTokenTarget: s.Target.Duration},
	}))
	return plugin.NoLifecycle{}, nil
}

func newRandom2Plugin(deps *plugin.Deps) (plugin.Plugin, error) {
	if deps.Settings.Section("policy").(*Settings).Name != "random2" {
		return nil, nil
	}
	deps.Provide(Random2{})
	return plugin.NoLifecycle{}, nil
}
