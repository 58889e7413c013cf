package operator

import (
	"context"
	"encoding/json"

	"github.com/jonboulle/clockwork"
	"github.com/valyala/fasthttp"

	"cuminbay/internal/caller/httpcall"
	"cuminbay/internal/domain/code"
	"cuminbay/internal/domain/ident"
	"cuminbay/internal/domain/record"
	"cuminbay/internal/domain/unit"
	"cuminbay/internal/kernel/timeline"
)

// The topics of questions to other daemons.
const (
	timelineTopic = "timeline"
	activeTopic   = "active"
)

// Timeline is the merged timeline of all daemons that could be asked.
type Timeline struct {
	Events []timeline.Event `json:"events"`
	// Unresponsive lists the daemons that did not answer, with the reason.
	Unresponsive []UnresponsiveDaemon `json:"silent"`
}

// UnresponsiveDaemon is a daemon that did not answer.
type UnresponsiveDaemon struct {
	Instance ident.Instance `json:"instance"`
	Reason   string         `json:"reason"`
}

// Confirmation says which revision of a record a daemon has active.
type Confirmation struct {
	Instance ident.Instance `json:"instance"`
	Revision unit.Revision  `json:"revision"`
	// Active says that the asked revision, or a later one, is active.
	Active bool   `json:"active"`
	Reason string `json:"reason,omitempty"`
}

// reply is one daemon's answer.
type reply struct {
	from ident.Instance
	body []byte
	err  error
}

// askAll asks every known daemon but this one, all at once.
func (i *API) askAll(ctx context.Context, topic string, body []byte) []reply {
	ctx, cancel := clockwork.WithTimeout(ctx, i.Clock, i.AskTimeout)
	defer cancel()
	peers := i.Members.Peers()
	replies := make([]reply, len(peers))
	group := i.Pool.NewGroup()
	for n, p := range peers {
		replies[n] = reply{from: p.Instance, err: code.Draining.New("daemon: it is stopping")}
		group.Submit(func() {
			answer, err := i.Peers.Ask(ctx, p.Instance, topic, body)
			replies[n] = reply{p.Instance, answer, err}
		})
	}
	// A stopped pool leaves the prepared replies.
	_ = group.Wait()
	return replies
}

func (i *API) timeline(ctx *fasthttp.RequestCtx) {
	lists := [][]timeline.Event{i.Timeline.Events()}
	var t Timeline
	if ctx.QueryArgs().GetBool("all") {
		for _, r := range i.askAll(context.Background(), timelineTopic, nil) {
			var events []timeline.Event
			if err := r.decode(&events); err != nil {
				t.Unresponsive = append(t.Unresponsive, UnresponsiveDaemon{r.from, err.Error()})
				continue
			}
			lists = append(lists, events)
		}
	}
	t.Events = timeline.Merge(lists...)
	httpcall.WriteJSON(ctx, t)
}

func (r reply) decode(v any) error {
	if r.err != nil {
		return r.err
	}
	return json.Unmarshal(r.body, v)
}

// confirmations says which daemons have a revision of a record active.
func (i *API) confirmations(ctx *fasthttp.RequestCtx, n record.Name) {
	want, err := revision(ctx)
	if err != nil {
		httpcall.WriteError(ctx, err)
		return
	}
	own := i.active(n)
	list := []Confirmation{{Instance: i.Members.Self(), Revision: own, Active: own >= want}}
	for _, r := range i.askAll(context.Background(), activeTopic, []byte(n.String())) {
		c := Confirmation{Instance: r.from}
		if err := r.decode(&c.Revision); err != nil {
			c.Reason = err.Error()
		}
		c.Active = c.Reason == "" && c.Revision >= want
		list = append(list, c)
	}
	httpcall.WriteJSON(ctx, list)
}

// active returns the revision of the record that this daemon has active.
func (i *API) active(n record.Name) unit.Revision {
	for _, r := range i.Records.Active() {
		if r.Name == n {
			return r.Revision
		}
	}
	return 0
}

// timelineAnswer answers other daemons that merge timelines.
type timelineAnswer struct {
	*API
}

// Topic names the question.
func (timelineAnswer) Topic() string {
	return timelineTopic
}

// Answer returns this daemon's events.
func (a timelineAnswer) Answer(context.Context, ident.Instance, []byte) ([]byte, error) {
	return json.Marshal(a.Timeline.Events())
}

// activeAnswer answers other daemons that ask for a record's revision.
type activeAnswer struct {
	*API
}

// Topic names the question.
func (activeAnswer) Topic() string {
	return activeTopic
}

// Answer returns the active revision of the record that the body names.
//
// Errors carry code.BadMessage.
func (a activeAnswer) Answer(_ context.Context, _ ident.Instance, body []byte) ([]byte, error) {
	n, err := record.ParseName(string(body))
	if err != nil {
		return nil, code.BadMessage.Wrap(err, "question %s", activeTopic)
	}
	return json.Marshal(a.active(n))
}
