package faultserver

import (
	"encoding/json"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"cuminbay/internal/kernel/clock"
)

// maxBodyBytes limits request bodies. The limit admits a value of 1 MiB in base64,
// and larger values, which the simulated platform has to reject itself.
const maxBodyBytes = 8 << 20

// Server serves HTTP on one listener and tracks the open connections.
type Server struct {
	handler fasthttp.RequestHandler

	mu       sync.Mutex
	listener net.Listener
	closed   bool
	conns    map[*Conn]struct{}
}

// NewServer returns a server that passes each request to the handler.
func NewServer(h fasthttp.RequestHandler) *Server {
	return &Server{handler: h, conns: make(map[*Conn]struct{})}
}

// discardLogger drops fasthttp's messages about connections that a fault closed.
type discardLogger struct{}

func (discardLogger) Printf(string, ...any) {}

// Serve serves requests on the listener until Close.
func (s *Server) Serve(l net.Listener) error {
	s.mu.Lock()
	if s.closed {
		s.mu.Unlock()
		return l.Close()
	}
	s.listener = l
	s.mu.Unlock()
	server := fasthttp.Server{
		Handler:            s.handler,
		MaxRequestBodySize: maxBodyBytes,
		NoDefaultDate:      true,
		Logger:             discardLogger{},
	}
	return server.Serve(&listener{Listener: l, server: s})
}

// Close closes the listener and every open connection.
func (s *Server) Close() error {
	s.mu.Lock()
	s.closed = true
	l := s.listener
	s.mu.Unlock()
	var err error
	if l != nil {
		err = l.Close()
	}
	s.CloseConnections()
	return err
}

// CloseConnections closes every open connection.
func (s *Server) CloseConnections() {
	s.CloseConnectionsExcept(nil)
}

// CloseConnectionsExcept closes every open connection except the exempt one.
func (s *Server) CloseConnectionsExcept(exempt *Conn) {
	for _, c := range s.openConns() {
		if c != exempt {
			_ = c.Close()
		}
	}
}

// StallConnectionsExcept stalls every open connection except the exempt one.
func (s *Server) StallConnectionsExcept(exempt *Conn) {
	for _, c := range s.openConns() {
		if c != exempt {
			c.stalled.Store(true)
		}
	}
}

func (s *Server) openConns() []*Conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	conns := make([]*Conn, 0, len(s.conns))
	for c := range s.conns {
		conns = append(conns, c)
	}
	return conns
}

func (s *Server) removeConn(c *Conn) {
	s.mu.Lock()
	delete(s.conns, c)
	s.mu.Unlock()
}

// listener wraps accepted connections as Conn and registers them.
type listener struct {
	net.Listener
	server *Server
}

func (l *listener) Accept() (net.Conn, error) {
	inner, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &Conn{Conn: inner, server: l.server, closed: make(chan struct{})}
	l.server.mu.Lock()
	l.server.conns[c] = struct{}{}
	closed := l.server.closed
	l.server.mu.Unlock()
	if closed {
		_ = c.Close()
	}
	return c, nil
}

// ConnOf returns the connection on which a request arrived.
func ConnOf(ctx *fasthttp.RequestCtx) *Conn {
	c, ok := ctx.Conn().(*Conn)
	if !ok {
		// The handler runs under a server of another type: a close by the
		// client is not detected, and faults affect only this request.
		return &Conn{Conn: ctx.Conn(), server: NewServer(nil), closed: make(chan struct{})}
	}
	return c
}

// Delay waits for the duration and reports whether the connection was still open
// at the end.
func Delay(clk clock.Clock, c *Conn, d time.Duration) bool {
	if d <= 0 {
		return true
	}
	timer := clk.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.Chan():
		return true
	case <-c.Closed():
		return false
	}
}

// DecodeBody decodes the JSON body of a request into v. An empty body leaves v
// unchanged.
func DecodeBody(ctx *fasthttp.RequestCtx, v any) error {
	if len(ctx.PostBody()) == 0 {
		return nil
	}
	if err := json.Unmarshal(ctx.PostBody(), v); err != nil {
		return fmt.Errorf("decode the JSON body of %s: %w", ctx.Path(), err)
	}
	return nil
}

// WriteJSON sends v as JSON, with the given HTTP status.
func WriteJSON(ctx *fasthttp.RequestCtx, status int, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		status, body = fasthttp.StatusInternalServerError, []byte(`{"error":{"message":"response can't be encoded as JSON"}}`)
	}
	ctx.SetStatusCode(status)
	ctx.SetContentType("application/json")
	ctx.SetBody(body)
}

// WriteError sends an error object in the format of the OpenAI API.
func WriteError(ctx *fasthttp.RequestCtx, status int, format string, args ...any) {
	WriteJSON(ctx, status, map[string]any{
		"error": map[string]any{"message": fmt.Sprintf(format, args...), "type": "standin", "code": status},
	})
}
