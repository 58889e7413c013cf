package engine

import (
	"time"

	"cuminbay/internal/domain/ident"
	"cuminbay/internal/domain/unit"
	"cuminbay/internal/kernel/clock"
)

// Options configure an engine. Zero selects the default in brackets. A negative
// duration, count or share counts as zero, but BatchSize and ColdSlowdown are at
// least 1 and PollInterval at least 1 ms.
type Options struct {
	Clock        clock.Clock        `no-flag:"true"`
	Instance     ident.Instance     `long:"instance" required:"true" description:"instance id"`
	DataCentre   ident.DataCentre   `long:"data-centre" description:"data centre of the instance"`
	Domain       ident.FabricDomain `long:"domain" description:"fabric domain of the instance"`
	Accelerators unit.Accelerators  `long:"accelerators" description:"accelerators of the instance [2]"`
	// IgnoreFencing makes the engine accept orders of earlier epochs.
	IgnoreFencing bool `no-flag:"true"`

	LoadTime     time.Duration `long:"load-time" description:"time to load after an order [300ms]"`
	ColdTime     time.Duration `long:"cold-time" description:"time to stay cold after a load [1s]"`
	ColdRequests int           `long:"cold-requests" description:"requests after which the engine is warm [8]"`
	ColdLimit    int           `long:"cold-limit" description:"requests at once that a cold engine accepts [2]"`
	ColdSlowdown float64       `long:"cold-factor" description:"how much slower a cold engine is [4]"`

	BatchSize      int           `long:"batch" description:"requests that run at once [16]"`
	QueueLimit     int           `long:"queue" description:"requests that wait before more are refused [256]"`
	FirstTokenTime time.Duration `long:"first-token" description:"time to the first token, without the prompt's blocks [10ms]"`
	BlockTime      time.Duration `long:"block-time" description:"time of each block of the prompt that isn't cached [2ms]"`
	TokenTime      time.Duration `long:"token-time" description:"time of a token in a batch of one [4ms]"`
	BatchSlowdown  float64       `long:"batch-factor" description:"growth of the time of a token with each request of the batch [0.05]"`
	AnswerTokens   int           `long:"answer-tokens" description:"tokens of an answer [16 to 63, by the prompt]"`
	CacheBlocks    int           `long:"cache-blocks" description:"blocks of the prefix cache [1024]"`

	ReportLag      time.Duration `long:"report-lag" description:"age of the load in reports [50ms]"`
	EventLag       time.Duration `long:"event-lag" description:"age at which cache events show in reports [100ms]"`
	EventDropShare float64       `long:"event-drop" description:"share of cache events that are lost [0.1]"`
	Seed           uint64        `long:"seed" description:"seed of the choice of lost cache events"`
	PollInterval   time.Duration `long:"poll" description:"interval of polling the other members [100ms]"`
	PollTimeout    time.Duration `long:"poll-limit" description:"time limit of a poll [300ms]"`
	CrashDowntime  time.Duration `long:"crash-time" description:"time the engine is down after a crash [500ms]"`
}

// withDefaults replaces zeros by the defaults, which are short enough for
// demonstrations that take less than a second.
func (o Options) withDefaults() Options {
	if o.Clock == nil {
		o.Clock = clock.Real()
	}
	if o.Accelerators == 0 {
		o.Accelerators = 2
	}
	durations := []struct {
		field *time.Duration
		value time.Duration
	}{
		{&o.LoadTime, 300 * time.Millisecond},
		{&o.ColdTime, time.Second},
		{&o.FirstTokenTime, 10 * time.Millisecond},
		{&o.BlockTime, 2 * time.Millisecond},
		{&o.TokenTime, 4 * time.Millisecond},
		{&o.ReportLag, 50 * time.Millisecond},
		{&o.EventLag, 100 * time.Millisecond},
		{&o.PollInterval, 100 * time.Millisecond},
		{&o.PollTimeout, 300 * time.Millisecond},
		{&o.CrashDowntime, 500 * time.Millisecond},
	}
	for _, d := range durations {
		if *d.field == 0 {
			*d.field = d.value
		}
		*d.field = max(*d.field, 0)
	}
	counts := []struct {
		field *int
		value int
	}{{&o.ColdRequests, 8}, {&o.ColdLimit, 2}, {&o.BatchSize, 16}, {&o.QueueLimit, 256}, {&o.CacheBlocks, 1024}}
	for _, n := range counts {
		if *n.field == 0 {
			*n.field = n.value
		}
		*n.field = max(*n.field, 0)
	}
	shares := []struct {
		field *float64
		value float64
	}{{&o.ColdSlowdown, 4}, {&o.BatchSlowdown, 0.05}, {&o.EventDropShare, 0.1}}
	for _, s := range shares {
		if *s.field == 0 {
			*s.field = s.value
		}
		*s.field = max(*s.field, 0)
	}
	o.BatchSize = max(o.BatchSize, 1)
	o.ColdSlowdown = max(o.ColdSlowdown, 1)
	o.PollInterval = max(o.PollInterval, time.Millisecond)
	return o
}

// Faults are the active faults. SetFaults replaces all of them.
type Faults struct {
	// Pause stops all processing, as SIGSTOP would.
	Pause bool `json:"pause"`
	// StallConnections stalls the connections that are open when the fault is set.
	// Later connections work.
	StallConnections bool `json:"silent"`
	// CutOffAfter closes the connection of an answer after this many tokens;
	// zero disables the fault.
	CutOffAfter int `json:"tearAfter"`
	// ForeignAnswers makes the response headers name another replica.
	ForeignAnswers bool `json:"crossAnswers"`
	// ColdNow makes a warm engine cold when the fault is set.
	ColdNow bool `json:"coldNow"`
	// CrashOn crashes the engine when a prompt that contains this text enters
	// the batch. Empty disables the fault.
	CrashOn string `json:"crashOn"`
	// Slowdown multiplies the time to the first token and between tokens; zero
	// disables the fault.
	Slowdown float64 `json:"slow"`
	// Endless makes the body of an answer, or the event of a streamed one, have no end.
	Endless bool `json:"endless"`
	// Head replaces the status line of each answer to a completion. Empty disables the fault.
	Head string `json:"head"`
}
