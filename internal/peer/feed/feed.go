// Package feed serves this daemon's copy of the platform's keys to other daemons
// and reads the copies of other daemons, for the mirror package. Few daemons then
// need to call the platform, and daemons that cannot reach it still get changes.
package feed

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"cuminbay/internal/domain/code"
	"cuminbay/internal/domain/ident"
	"cuminbay/internal/domain/store"
	"cuminbay/internal/domain/unit"
	"cuminbay/internal/fleet/mirror"
	"cuminbay/internal/kernel/clock"
	"cuminbay/internal/peer/twirp"
)

// topic is the topic of questions that request a daemon's copy.
const topic = "changes"

// copyRequest is the body of a question.
type copyRequest struct {
	// After requests the changes after this revision. If List is set, all entries
	// are requested instead.
	After unit.Revision `json:"after"`
	List  bool          `json:"list,omitempty"`
	// Wait is the time to wait for a change, in milliseconds. The wait also ends when
	// the platform has confirmed the copy later than the follower's copy, whose age in
	// milliseconds is Age.
	Wait int64 `json:"wait"`
	Age  int64 `json:"age,omitempty"`
}

// copyResponse is the body of an answer. Revision is the revision up to which the
// entries or changes are complete.
type copyResponse struct {
	Entries   []store.Entry  `json:"entries,omitempty"`
	Changes   []store.Change `json:"changes,omitempty"`
	Revision  unit.Revision  `json:"revision"`
	Compacted bool           `json:"forgotten,omitempty"`
}

// platformCopy is this daemon's copy of the platform's keys.
type platformCopy interface {
	Entries() (entries []store.Entry, revision unit.Revision, confirmedAt time.Time, err error)
	WaitForChanges(ctx context.Context, after unit.Revision, age, wait time.Duration) (changes []store.Change, completeUpTo unit.Revision, confirmedAt time.Time, compacted bool)
}

// server answers the questions of this daemon's followers.
type server struct {
	self         ident.Instance
	clock        clock.Clock
	platformCopy platformCopy
	// lastPayload is the last encoded answer with changes. Most followers ask for the
	// same ones.
	lastPayload atomic.Pointer[encodedChanges]
	// encoding is held while an answer with entries or changes is encoded, since that takes several
	// times the memory of the answer.
	encoding sync.Mutex
}

// encodedChanges are the encoded changes after one revision up to another one.
type encodedChanges struct {
	after, revision unit.Revision
	payload         []byte
}

// has reports whether these are the changes after one revision up to the other one.
func (e *encodedChanges) has(after, revision unit.Revision) bool {
	return e != nil && e.after == after && e.revision == revision
}

// maxWait bounds the time for which a question can wait for a change.
const maxWait = 10 * time.Second

// Ask answers a question. An error becomes a code and a message in the answer.
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
		return nil, code.BadMessage.Wrap(err, "decode question from %s", question.GetFrom())
	}
	if question.GetTopic() != topic || question.GetTo() != string(s.self) {
		return nil, code.BadMessage.New("question from %s to %s on topic %q is not for this daemon's feed", question.GetFrom(), question.GetTo(), question.GetTopic())
	}
	payload, confirmedAt, err := s.payload(ctx, &request)
	if err != nil {
		return nil, err
	}
	return appendAge(payload, s.clock.Since(confirmedAt)), nil
}

// payload returns the encoded response, and the time at which the platform confirmed what it has.
func (s *server) payload(ctx context.Context, request *copyRequest) ([]byte, time.Time, error) {
	if request.List {
		s.encoding.Lock()
		defer s.encoding.Unlock()
		entries, revision, confirmedAt, err := s.platformCopy.Entries()
		if err != nil {
			return nil, time.Time{}, err
		}
		payload, err := encodePayload(&copyResponse{Entries: entries, Revision: revision})
		return payload, confirmedAt, err
	}
	wait := min(time.Duration(request.Wait)*time.Millisecond, maxWait)
	changes, revision, confirmedAt, compacted := s.platformCopy.WaitForChanges(ctx, request.After, time.Duration(request.Age)*time.Millisecond, wait)
	if compacted || len(changes) == 0 {
		payload, err := encodePayload(&copyResponse{Changes: changes, Revision: revision, Compacted: compacted})
		return payload, confirmedAt, err
	}
	payload, err := s.changesPayload(changes, request.After, revision)
	return payload, confirmedAt, err
}

// changesPayload returns the encoded changes. Followers that ask for the same ones wait for the first
// encoding.
func (s *server) changesPayload(changes []store.Change, after, revision unit.Revision) ([]byte, error) {
	if known := s.lastPayload.Load(); known.has(after, revision) {
		return known.payload, nil
	}
	s.encoding.Lock()
	defer s.encoding.Unlock()
	if known := s.lastPayload.Load(); known.has(after, revision) {
		return known.payload, nil
	}
	payload, err := encodePayload(&copyResponse{Changes: changes, Revision: revision})
	if err == nil {
		s.lastPayload.Store(&encodedChanges{after, revision, payload})
	}
	return payload, err
}

