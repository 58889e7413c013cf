// Package httpserver serves HTTP/1.1 to callers whose requests are forwarded as they
// are. It owns the connections: it sees a caller leave while its request is at
// work, and ends connections so that no answer is lost.
package httpserver

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"cuminbay/internal/kernel/clock"
	"cuminbay/internal/kernel/plugin"
)

// Request is a request that was read whole. It is valid until its answer ends.
type Request struct {
	Header *fasthttp.RequestHeader
	Body   []byte
	// Received is when its last byte was read.
	Received time.Time
}

// Handler answers requests.
type Handler interface {
	// Serve writes the answer. The context ends when the caller leaves.
	Serve(ctx context.Context, r *Request, w *ResponseWriter)
	// Reject answers a request that can't be read, with the status that says
	// why.
	Reject(status int, reason error, w *ResponseWriter)
}

// Limits bound what a caller may send and how long it may take.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Options are the parts of a Server.
type Options struct {
	Clock   clock.Clock
	Handler Handler
	// Limits returns the limits in force.
	Limits func() Limits
}

// Server accepts connections and serves the requests on them.
type Server struct {
	Options
	listener net.Listener
	// draining says that answers announce the end of their connection.
	draining atomic.Bool
	active   atomic.Int64

	mu             sync.Mutex
	conns          map[*conn]bool
	listenerClosed bool
	running        sync.WaitGroup
}

// New returns a server that doesn't listen yet.
func New(o Options) *Server {
	return &Server{Options: o, conns: make(map[*conn]bool)}
}

// Listen opens the address and begins to serve.
func (s *Server) Listen(ctx context.Context, address string) error {
	var config net.ListenConfig
	l, err := config.Listen(ctx, "tcp", address)
	if err != nil {
		return err
	}
	s.listener = l
	s.running.Add(1)
	go s.accept()
	return nil
}

// acceptRetryDelay is the wait after a failed accept, such as one for lack of
// descriptors.
const acceptRetryDelay = 20 * time.Millisecond

func (s *Server) accept() {
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
		c := newConn(s, netConn)
		if !s.add(c) {
			_ = netConn.Close()
			continue
		}
		go c.serve()
	}
}

func (s *Server) add(c *conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.conns == nil {
		return false
	}
	s.conns[c] = true
	s.running.Add(1)
	return true
}

func (s *Server) remove(c *conn) {
	s.mu.Lock()
	delete(s.conns, c)
	s.mu.Unlock()
	s.running.Done()
}

// ActiveRequests returns the requests being answered.
func (s *Server) ActiveRequests() int64 {
	return s.active.Load()
}

// Drain makes every answer from now on announce the end of its connection.
func (s *Server) Drain() {
	s.draining.Store(true)
}

// CloseListener takes no more connections and closes those without a request.
func (s *Server) CloseListener() {
	_ = s.listener.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listenerClosed = true
	for c := range s.conns {
		c.closeIdle()
	}
}

// Stop shuts the server and waits until every connection has ended. When the
// context ends first, what is left is cut off.
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
