package timeline

import (
	"sort"
	"strings"
	"sync"

	"github.com/rs/zerolog"

	"cuminbay/internal/domain/ident"
)

// Event is one entry of the timeline.
type Event struct {
	Timestamp Timestamp      `json:"stamp"`
	Process   ident.Instance `json:"process"`
	Name      string         `json:"name"`
	Subject   string         `json:"subject,omitempty"`
	Fields    []Field        `json:"fields,omitempty"`
	Sequence  uint64         `json:"sequence"`
}

// Field is a detail of an event.
type Field struct {
	Key   string `json:"key"`
	Value string `json:"value"`
}

// FormatFields returns the fields as key=value pairs, separated by spaces.
func (e Event) FormatFields() string {
	pairs := make([]string, 0, len(e.Fields))
	for _, f := range e.Fields {
		pairs = append(pairs, f.Key+"="+f.Value)
	}
	return strings.Join(pairs, " ")
}

// Recorder keeps the last events of a process in a ring buffer and logs each
// event. It is meant for state changes, not for every request.
type Recorder struct {
	*HybridClock
	process ident.Instance
	log     zerolog.Logger

	mu            sync.Mutex
	ring          []Event
	recordedCount uint64
}

// RecorderOptions are the dependencies and the size of a Recorder.
type RecorderOptions struct {
	HybridClock *HybridClock
	Process     ident.Instance
	Log         zerolog.Logger
	// Capacity is the number of events that the recorder keeps.
	Capacity int
}

// NewRecorder returns an empty recorder.
func NewRecorder(o RecorderOptions) *Recorder {
	return &Recorder{
		HybridClock: o.HybridClock,
		process:     o.Process,
		log:         o.Log,
		ring:        make([]Event, max(o.Capacity, 1)),
	}
}

// Record adds an event. The pairs are alternating keys and values.
func (r *Recorder) Record(name, subject string, pairs ...string) {
	e := Event{Timestamp: r.Now(), Process: r.process, Name: name, Subject: subject}
	logEvent := r.log.Info().Str("subject", subject)
	for i := 0; i+1 < len(pairs); i += 2 {
		e.Fields = append(e.Fields, Field{Key: pairs[i], Value: pairs[i+1]})
		logEvent = logEvent.Str(pairs[i], pairs[i+1])
	}
	logEvent.Msg(name)

	r.mu.Lock()
	defer r.mu.Unlock()
	e.Sequence = r.recordedCount
	r.ring[r.recordedCount%uint64(len(r.ring))] = e
	r.recordedCount++
}

// Events returns the recorded events, the oldest first.
func (r *Recorder) Events() []Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	size := uint64(len(r.ring))
	first := r.recordedCount - min(r.recordedCount, size)
	events := make([]Event, 0, r.recordedCount-first)
	for i := first; i < r.recordedCount; i++ {
		events = append(events, r.ring[i%size])
	}
	return events
}

// Merge returns the events of several processes in the order of their
// timestamps.
func Merge(lists ...[]Event) []Event {
	var all []Event
	for _, l := range lists {
		all = append(all, l...)
	}
	sort.SliceStable(all, func(i, j int) bool {
		a, b := all[i], all[j]
		if a.Timestamp != b.Timestamp {
			return a.Timestamp < b.Timestamp
		}
		if a.Process != b.Process {
			return a.Process < b.Process
		}
		return a.Sequence < b.Sequence
	})
	return all
}
