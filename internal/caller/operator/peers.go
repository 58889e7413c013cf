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

// The topics of the requests that daemons answer to each other.
const (
	timelineTopic       = "timeline"
	activeRevisionTopic = "active"
)

// Timeline is the merged timeline of all daemons that answered.
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

// Confirmation says which revision of a record is active at a daemon.
type Confirmation struct {
	Instance ident.Instance `json:"instance"`
	Revision unit.Revision  `json:"revision"`
	// Active says that the requested revision or a later revision is active.
	Active bool   `json:"active"`
	Reason string `json:"reason,omitempty"`
}

// peerReply is the reply of one daemon.
type peerReply struct {
	instance ident.Instance
	body     []byte
	err      error
}

// askPeers sends a request to all other known daemons at the same time.
func (a *API) askPeers(ctx context.Context, topic string, body []byte) []peerReply {
	ctx, cancel := clockwork.WithTimeout(ctx, a.Clock, a.AskTimeout)
	defer cancel()
	peers := a.Members.Peers()
	replies := make([]peerReply, len(peers))
	group := a.Pool.NewGroup()
	for i, p := range peers {
		replies[i] = peerReply{instance: p.Instance, err: code.Draining.New("daemon: stopping")}
		group.Submit(func() {
			answer, err := a.Peers.Ask(ctx, p.Instance, topic, body)
			replies[i] = peerReply{p.Instance, answer, err}
		})
	}
	// If the pool has been stopped, the replies keep their initial error.
	_ = group.Wait()
	return replies
}

func (a *API) getTimeline(ctx *fasthttp.RequestCtx) {
	lists := [][]timeline.Event{a.Timeline.Events()}
	var t Timeline
	if ctx.QueryArgs().GetBool("all") {
		for _, r := range a.askPeers(context.Background(), timelineTopic, nil) {
			var events []timeline.Event
			if err := r.decodeBody(&events); err != nil {
				t.Unresponsive = append(t.Unresponsive, UnresponsiveDaemon{r.instance, err.Error()})
				continue
			}
			lists = append(lists, events)
		}
	}
	t.Events = timeline.Merge(lists...)
	httpcall.WriteJSON(ctx, t)
}

func (r peerReply) decodeBody(v any) error {
	if r.err != nil {
		return r.err
	}
	return json.Unmarshal(r.body, v)
}

// getConfirmations writes for each daemon whether a revision of a record or a later
// revision is active.
func (a *API) getConfirmations(ctx *fasthttp.RequestCtx, n record.Name) {
	minimum, err := revisionParameter(ctx)
	if err != nil {
		httpcall.WriteError(ctx, err)
		return
	}
	ownRevision := a.activeRevision(n)
	list := []Confirmation{{Instance: a.Members.Self(), Revision: ownRevision, Active: ownRevision >= minimum}}
	for _, r := range a.askPeers(context.Background(), activeRevisionTopic, []byte(n.String())) {
		c := Confirmation{Instance: r.instance}
		if err := r.decodeBody(&c.Revision); err != nil {
			c.Reason = err.Error()
		}
		c.Active = c.Reason == "" && c.Revision >= minimum
		list = append(list, c)
	}
	httpcall.WriteJSON(ctx, list)
}

// activeRevision returns the revision of the record that is active at this
// daemon, or zero.
func (a *API) activeRevision(n record.Name) unit.Revision {
	for _, r := range a.Records.Active() {
		if r.Name == n {
			return r.Revision
		}
	}
	return 0
}

// timelineResponder answers daemons that request this daemon's events.
type timelineResponder struct {
	*API
}

// Topic returns the topic that the responder answers.
func (timelineResponder) Topic() string {
	return timelineTopic
}

// Answer returns this daemon's events.
func (r timelineResponder) Answer(context.Context, ident.Instance, []byte) ([]byte, error) {
	return json.Marshal(r.Timeline.Events())
}

// revisionResponder answers daemons that request the active revision of a
// record.
type revisionResponder struct {
	*API
}

// Topic returns the topic that the responder answers.
func (revisionResponder) Topic() string {
	return activeRevisionTopic
}

// Answer returns the active revision of the record that the body names.
//
// Errors carry code.BadMessage.
func (r revisionResponder) Answer(_ context.Context, _ ident.Instance, body []byte) ([]byte, error) {
	n, err := record.ParseName(string(body))
	if err != nil {
		return nil, code.BadMessage.Wrap(err, "topic %s: parse record name", activeRevisionTopic)
	}
	return json.Marshal(r.activeRevision(n))
}
