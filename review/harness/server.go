package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"cuminbay/internal/kernel/clock"
)

// poisonBody is the body of a request that crashes each server that begins to run it.
const poisonBody = "poison"

// Versions of the servers' software. Servers of the robust version run the request with
// poisonBody.
const (
	robustVersion = "v1"
	usualVersion  = "v2"
)

// Bytes that are no answer in the protocol: the pages that a web server shows before its program
// is loaded, and after its program took too long.
const (
	welcomePage     = "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nIt works!"
	unavailablePage = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 11\r\n\r\nUnavailable"
)

// plainServer is a stand-in of a server of the plain service.
type plainServer struct {
	cluster  *cluster
	id, zone string
	address  string
	workTime time.Duration
	version  string
	// spoiled is the share of the answers in whose place the server sends other bytes.
	spoiled float64
	// downTime is the time for which the server is down after a crash.
	downTime time.Duration

	mu         sync.Mutex
	http       *http.Server
	conns      map[net.Conn]bool
	born       int64
	lives      int
	registered bool
	draining   bool
	arrivals   []arrival
}

// arrival is a request that reached a server.
type arrival struct {
	id   string
	body string
	at   time.Time
}

// heartbeatInterval is the interval at which a server writes its entry.
const heartbeatInterval = 1200 * time.Millisecond

func (c *cluster) addServer(id, zone string, workTime time.Duration) (*plainServer, error) {
	return c.addServerOf(usualVersion, id, zone, workTime)
}

// addServerOf starts a server of a version of the software.
func (c *cluster) addServerOf(version, id, zone string, workTime time.Duration) (*plainServer, error) {
	s := &plainServer{cluster: c, id: id, zone: zone, workTime: workTime, version: version, downTime: 2 * time.Second}
	if err := s.start(); err != nil {
		return nil, err
	}
	c.onClose(func() { s.exit("ends with the case") })
	return s, nil
}

// start begins a lifetime of the server. It has the address and the id of the one before.
func (s *plainServer) start() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	address := s.address
	if address == "" {
		address = "127.0.0.1:0"
	}
	l, err := net.Listen("tcp4", address)
	if err != nil {
		return err
	}
	s.address = l.Addr().String()
	s.born, s.registered, s.conns = s.cluster.clock.Now().UnixMilli(), true, make(map[net.Conn]bool)
	s.lives++
	s.http = &http.Server{Handler: s, ConnState: s.trackConn}
	s.writeEntry()
	life := s.lives
	go s.http.Serve(l) //nolint:errcheck // ends with the server
	go s.heartbeat(s.cluster.clock, life)
	return nil
}

func (s *plainServer) trackConn(conn net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch state {
	case http.StateNew:
		s.conns[conn] = true
	case http.StateClosed:
		delete(s.conns, conn)
	case http.StateActive, http.StateIdle, http.StateHijacked:
	}
}

// writeEntry writes the server's entry. The caller holds the lock.
func (s *plainServer) writeEntry() {
	state := "ready"
	if s.draining {
		state = "draining"
	}
	s.cluster.store.Put("servers/"+s.id, map[string]any{
		"service": plainName, "address": s.address, "zone": s.zone, "version": s.version, "slots": 6, "state": state, "cold_left_ms": 0, "seq": s.lives, "born": s.born,
	})
}

func (s *plainServer) heartbeat(clk clock.Clock, life int) {
	for {
		clk.Sleep(heartbeatInterval)
		s.mu.Lock()
		if s.lives != life || !s.registered {
			s.mu.Unlock()
			return
		}
		s.writeEntry()
		s.mu.Unlock()
	}
}

// deregister removes the entry, as a server does that leaves without reporting that it drains.
// The server continues to serve.
func (s *plainServer) deregister() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.registered = false
	s.cluster.store.Remove("servers/" + s.id)
	s.cluster.record.printf("store: entry of server %s removed and acknowledged", s.id)
}

// drain reports that the server drains. It serves on for the drain time and a little longer, and
// then exits.
func (s *plainServer) drain() {
	const longer = time.Second
	s.mu.Lock()
	s.draining = true
	s.writeEntry()
	s.mu.Unlock()
	s.cluster.record.printf("server %s: drains", s.id)
	s.cluster.clock.Sleep(drainTime + longer)
	s.deregister()
	s.exit("has drained, exits")
}

// crash ends the server and resets its connections. It is back after the down time.
func (s *plainServer) crash() {
	s.exit("crashes")
	go func() {
		s.cluster.clock.Sleep(s.downTime)
		if s.start() == nil {
			s.cluster.record.printf("server %s: is back", s.id)
		}
	}()
}

// exit ends the server and resets its connections.
func (s *plainServer) exit(event string) {
	s.mu.Lock()
	s.lives++
	s.registered = false
	server, conns := s.http, s.conns
	s.conns = make(map[net.Conn]bool)
	s.mu.Unlock()
	s.cluster.record.printf("server %s: %s", s.id, event)
	for conn := range conns {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
	}
	_ = server.Close()
}

// ServeHTTP answers a request.
func (s *plainServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	id := r.Header.Get("Request-Id")
	w.Header().Set("Request-Id", id)
	w.Header().Set("Instance-Id", s.id)
	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != s.id {
		w.Header().Set("Not-Run", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if r.URL.Path == "/health" {
		return
	}
	if s.spoiled > 0 && rand.Float64() < s.spoiled {
		s.sendPage(w, id, rand.IntN(2) == 0)
		return
	}
	s.cluster.record.printf("server %s: runs %s", s.id, id)
	s.mu.Lock()
	s.arrivals = append(s.arrivals, arrival{id, string(body), s.cluster.clock.Now()})
	s.mu.Unlock()
	if string(body) == poisonBody && s.version != robustVersion {
		s.crash()
		panic(http.ErrAbortHandler)
	}
	s.cluster.clock.Sleep(s.workTime)
	w.Header().Set("Server-Stamp", s.id+"."+id)
	_, _ = fmt.Fprintf(w, "%s %s %s", id, r.URL.Path, body)
}

// sendPage sends, instead of an answer, bytes that neither name the request nor have a signature:
// a success without running the request, or a refusal after running it.
func (s *plainServer) sendPage(w http.ResponseWriter, id string, isRun bool) {
	conn, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	page := welcomePage
	if isRun {
		page = unavailablePage
	}
	s.cluster.record.printf("server %s: runs %s: %t, sends %q", s.id, id, isRun, page)
	_, _ = io.WriteString(conn, page)
	_ = conn.Close()
}

// arrivalsAfter returns the requests that have reached the server after the time.
func (s *plainServer) arrivalsAfter(t time.Time) []arrival {
	s.mu.Lock()
	defer s.mu.Unlock()
	var after []arrival
	for _, a := range s.arrivals {
		if a.at.After(t) {
			after = append(after, a)
		}
	}
	return after
}
