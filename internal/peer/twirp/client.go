package twirp

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"cuminbay/internal/domain/code"
	"cuminbay/internal/domain/ident"
)

// clients holds one client with its own connections per address, so that the
// connections to a stalled daemon are closed without touching the others.
type clients struct {
	limit     int64
	timeout   time.Duration
	mu        sync.Mutex
	byAddress map[string]*client
}

type client struct {
	Peer
	transport *http.Transport
}

func (c *clients) get(address string) *client {
	c.mu.Lock()
	defer c.mu.Unlock()
	if existing := c.byAddress[address]; existing != nil {
		return existing
	}
	const maxIdle, idleTimeout = 2, 30 * time.Second
	transport := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: c.timeout}).DialContext,
		MaxIdleConns:        maxIdle,
		MaxIdleConnsPerHost: maxIdle,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}
	url := address
	if !strings.Contains(url, "://") {
		url = "http://" + url
	}
	created := &client{
		Peer:      NewPeerProtobufClient(url, &http.Client{Transport: &limitedTransport{transport, c.limit}}),
		transport: transport,
	}
	if c.byAddress == nil {
		c.byAddress = make(map[string]*client)
	}
	c.byAddress[address] = created
	return created
}

// closeExcept drops the clients of all other addresses.
func (c *clients) closeExcept(addresses map[string]bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for a, existing := range c.byAddress {
		if !addresses[a] {
			existing.transport.CloseIdleConnections()
			delete(c.byAddress, a)
		}
	}
}

// limitedTransport bounds the size of answers.
type limitedTransport struct {
	next  http.RoundTripper
	limit int64
}

// RoundTrip fails the reading of an answer that is longer than the limit.
func (l *limitedTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	response, err := l.next.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	response.Body = &limitedBody{ReadCloser: response.Body, remaining: l.limit}
	return response, nil
}

type limitedBody struct {
	io.ReadCloser
	remaining int64
}

func (b *limitedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if b.remaining -= int64(n); b.remaining < 0 {
		return 0, errors.New("answer is longer than the limit of a message")
	}
	return n, err
}

// call makes one call within the time limit. Kept connections can stall for
// ever while new ones work, so a call that times out is followed by closing
// the kept ones to that daemon.
func (p *Plugin) call(ctx context.Context, address, name string, request proto.Message,
	invoke func(context.Context, Peer) (proto.Message, error),
) error {
	callCtx, cancel := context.WithTimeout(ctx, p.settings.CallTimeout.Duration)
	defer cancel()
	c := p.clients.get(address)
	p.metrics.sent.Add(float64(proto.Size(request)))
	answer, err := invoke(callCtx, c)
	if err != nil {
		if ctx.Err() == nil {
			p.metrics.failed.WithLabelValues(name).Inc()
		}
		if callCtx.Err() != nil {
			c.transport.CloseIdleConnections()
		}
		return err
	}
	p.metrics.received.Add(float64(proto.Size(answer)))
	return nil
}

// Ask puts a question to the plug-in of another daemon that answers the topic.
// The error carries the code that the plug-in's error had there, or
// code.EndpointUnreachable with outcome unknown if there was no answer.
func (p *Plugin) Ask(ctx context.Context, to ident.Instance, topic string, body []byte) ([]byte, error) {
	question := &Question{From: string(p.self), To: string(to), Topic: topic, Body: body}
	if to == p.self {
		answer, err := (&handler{p}).Ask(ctx, question)
		if err != nil {
			return nil, err
		}
		return answerBody(to, topic, answer)
	}
	address := p.address(to)
	if address == "" {
		return nil, code.EndpointUnreachable.New("peer: no address of daemon %q is known", to)
	}
	var answer *Answer
	err := p.call(ctx, address, "ask", question, func(ctx context.Context, c Peer) (proto.Message, error) {
		var err error
		answer, err = c.Ask(ctx, question)
		return answer, err
	})
	if err != nil {
		return nil, code.WithOutcome(code.EndpointUnreachable.Wrap(err, "peer: ask %s about %s", to, topic), code.Unknown)
	}
	p.contacts.RecordContact(to)
	return answerBody(to, topic, answer)
}

func answerBody(from ident.Instance, topic string, a *Answer) ([]byte, error) {
	if a.GetCode() != 0 {
		return nil, code.Code(a.GetCode()).New("peer: %s answered about %s: %s", from, topic, a.GetMessage())
	}
	return a.GetBody(), nil
}

func (p *Plugin) address(id ident.Instance) string {
	for _, m := range p.members.Peers() {
		if m.Instance == id {
			return m.Address
		}
	}
	return ""
}

// handler is the server's side.
type handler struct {
	plugin *Plugin
}

// Exchange answers the first or second call of an exchange.
func (h *handler) Exchange(_ context.Context, request *Envelope) (*Envelope, error) {
	h.plugin.metrics.received.Add(float64(proto.Size(request)))
	answer := h.plugin.handleEnvelope(request)
	h.plugin.metrics.sent.Add(float64(proto.Size(answer)))
	return answer, nil
}

// Ask passes the question to the topic's plug-in.
func (h *handler) Ask(ctx context.Context, question *Question) (*Answer, error) {
	h.plugin.metrics.received.Add(float64(proto.Size(question)))
	answer := new(Answer)
	if to := question.GetTo(); to != "" && to != string(h.plugin.self) {
		setError(answer, code.BadMessage.New("question for %q reached %q", to, h.plugin.self))
	} else if provider := h.plugin.topics[question.GetTopic()]; provider == nil {
		setError(answer, code.BadMessage.New("topic %q is not known", question.GetTopic()))
	} else if body, err := provider.Answer(ctx, ident.Instance(question.GetFrom()), question.GetBody()); err != nil {
		setError(answer, err)
	} else {
		answer.Body = body
	}
	h.plugin.metrics.sent.Add(float64(proto.Size(answer)))
	return answer, nil
}

func setError(a *Answer, err error) {
	a.Code, a.Message = int32(code.Of(err)), fmt.Sprint(err)
}