// Exchange always returns an error: the protocol requires the method, but this listener
// exchanges no sections.
func (s *server) Exchange(context.Context, *twirp.Envelope) (*twirp.Envelope, error) {
	return nil, code.BadMessage.New("the feed listener does not exchange sections")
}

// client reads the copies of other daemons.
type client struct {
	self  ident.Instance
	clock clock.Clock

	// received is the number of bytes of the current answer, beganAt the time of its first
	// bytes and receivedAt that of its last ones, as clock.Instants.
	received   atomic.Int64
	beganAt    atomic.Int64
	receivedAt atomic.Int64

	mu          sync.Mutex
	peerClients map[string]*peerClient
}

// peerClient is a client with its own connections to one daemon.
type peerClient struct {
	twirp.Peer
	transport *http.Transport
}

// Time limits of a question: answerTimeout is the longest time after the other daemon's
// wait for a change in which no part of the answer arrives. If no answer arrives, the client
// closes the idle connections to the daemon, which may have stalled. An answer may take
// maxTransferTime over a slow link.
const (
	answerTimeout   = 700 * time.Millisecond
	dialTimeout     = 500 * time.Millisecond
	maxTransferTime = 10 * time.Second
)

func newClient(self ident.Instance, clk clock.Clock) *client {
	return &client{self: self, clock: clk, peerClients: make(map[string]*peerClient)}
}

// maxPeerClients limits the number of daemons to which connections are kept. Before a
// call to a further daemon, the idle connections to all others are closed.
const maxPeerClients = 8

func (c *client) clientFor(address string) *peerClient {
	c.mu.Lock()
	defer c.mu.Unlock()
	if existing := c.peerClients[address]; existing != nil {
		return existing
	}
	if len(c.peerClients) >= maxPeerClients {
		for otherAddress, existing := range c.peerClients {
			existing.transport.CloseIdleConnections()
			delete(c.peerClients, otherAddress)
		}
	}
	transport := &http.Transport{
		DialContext:        c.dial,
		DisableCompression: true,
	}
	added := &peerClient{twirp.NewPeerProtobufClient("http://"+address, &http.Client{Transport: transport}), transport}
	c.peerClients[address] = added
	return added
}

func (c *client) call(ctx context.Context, p mirror.Peer, request copyRequest) (*copyResponse, time.Duration, error) {
	ctx, cancel := c.withProgressTimeout(ctx, time.Duration(request.Wait)*time.Millisecond)
	defer cancel()
	body, err := json.Marshal(request)
	if err != nil {
		return nil, 0, code.Internal.Wrap(err, "encode question to %s", p.Instance)
	}
	peer := c.clientFor(p.Address)
	answer, err := peer.Ask(ctx, &twirp.Question{From: string(c.self), To: string(p.Instance), Topic: topic, Body: body})
	if err != nil {
		peer.transport.CloseIdleConnections()
		return nil, 0, code.PlatformUnavailable.Wrap(err, "read copy of daemon %s at %s", p.Instance, p.Address)
	}
	if answer.GetCode() != 0 {
		return nil, 0, code.PlatformUnavailable.New("read copy of daemon %s at %s: %s", p.Instance, p.Address, answer.GetMessage())
	}
	response, age, err := decodeAnswer(answer.GetBody())
	if err != nil {
		return nil, 0, code.BadMessage.Wrap(err, "decode copy of daemon %s at %s", p.Instance, p.Address)
	}
	// The other daemon told the age as it began to send the answer.
	return response, age + c.clock.Since(clock.Instant(c.beganAt.Load()).Time()), nil
}

// List reads all entries of the daemon's copy. It also returns the copy's revision
// and age.
func (c *client) List(ctx context.Context, p mirror.Peer) ([]store.Entry, unit.Revision, time.Duration, error) {
	response, age, err := c.call(ctx, p, copyRequest{List: true})
	if err != nil {
		return nil, 0, 0, err
	}
	return response.Entries, response.Revision, age, nil
}

// Changes waits for changes of the daemon's copy after the revision, or for a later
// confirmation than that of this daemon's copy of the given age. It also returns the age of
// the daemon's copy.
func (c *client) Changes(ctx context.Context, p mirror.Peer, after unit.Revision, ownAge, wait time.Duration) (changes []store.Change, completeUpTo unit.Revision, compacted bool, age time.Duration, err error) {
	response, age, err := c.call(ctx, p, copyRequest{After: after, Wait: wait.Milliseconds(), Age: ownAge.Milliseconds()})
	if err != nil {
		return nil, 0, false, 0, err
	}
	return response.Changes, response.Revision, response.Compacted, age, nil
}
