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

// clients holds one client per address. Each client has its own connections, so that
// the connections to a stalled daemon can be closed without affecting other daemons.
type clients struct {
	maxBytes  int64
	timeout   time.Duration
	mu        sync.Mutex
	byAddress map[string]*client
}

// client calls one daemon over its own connections.
type client struct {
	Peer
	transport *http.Transport
}

func (c *clients) clientFor(address string) *client {
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
	newClient := &client{
		Peer:      NewPeerProtobufClient(url, &http.Client{Transport: &limitedTransport{transport, c.maxBytes}}),
		transport: transport,
	}
	if c.byAddress == nil {
		c.byAddress = make(map[string]*client)
	}
	c.byAddress[address] = newClient
	return newClient
}

// closeExcept removes the clients of all addresses except the given ones, and closes
// their idle connections.
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

// limitedTransport limits the size of response bodies. It refuses responses whose body ends with the
// connection: while the request is being written, net/http can't tell a reset from that end.
type limitedTransport struct {
	next     http.RoundTripper
	maxBytes int64
}

var errNoFraming = errors.New("response has neither a length nor chunks")

// RoundTrip returns a response whose body returns an error after maxBytes.
func (l *limitedTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	response, err := l.next.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	if response.ContentLength < 0 && len(response.TransferEncoding) == 0 {
		_ = response.Body.Close()
		return nil, errNoFraming
	}
	response.Body = &limitedBody{ReadCloser: response.Body, remainingBytes: l.maxBytes}
	return response, nil
}

type limitedBody struct {
	io.ReadCloser
	remainingBytes int64
}

func (b *limitedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if b.remainingBytes -= int64(n); b.remainingBytes < 0 {
		return 0, errors.New("read response: body is larger than the setting peer.maxMessage")
	}
	return n, err
}

// call makes one call within CallTimeout. Idle connections can stall indefinitely
// while new connections work, so a timeout closes the idle connections to that daemon.
func (p *Plugin) call(ctx context.Context, address, name string, request proto.Message,
	invoke func(context.Context, Peer) (proto.Message, error),
) error {
	callCtx, cancel := context.WithTimeout(ctx, p.settings.CallTimeout.Duration)
	defer cancel()
	c := p.clients.clientFor(address)
	p.metrics.sentBytes.Add(float64(proto.Size(request)))
	answer, err := invoke(callCtx, c)
	if err != nil {
		if ctx.Err() == nil {
			p.metrics.failedCalls.WithLabelValues(name).Inc()
		}
		if callCtx.Err() != nil {
			c.transport.CloseIdleConnections()
		}
		return err
	}
	p.metrics.receivedBytes.Add(float64(proto.Size(answer)))
	return nil
}

// Ask sends a question to the plug-in of another daemon that answers the topic, and
// returns the body of the answer.
//
// Errors carry the code of that plug-in's error, code.BadMessage if another daemon has
// the address or no plug-in answers the topic, and code.EndpointUnreachable if no answer
// arrived or the member list has no address of the daemon. If no answer arrived, the
// outcome is code.Unknown.
func (p *Plugin) Ask(ctx context.Context, to ident.Instance, topic string, body []byte) ([]byte, error) {
	question := &Question{From: string(p.self), To: string(to), Topic: topic, Body: body}
	if to == p.self {
		answer, err := (&handler{p}).Ask(ctx, question)
		if err != nil {
			return nil, err
		}
		return answerBody(to, topic, answer)
	}
	address := p.addressOf(to)
	if address == "" {
		return nil, code.EndpointUnreachable.New("peer: ask daemon %q: the member list has no address of the daemon", to)
	}
	var answer *Answer
	err := p.call(ctx, address, "ask", question, func(ctx context.Context, c Peer) (proto.Message, error) {
		var err error
		answer, err = c.Ask(ctx, question)
		return answer, err
	})
	if err != nil {
		return nil, code.WithOutcome(code.EndpointUnreachable.Wrap(err, "peer: ask daemon %s on topic %s", to, topic), code.Unknown)
	}
	p.contacts.RecordContact(to)
	return answerBody(to, topic, answer)
}

func answerBody(from ident.Instance, topic string, answer *Answer) ([]byte, error) {
	if answer.GetCode() != 0 {
		return nil, code.Code(answer.GetCode()).New("peer: daemon %s failed to answer on topic %s: %s", from, topic, answer.GetMessage())
	}
	return answer.GetBody(), nil
}

func (p *Plugin) addressOf(id ident.Instance) string {
	for _, peer := range p.members.Peers() {
		if peer.Instance == id {
			return peer.Address
		}
	}
	return ""
}

// handler serves the calls of other daemons.
type handler struct {
	plugin *Plugin
}

// Exchange serves either call of an exchange.
func (h *handler) Exchange(_ context.Context, request *Envelope) (*Envelope, error) {
	h.plugin.metrics.receivedBytes.Add(float64(proto.Size(request)))
	answer := h.plugin.handleEnvelope(request)
	h.plugin.metrics.sentBytes.Add(float64(proto.Size(answer)))
	return answer, nil
}

// Ask passes the question to the plug-in that answers its topic. Errors are returned
// in the answer.
func (h *handler) Ask(ctx context.Context, question *Question) (*Answer, error) {
	h.plugin.metrics.receivedBytes.Add(float64(proto.Size(question)))
	answer := new(Answer)
	if to := question.GetTo(); to != "" && to != string(h.plugin.self) {
		setError(answer, code.BadMessage.New("question for daemon %q arrived at daemon %q", to, h.plugin.self))
	} else if provider := h.plugin.topics[question.GetTopic()]; provider == nil {
		setError(answer, code.BadMessage.New("no plug-in answers topic %q", question.GetTopic()))
	} else if body, err := provider.Answer(ctx, ident.Instance(question.GetFrom()), question.GetBody()); err != nil {
		setError(answer, err)
	} else {
		answer.Body = body
	}
	h.plugin.metrics.sentBytes.Add(float64(proto.Size(answer)))
	return answer, nil
}

func setError(answer *Answer, err error) {
	answer.Code, answer.Message = int32(code.Of(err)), fmt.Sprint(err)
}
