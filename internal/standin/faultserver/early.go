package faultserver

import (
	"io"
	"net"
	"sync"
	"time"

	"cuminbay/internal/kernel/budget"
	"cuminbay/internal/kernel/clock"
)

// ConnEnd is the way in which a server ends a connection after its answer.
type ConnEnd int

// The ways to end a connection.
const (
	// Reset resets the connection.
	Reset ConnEnd = iota
	// HalfClose ends the server's side and reads the rest of the request.
	HalfClose
	// HalfCloseSilent ends the server's side and reads nothing more.
	HalfCloseSilent
	// HalfCloseReset ends the server's side and then resets the connection.
	HalfCloseReset
)

// Early is the answer of an EarlyServer.
type Early struct {
	Clock  clock.Clock
	Answer string
	End    ConnEnd
	// Pause is the time before each step of the end.
	Pause time.Duration
}

// EarlyServer answers each request when it has read the start of it, and then ends the connection.
type EarlyServer struct {
	Early
	listener net.Listener
	endOnce  sync.Once
	ended    chan struct{}
	closed   chan struct{}
}

// earlyBytes is the length of that start.
const earlyBytes = 3 << 10

// Listen starts a server. Close stops it.
func (e Early) Listen() (*EarlyServer, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &EarlyServer{Early: e, listener: l, ended: make(chan struct{}), closed: make(chan struct{})}
	go s.accept()
	return s, nil
}

// Address returns the address on which the server listens.
func (s *EarlyServer) Address() string { return s.listener.Addr().String() }

// Ended returns a channel that is closed when the server has ended its first connection.
func (s *EarlyServer) Ended() <-chan struct{} { return s.ended }

// Close stops the server and closes its connections. It must be called once.
func (s *EarlyServer) Close() {
	close(s.closed)
	_ = s.listener.Close()
}

func (s *EarlyServer) accept() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		go s.serve(conn.(*net.TCPConn))
	}
}

func (s *EarlyServer) serve(conn *net.TCPConn) {
	defer conn.Close() //nolint:errcheck // the client has the answer or has left
	if _, err := io.ReadFull(conn, make([]byte, earlyBytes)); err != nil {
		return
	}
	_, _ = io.WriteString(conn, s.Answer)
	s.Clock.Sleep(s.Pause)
	s.end(conn)
	s.endOnce.Do(func() { close(s.ended) })
	switch s.End {
	case HalfClose:
		_, _ = io.Copy(io.Discard, conn)
	case HalfCloseSilent:
		<-s.closed
	case Reset, HalfCloseReset:
	}
}

func (s *EarlyServer) end(conn *net.TCPConn) {
	if s.End != Reset {
		_ = conn.CloseWrite()
	}
	if s.End == HalfCloseReset {
		s.Clock.Sleep(s.Pause)
	}
	if s.End == Reset || s.End == HalfCloseReset {
		budget.ResetConn(conn)
	}
}

// TruncatedResponses are responses whose bodies are not complete if their connection is reset.
var TruncatedResponses = map[string]string{
	"no length":           "HTTP/1.1 200 OK\r\n\r\npart of",
	"Connection: close":   "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\npart of",
	"HTTP/1.0":            "HTTP/1.0 200 OK\r\n\r\npart of",
	"nothing of the body": "HTTP/1.1 200 OK\r\n\r\n",
	"truncated length":    "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\npart of",
	"truncated chunks":    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n7\r\npart of\r\n",
}
