// Package trace replays recorded faults against the types that make a daemon's
// decisions, without processes or protocols. A trace is a file in testdata. It lists
// events in order, each with an optional wait before the event. Some events check
// the decisions of a daemon, such as the replicas that serve.
package trace

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"cuminbay/internal/domain/code"
	"cuminbay/internal/domain/drainstatus"
	"cuminbay/internal/domain/ident"
	"cuminbay/internal/domain/record"
	"cuminbay/internal/domain/report"
	"cuminbay/internal/domain/unit"
	"cuminbay/internal/fleet/config"
	"cuminbay/internal/fleet/drain"
	"cuminbay/internal/fleet/replica"
	"cuminbay/internal/kernel/clock"
	"cuminbay/internal/kernel/timeline"
	"cuminbay/internal/serve/poison"
)

// event is one line of a trace. The action determines which fields are set.
type event struct {
	Wait   string         `json:"wait,omitempty"`
	Action string         `json:"do"`
	Daemon ident.Instance `json:"who,omitempty"`
	From   ident.Instance `json:"from,omitempty"`
	// Section names the section of an exchange, or the origin of a record.
	// Label identifies a captured delta or a request.
	Section string `json:"part,omitempty"`
	Label   string `json:"note,omitempty"`

	Assignment *report.Assignment `json:"assign,omitempty"`
	Report     *report.Report     `json:"report,omitempty"`
	Age        string             `json:"age,omitempty"`
	Owned      []ident.Replica    `json:"owns,omitempty"`
	Target     drainstatus.Target `json:"target"`
	Drained    bool               `json:"out,omitempty"`

	Name     string          `json:"name,omitempty"`
	Revision unit.Revision   `json:"revision,omitempty"`
	Value    json.RawMessage `json:"value,omitempty"`

	Endpoints   []ident.Endpoint  `json:"ends,omitempty"`
	Fingerprint ident.Fingerprint `json:"print,omitempty"`
	Tokens      int               `json:"tokens,omitempty"`
	Code        code.Code         `json:"code,omitempty"`
	Want        []string          `json:"want,omitempty"`
}

// section is a part of the replicated state that daemons exchange.
type section interface {
	Digest() []byte
	Delta(digest []byte) []byte
	Merge(from ident.Instance, delta []byte) error
}

// drainSection merges a delta of drain statuses as the plug-in of package drain
// does.
type drainSection struct{ *drain.State }

func (s drainSection) Merge(_ ident.Instance, raw []byte) error {
	var statuses []drainstatus.Status
	if err := json.Unmarshal(raw, &statuses); err != nil {
		return err
	}
	for _, status := range statuses {
		if _, err := s.ApplyRemote(status); err != nil {
			return err
		}
	}
	return nil
}

// daemon holds the types of one daemon that the traces exercise.
type daemon struct {
	tracker    *replica.Tracker
	config     *config.State
	drain      drainSection
	detector   *poison.Detector
	dispatcher *scriptedDispatcher
}

func newDaemon(name ident.Instance, clk clock.Clock) *daemon {
	hybrid := timeline.NewHybridClock(clk)
	d := &daemon{
		tracker: replica.NewTracker(replica.Options{
			Clock: clk, Self: name, DataCentre: "kirtipur", Incarnation: 1,
			StaleAfter: 2 * time.Second, AttestStaleAfter: 3 * time.Second,
		}),
		config: config.NewState(clk, timeline.NewRecorder(timeline.RecorderOptions{HybridClock: hybrid, Log: zerolog.Nop()})),
		drain:  drainSection{drain.New(drain.Options{Self: name, HybridClock: hybrid})},
		detector: poison.New(poison.Options{
			Clock: clk, Self: name, Lifetime: 10 * time.Minute, Limit: 100,
		}),
	}
	d.config.SetReady()
	d.dispatcher = newScriptedDispatcher(clk, d)
	return d
}

func (d *daemon) section(name string) section {
	return map[string]section{"replica": d.tracker, "config": d.config, "drain": d.drain, "poison": d.detector}[name]
}

// replay is the state of a trace under replay.
type replay struct {
	*qt.C
	clk     clock.Clock
	daemons map[ident.Instance]*daemon
	// capturedDeltas are the captured deltas by label.
	capturedDeltas map[string][]byte
}

func (r *replay) daemon(name ident.Instance) *daemon {
	if r.daemons[name] == nil {
		r.daemons[name] = newDaemon(name, r.clk)
	}
	return r.daemons[name]
}

