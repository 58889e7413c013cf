// Package trace replays recorded faults against the decision types, without any
// protocol. A trace is a file of testdata: events in order, each after a wait,
// and what daemons must conclude in between.
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

// event is one line of a trace. Which fields it has depends on Do.
type event struct {
	Wait   string         `json:"wait,omitempty"`
	Action string         `json:"do"`
	Daemon ident.Instance `json:"who,omitempty"`
	From   ident.Instance `json:"from,omitempty"`
	// Section is the section of a message between daemons; Note names a message
	// that is held up, or a request.
	Section string `json:"part,omitempty"`
	Label   string `json:"note,omitempty"`

	Assign *report.Assignment `json:"assign,omitempty"`
	Report *report.Report     `json:"report,omitempty"`
	Age    string             `json:"age,omitempty"`
	Owned  []ident.Replica    `json:"owns,omitempty"`
	Target drainstatus.Target `json:"target"`
	Out    bool               `json:"out,omitempty"`

	Name     string          `json:"name,omitempty"`
	Revision unit.Revision   `json:"revision,omitempty"`
	Value    json.RawMessage `json:"value,omitempty"`

	Endpoints   []ident.Endpoint  `json:"ends,omitempty"`
	Fingerprint ident.Fingerprint `json:"print,omitempty"`
	Tokens      int               `json:"tokens,omitempty"`
	Code        code.Code         `json:"code,omitempty"`
	Want        []string          `json:"want,omitempty"`
}

// section is what daemons exchange.
type section interface {
	Digest() []byte
	Delta(digest []byte) []byte
	Merge(from ident.Instance, delta []byte) error
}

// drainSection reads the drain section as its plug-in does.
type drainSection struct{ *drain.State }

func (m drainSection) Merge(_ ident.Instance, raw []byte) error {
	var list []drainstatus.Status
	if err := json.Unmarshal(raw, &list); err != nil {
		return err
	}
	for _, k := range list {
		if _, err := m.ApplyRemote(k); err != nil {
			return err
		}
	}
	return nil
}

// daemon has the decision types of one daemon.
type daemon struct {
	tracker    *replica.Tracker
	config     *config.State
	drain      drainSection
	detector   *poison.Detector
	dispatcher *scriptedDispatcher
}

func newDaemon(name ident.Instance, clk clock.Clock) *daemon {
	hybrid := timeline.NewHybrid(clk)
	d := &daemon{
		tracker: replica.NewTracker(replica.Options{
			Clock: clk, Self: name, DataCentre: "kirtipur", Boot: 1,
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

// replay is the state of a running trace.
type replay struct {
	*qt.C
	clk        clock.Clock
	daemons    map[ident.Instance]*daemon
	heldDeltas map[string][]byte
}

func (r *replay) daemon(name ident.Instance) *daemon {
	if r.daemons[name] == nil {
		r.daemons[name] = newDaemon(name, r.clk)
	}
	return r.daemons[name]
}

func (r *replay) apply(e event) {
	if e.Wait != "" {
		<-r.clk.After(r.parseDuration(e.Wait))
	}
	d := r.daemon(e.Daemon)
	switch e.Action {
	case "wait":
	case "hear", "hold", "deliver":
		r.exchange(d, e)
	case "assign":
		_, err := d.tracker.UpdateAssignment(*e.Assign)
		r.Assert(err, qt.IsNil)
	case "report":
		d.tracker.ObserveReport(e.Report, r.clk.Now().Add(-r.parseDuration(e.Age)))
	case "publish":
		d.tracker.PublishAttestation(func(id ident.Replica) bool { return slices.Contains(e.Owned, id) })
	case "mark":
		_, err := d.drain.SetStatus(e.Target, e.Out)
		r.Assert(err, qt.IsNil)
	case "record":
		name, err := record.ParseName(e.Name)
		r.Assert(err, qt.IsNil)
		d.config.Apply(config.Origin(e.Section), []record.Stored{{Name: name, Revision: e.Revision, Raw: e.Value}})
	case "table":
		d.dispatcher.publish(e.Endpoints)
	case "dead":
		d.dispatcher.unhealthy = e.Endpoints
	case "request":
		d.dispatcher.submit(e)
	case "answer":
		d.dispatcher.sendAnswer(r.C, e)
	default:
		r.Assert(r.observe(d, e), qt.DeepEquals, e.Want)
	}
	synctest.Wait()
}

// observe returns what the daemon concludes.
func (r *replay) observe(d *daemon, e event) []string {
	var got []string
	switch e.Action {
	case "serving":
		for _, s := range d.tracker.AttestedStates() {
			if s.Serving {
				got = append(got, fmt.Sprintf("%s@%d", s.Replica, s.Epoch))
			}
		}
	case "out":
		for _, k := range d.drain.Marks() {
			if k.Drained {
				got = append(got, k.Target.ID)
			}
		}
	case "models":
		for _, x := range d.config.View().Deployments() {
			got = append(got, string(x.Model)+"-"+string(x.Version))
		}
	case "result":
		got = d.dispatcher.result(r.C, e)
	case "bound":
		for _, x := range d.dispatcher.tables.Current().Endpoints() {
			got = append(got, fmt.Sprintf("%s %d", x.ID, x.EffectiveLimit(r.clk.Now())))
		}
	default:
		r.Fatalf("unknown event %q", e.Action)
	}
	return got
}

// exchange passes on what one daemon lacks, at once or in two events.
func (r *replay) exchange(to *daemon, e event) {
	delta := r.heldDeltas[e.Label]
	if e.Action != "deliver" {
		delta = r.daemon(e.From).section(e.Section).Delta(to.section(e.Section).Digest())
	}
	if e.Action == "hold" {
		r.Assert(delta, qt.IsNotNil)
		r.heldDeltas[e.Label] = delta
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

// TestTraces guards against the return of the faults that the traces describe.
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
				r := &replay{C: qt.New(t), clk: clock.Real(), daemons: make(map[ident.Instance]*daemon), heldDeltas: make(map[string][]byte)}
				defer r.stopRequests()
				for i, e := range trace.Events {
					t.Logf("event %d: %s %s", i, e.Action, e.Daemon)
					r.apply(e)
				}
			})
		})
	}
}

// stopRequests ends the requests that a failed trace has left.
func (r *replay) stopRequests() {
	for _, d := range r.daemons {
		d.dispatcher.stop()
	}
	<-r.clk.After(time.Minute)
}
