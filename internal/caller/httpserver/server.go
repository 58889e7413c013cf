// Package httpserver is an HTTP/1.1 server for front ends that forward requests
// unchanged. It manages the callers' connections: it cancels a request when the
// caller closes the connection, and it closes connections without losing an
// answer.
package httpserver

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"cuminbay/internal/domain/proxy"
	"cuminbay/internal/kernel/budget"
	"cuminbay/internal/kernel/clock"
	"cuminbay/internal/kernel/plugin"
)

// Request is a request that has been read completely. It is valid until its
// answer ends.
type Request struct {
	Header *fasthttp.RequestHeader
	Body   []byte
	// Received is the time at which the last byte was read.
	Received time.Time
}

// Handler answers requests.
type Handler interface {
	// Serve writes the answer. The context ends when the caller closes the
	// connection.
	Serve(ctx context.Context, r *Request, w *ResponseWriter)
	// Reject answers a request that can't be read. The status and the reason
	// describe the error.
	Reject(status int, reason error, w *ResponseWriter)
}

// Limits bound the size of a caller's request and the time to read it.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Options are the dependencies of a Server.
type Options struct {
	Clock   clock.Clock
	Handler Handler
	// Limits returns the current limits.
	Limits func() Limits
	// Budget bounds the memory and the connections of callers. Nil means no limit.
	Budget *budget.Budget
	// Kind says which connections of the budget the server uses.
	Kind budget.Kind
	// OnPanic is called with the cause and the stack after a panic of the handler.
	OnPanic func(cause any, stack []byte)
}

// Server accepts connections and answers the requests on them.
type Server struct {
	Options
	listener net.Listener
	// draining says that each answer announces the end of its connection.
	draining       atomic.Bool
	activeRequests atomic.Int64

	mu             sync.Mutex
	conns          map[*conn]bool
	listenerClosed bool
	running        sync.WaitGroup
}

// New returns a server without a listener.
func New(o Options) *Server {
	o.Budget = budget.OrUnlimited(o.Budget, o.Clock)
	if o.Kind == "" {
		o.Kind = budget.Callers
	}
	return &Server{Options: o, conns: make(map[*conn]bool)}
}

// Listen opens a listener at the address and starts to accept connections.
func (s *Server) Listen(ctx context.Context, address string) error {
	var config net.ListenConfig
	l, err := config.Listen(ctx, "tcp", address)
	if err != nil {
		return err
	}
	s.listener = l
	s.running.Add(1)
	go s.acceptConns()
	return nil
}

// acceptRetryDelay is the wait after a failed accept, for example for lack of
// file descriptors.
const acceptRetryDelay = 20 * time.Millisecond

func (s *Server) acceptConns() {
	defer s.running.Done()
	for {
		netConn, err := s.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			plugin.Sleep(context.Background(), s.Clock, acceptRetryDelay)
			continue
		}
		s.startConn(netConn)
	}
}

func (s *Server) startConn(netConn net.Conn) {
	account := s.Budget.OpenConn(s.Kind, netConn)
	if account == nil {
		return
	}
	c := newConn(s, netConn, account)
	if !s.addConn(c) {
		account.Close()
		_ = netConn.Close()
		return
	}
	go c.serve()
}

func (s *Server) addConn(c *conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.conns == nil {
		return false
	}
	s.conns[c] = true
	s.running.Add(1)
	return true
}

func (s *Server) removeConn(c *conn) {
	s.mu.Lock()
	delete(s.conns, c)
	s.mu.Unlock()
	s.running.Done()
}

// ActiveRequests returns the number of requests that are being answered.
func (s *Server) ActiveRequests() int64 {
	return s.activeRequests.Load()
}

// Drain makes all further answers announce the end of their connection with
// Connection: close.
func (s *Server) Drain() {
	s.draining.Store(true)
}

// CloseListener stops accepting connections and closes the idle connections.
func (s *Server) CloseListener() {
	if s.listener != nil {
		_ = s.listener.Close()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listenerClosed = true
	for c := range s.conns {
		c.closeIdle()
	}
}

// CancelUnanswered cancels the requests whose answers have not begun, with the cause
// proxy.ErrStopping, so that the handler answers them before the stop ends.
func (s *Server) CancelUnanswered() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		if !c.hasAnswer.Load() {
			c.stop(proxy.ErrStopping)
		}
	}
}

// Stop drains the server, closes the listener and waits until all connections
// have ended. If the context ends first, Stop closes the remaining connections.
func (s *Server) Stop(ctx context.Context) error {
	s.Drain()
	s.CloseListener()
	ended := make(chan struct{})
	go func() {
		s.running.Wait()
		close(ended)
	}()
	select {
	case <-ended:
		return nil
	case <-ctx.Done():
	}
	s.mu.Lock()
	for c := range s.conns {
		_ = c.netConn.Close()
	}
	s.conns = nil
	s.mu.Unlock()
	return ctx.Err()
}