// applyEvent applies an event, or checks the state that the event names.
func (r *replay) applyEvent(e event) {
	if e.Wait != "" {
		<-r.clk.After(r.parseDuration(e.Wait))
	}
	d := r.daemon(e.Daemon)
	switch e.Action {
	case "wait":
	case "sync", "capture", "deliver":
		r.exchange(d, e)
	case "assign":
		_, err := d.tracker.UpdateAssignment(*e.Assignment)
		r.Assert(err, qt.IsNil)
	case "report":
		d.tracker.ObserveReport(e.Report, r.clk.Now().Add(-r.parseDuration(e.Age)))
	case "publish":
		d.tracker.PublishAttestation(func(id ident.Replica) bool { return slices.Contains(e.Owned, id) })
	case "set-drained":
		_, err := d.drain.SetStatus(e.Target, e.Drained)
		r.Assert(err, qt.IsNil)
	case "record":
		name, err := record.ParseName(e.Name)
		r.Assert(err, qt.IsNil)
		d.config.Apply(config.Origin(e.Section), []record.StoredRecord{{Name: name, Revision: e.Revision, Raw: e.Value}})
	case "endpoints":
		d.dispatcher.publishEndpoints(e.Endpoints)
	case "unhealthy":
		d.dispatcher.unhealthy = e.Endpoints
	case "request":
		d.dispatcher.submitRequest(e)
	case "answer":
		d.dispatcher.sendAnswer(r.C, e)
	default:
		r.Assert(r.observedState(d, e), qt.DeepEquals, e.Want)
	}
	synctest.Wait()
}

// observedState returns the state of a daemon that the event names, such as its
// serving replicas.
func (r *replay) observedState(d *daemon, e event) []string {
	var values []string
	switch e.Action {
	case "serving":
		for _, s := range d.tracker.AttestedStates() {
			if s.Serving {
				values = append(values, fmt.Sprintf("%s@%d", s.Replica, s.Epoch))
			}
		}
	case "drained":
		for _, status := range d.drain.Statuses() {
			if status.Drained {
				values = append(values, status.Target.ID)
			}
		}
	case "models":
		for _, deployment := range d.config.View().Deployments() {
			values = append(values, string(deployment.Model)+"-"+string(deployment.Version))
		}
	case "result":
		values = d.dispatcher.result(r.C, e)
	case "limits":
		for _, endpoint := range d.dispatcher.tables.Current().Endpoints() {
			values = append(values, fmt.Sprintf("%s %d", endpoint.ID, endpoint.EffectiveLimit(r.clk.Now())))
		}
	default:
		r.Fatalf("unknown action %q in the trace", e.Action)
	}
	return values
}

// exchange merges into one daemon the delta that it lacks from another. The action
// sync does so immediately. The action capture only keeps the delta, for a later event
// with the action deliver.
func (r *replay) exchange(to *daemon, e event) {
	delta := r.capturedDeltas[e.Label]
	if e.Action != "deliver" {
		delta = r.daemon(e.From).section(e.Section).Delta(to.section(e.Section).Digest())
	}
	if e.Action == "capture" {
		r.Assert(delta, qt.IsNotNil)
		r.capturedDeltas[e.Label] = delta
		return
	}
	if delta != nil {
		r.Assert(to.section(e.Section).Merge(e.From, delta), qt.IsNil)
	}
}

func (r *replay) parseDuration(s string) time.Duration {
	if s == "" {
		return 0
	}
	d, err := time.ParseDuration(s)
	r.Assert(err, qt.IsNil)
	return d
}

// TestTraces guards against wrong decisions under the faults that the traces replay.
// Each trace describes its fault in the field "about".
func TestTraces(t *testing.T) {
	files, err := filepath.Glob("testdata/*.json")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, len(files) >= 10, qt.IsTrue)
	for _, file := range files {
		t.Run(strings.TrimSuffix(filepath.Base(file), ".json"), func(t *testing.T) {
			raw, err := os.ReadFile(file)
			qt.Assert(t, err, qt.IsNil)
			var trace struct {
				About  string  `json:"about"`
				Events []event `json:"events"`
			}
			qt.Assert(t, json.Unmarshal(raw, &trace), qt.IsNil)
			synctest.Test(t, func(t *testing.T) {
				r := &replay{C: qt.New(t), clk: clock.Real(), daemons: make(map[ident.Instance]*daemon), capturedDeltas: make(map[string][]byte)}
				defer r.stopRequests()
				for i, e := range trace.Events {
					t.Logf("event %d: %s %s", i, e.Action, e.Daemon)
					r.applyEvent(e)
				}
			})
		})
	}
}

// stopRequests ends the requests that are still running after a failed trace.
func (r *replay) stopRequests() {
	for _, d := range r.daemons {
		d.dispatcher.stop()
	}
	<-r.clk.After(time.Minute)
}
