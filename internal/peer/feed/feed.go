// Package feed passes the copy of the platform's keys from daemon to daemon, so
// that few daemons call the platform, and those that it turns away still hear of
// changes.
package feed

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"sync"
	"time"

	"cuminbay/internal/domain/code"
	"cuminbay/internal/domain/ident"
	"cuminbay/internal/domain/store"
	"cuminbay/internal/domain/unit"
	"cuminbay/internal/fleet/mirror"
	"cuminbay/internal/kernel/clock"
	"cuminbay/internal/peer/twirp"
)

// topic is the subject of the question that daemons ask each other.
const topic = "changes"

// copyRequest is the body of a question.
type copyRequest struct {
	// After is the revision that the asker has; List asks for everything.
	After unit.Revision `json:"after"`
	List  bool          `json:"list,omitempty"`
	// Wait is how long to wait for a change, in milliseconds.
	Wait int64 `json:"wait"`
}

// copyResponse is the body of an answer.
type copyResponse struct {
	Entries   []store.Entry  `json:"entries,omitempty"`
	Changes   []store.Change `json:"changes,omitempty"`
	Revision  unit.Revision  `json:"revision"`
	Compacted bool           `json:"forgotten,omitempty"`
	// Age is the time since the platform confirmed the copy, in milliseconds.
	Age int64 `json:"age"`
}

// platformCopy is the copy of this daemon.
type platformCopy interface {
	Entries() ([]store.Entry, unit.Revision, error)
	WaitForChanges(ctx context.Context, after unit.Revision, wait time.Duration) ([]store.Change, unit.Revision, bool)
	Age() time.Duration
}

// server answers the daemons that follow this one.
type server struct {
	self         ident.Instance
	platformCopy platformCopy
}

// maxWait bounds the wait that a question may ask for.
const maxWait = 10 * time.Second

// Ask answers a question. Errors travel in the answer.
func (s *server) Ask(ctx context.Context, question *twirp.Question) (*twirp.Answer, error) {
	body, err := s.answer(ctx, question)
	if err != nil {
		return &twirp.Answer{Code: int32(code.Of(err)), Message: code.Message(err)}, nil
	}
	return &twirp.Answer{Body: body}, nil
}

func (s *server) answer(ctx context.Context, question *twirp.Question) ([]byte, error) {
	var request copyRequest
	if err := json.Unmarshal(question.GetBody(), &request); err != nil {
		return nil, code.BadMessage.Wrap(err, "question of %s", question.GetFrom())
	}
	if question.GetTopic() != topic || question.GetTo() != string(s.self) {
		return nil, code.BadMessage.New("question of %s to %s on %q", question.GetFrom(), question.GetTo(), question.GetTopic())
	}
	var response copyResponse
	if request.List {
		entries, revision, err := s.platformCopy.Entries()
		if err != nil {
			return nil, err
		}
		response.Entries, response.Revision = entries, revision
	} else {
		wait := min(time.Duration(request.Wait)*time.Millisecond, maxWait)
		response.Changes, response.Revision, response.Compacted = s.platformCopy.WaitForChanges(ctx, request.After, wait)
	}
	response.Age = s.platformCopy.Age().Milliseconds()
	return json.Marshal(response)
}

// Exchange is part of the protocol and not used here.
func (s *server) Exchange(context.Context, *twirp.Envelope) (*twirp.Envelope, error) {
	return nil, code.BadMessage.New("this daemon exchanges no sections")
}

// client asks other daemons.
type client struct {
	self  ident.Instance
	clock clock.Clock

	mu          sync.Mutex
	connections map[string]*peerConnection
}

// peerConnection is the connection to one daemon.
type peerConnection struct {
	twirp.Peer
	transport *http.Transport
}

// Times of a question. One without an answer closes its connection, which may
// have gone silent for good.
const (
	changeWait    = 1200 * time.Millisecond
	answerTimeout = 700 * time.Millisecond
	dialTimeout   = 500 * time.Millisecond
)

func newClient(self ident.Instance, clk clock.Clock) *client {
	return &client{self: self, clock: clk, connections: make(map[string]*peerConnection)}
}

// maxConnections bounds the daemons whose connections are kept.
const maxConnections = 8

func (c *client) connection(address string) *peerConnection {
	c.mu.Lock()
	defer c.mu.Unlock()
	if conn := c.connections[address]; conn != nil {
		return conn
	}
	if len(c.connections) >= maxConnections {
		for address, l := range c.connections {
			l.transport.CloseIdleConnections()
			delete(c.connections, address)
		}
	}
	transport := &http.Transport{
		DialContext:        (&net.Dialer{Timeout: dialTimeout}).DialContext,
		DisableCompression: true,
	}
	l := &peerConnection{twirp.NewPeerProtobufClient("http://"+address, &http.Client{Transport: transport}), transport}
	c.connections[address] = l
	return l
}

func (c *client) call(ctx context.Context, p mirror.Peer, request copyRequest) (*copyResponse, error) {
	ctx, cancel := clock.WithDeadline(ctx, c.clock, c.clock.Now().Add(time.Duration(request.Wait)*time.Millisecond+answerTimeout))
	defer cancel()
	body, err := json.Marshal(request)
	if err != nil {
		return nil, code.Internal.Wrap(err, "question to %s", p.Instance)
	}
	conn := c.connection(p.Address)
	answer, err := conn.Ask(ctx, &twirp.Question{From: string(c.self), To: string(p.Instance), Topic: topic, Body: body})
	if err != nil {
		conn.transport.CloseIdleConnections()
		return nil, code.PlatformUnavailable.Wrap(err, "daemon %s at %s", p.Instance, p.Address)
	}
	if answer.GetCode() != 0 {
		return nil, code.PlatformUnavailable.New("daemon %s at %s: %s", p.Instance, p.Address, answer.GetMessage())
	}
	response := new(copyResponse)
	if err := json.Unmarshal(answer.GetBody(), response); err != nil {
		return nil, code.BadMessage.Wrap(err, "daemon %s at %s", p.Instance, p.Address)
	}
	return response, nil
}

// List reads the daemon's whole copy.
func (c *client) List(ctx context.Context, p mirror.Peer) ([]store.Entry, unit.Revision, time.Duration, error) {
	response, err := c.call(ctx, p, copyRequest{List: true})
	if err != nil {
		return nil, 0, 0, err
	}
	return response.Entries, response.Revision, time.Duration(response.Age) * time.Millisecond, nil
}

// Changes waits for changes of the daemon's copy.
func (c *client) Changes(ctx context.Context, p mirror.Peer, after unit.Revision) (changes []store.Change, complete unit.Revision, compacted bool, age time.Duration, err error) {
	response, err := c.call(ctx, p, copyRequest{After: after, Wait: changeWait.Milliseconds()})
	if err != nil {
		return nil, 0, false, 0, err
	}
	return response.Changes, response.Revision, response.Compacted, time.Duration(response.Age) * time.Millisecond, nil
}
