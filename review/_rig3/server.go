package main

import (
	"bufio"
	"context"
	"fmt"
	"hash/crc32"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

func newReader(r io.Reader) *bufio.Reader { return bufio.NewReader(r) }

// arrival is a request that reached a server.
type arrival struct {
	server, id, path string
	at               time.Time
}

// behaviour answers a request, and returns whether it did.
type behaviour func(s *plainServer, w http.ResponseWriter, r *http.Request, body []byte) bool

// plainServer is a server of the plain service. Unless a case sets its behaviour, it is sound.
type plainServer struct {
	lab               *lab
	id, zone, address string
	slots             int
	work              time.Duration

	mu sync.Mutex
	// act answers a request in place of the sound server if it returns true. The request has not run yet.
	act      behaviour
	born     int64
	state    string
	server   *http.Server
	arrivals []arrival
	beats    context.CancelFunc
}

const heartbeat = 1200 * time.Millisecond

func newPlainServer(l *lab, id, zone string) *plainServer {
	s := &plainServer{lab: l, id: id, zone: zone, slots: 6, work: 15 * time.Millisecond, state: "ready"}
	s.start()
	return s
}

// start begins a lifetime of the server, at the address of the one before.
func (s *plainServer) start() {
	s.mu.Lock()
	defer s.mu.Unlock()
	address := s.address
	if address == "" {
		address = "127.0.0.1:0"
	}
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		s.lab.line("server %s can't listen: %v", s.id, err)
		return
	}
	s.address = listener.Addr().String()
	s.born = time.Now().UnixMilli()
	s.server = &http.Server{Handler: s, IdleTimeout: 10 * time.Second}
	go s.server.Serve(listener) //nolint:errcheck // ends with Close
	ctx, cancel := context.WithCancel(context.Background())
	s.beats = cancel
	s.register(0)
	go func() {
		for seq := 1; ctx.Err() == nil; seq++ {
			sleep(ctx, heartbeat)
			s.mu.Lock()
			if ctx.Err() == nil {
				s.register(seq)
			}
			s.mu.Unlock()
		}
	}()
}

// register writes the server's entry. The caller holds the lock.
func (s *plainServer) register(seq int) {
	s.lab.store.Put("servers/"+s.id, map[string]any{
		"service": "book", "address": s.address, "zone": s.zone, "version": "v1", "slots": s.slots, "state": s.state, "cold_left_ms": 0, "seq": seq, "born": s.born,
	})
}

// drain makes the server say in its entry that it drains. It goes on serving.
func (s *plainServer) drain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state = "draining"
	s.register(0)
}

// crash ends the lifetime: its connections are reset, and its entry ends after three heartbeats of silence.
func (s *plainServer) crash() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.server == nil {
		return
	}
	s.beats()
	_ = s.server.Close()
	s.server = nil
}

// crashFor crashes the server and starts it again after the time.
func (s *plainServer) crashFor(d time.Duration) {
	s.lab.line("server %s crashes for %s", s.id, d)
	s.crash()
	time.AfterFunc(d, func() {
		s.start()
		s.lab.line("server %s is back", s.id)
	})
}

// ServeHTTP answers a request.
func (s *plainServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Request-Id")
	w.Header().Set("Request-Id", id)
	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != s.id {
		w.Header().Set("Not-Run", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if r.URL.Path == "/health" {
		w.Header().Set("Instance-Id", s.id)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	s.mu.Lock()
	s.arrivals = append(s.arrivals, arrival{s.id, id, r.URL.Path, time.Now()})
	act := s.act
	s.mu.Unlock()
	if !strings.Contains(r.URL.Path, "quiet") {
		s.lab.line("server %s got %s %s", s.id, excerpt(id), r.URL.Path)
	}
	if act != nil && act(s, w, r, body) {
		return
	}
	s.answer(w, r, body)
}

// setAct replaces the behaviour.
func (s *plainServer) setAct(b behaviour) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.act = b
}

// bodyOf returns the body of the sound answer, which has at least 800 bytes.
func bodyOf(id, path, body string) string {
	const size = 800
	text := fmt.Sprintf("%s %s %s ", id, path, body)
	return text + strings.Repeat(".", max(0, size-len(text)))
}

func soundBody(r *http.Request, body []byte) string {
	return bodyOf(r.Header.Get("Request-Id"), r.URL.Path, string(body))
}

// stampOf returns a signature of fixed size.
func (s *plainServer) stampOf(id string) string {
	return fmt.Sprintf("%s.%08x", s.id, crc32.ChecksumIEEE([]byte(id)))
}

// answer is the sound server's.
func (s *plainServer) answer(w http.ResponseWriter, r *http.Request, body []byte) {
	time.Sleep(s.work)
	text := soundBody(r, body)
	w.Header().Set("Server-Stamp", s.stampOf(r.Header.Get("Request-Id")))
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	_, _ = io.WriteString(w, text)
}

// takeOver gives the function the connection, which is closed afterwards, with a reset if it returns true.
func takeOver(w http.ResponseWriter, f func(c net.Conn) (reset bool)) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	if f(conn) {
		_ = conn.(*net.TCPConn).SetLinger(0)
	}
	_ = conn.Close()
}

// arrived returns the arrivals at all plain servers for which the function returns true.
func (l *lab) arrived(which func(arrival) bool) []arrival {
	var found []arrival
	for _, s := range l.plain {
		s.mu.Lock()
		for _, a := range s.arrivals {
			if which(a) {
				found = append(found, a)
			}
		}
		s.mu.Unlock()
	}
	return found
}
