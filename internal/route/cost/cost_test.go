package cost

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"cuminbay/internal/domain/cluster"
)

// TestPredict guards against estimates that ignore what the caller or the engine says, and against
// work at a model of other times than its own.
func TestPredict(t *testing.T) {
	engine := &cluster.Engine{
		StepTime: 10 * time.Millisecond, PrefillRate: 50_000, MeanOutput: 100,
		Models: []cluster.Model{{Name: "slow", TimeFactor: 1}, {Name: "fast", TimeFactor: 0.5}},
	}
	tests := map[string]struct {
		profile Profile
		engine  *cluster.Engine
		want    Estimate
	}{
		"published mean":               {Profile{Model: "slow", PromptTokens: 1000, MaxOutputTokens: 400}, engine, Estimate{100, 1020 * time.Millisecond}},
		"hint of the caller":           {Profile{Model: "slow", PromptTokens: 1000, LengthHint: 20}, engine, Estimate{20, 220 * time.Millisecond}},
		"times of the model":           {Profile{Model: "fast", PromptTokens: 1000}, engine, Estimate{100, 510 * time.Millisecond}},
		"unknown model":                {Profile{Model: "other", PromptTokens: 1000}, engine, Estimate{100, 0}},
		"service without engine times": {Profile{MaxOutputTokens: 400}, nil, Estimate{400, 0}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			qt.Check(t, New().Predict(test.profile, test.engine), qt.Equals, test.want)
		})
	}
}
