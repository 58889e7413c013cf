//go:build review2

package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

// exchange is a request that a server got, and the channel for its answer.
type exchange struct {
	server  *server
	id      string
	request *http.Request
	body    []byte
	conn    net.Conn
	at      time.Time
}

// membership is the position of a model server in a group.
type membership struct {
	Name  string `json:"name"`
	Epoch int64  `json:"epoch"`
	Rank  int    `json:"rank"`
	State string `json:"state"`
	Model string `json:"model"`
}

// server is a stand-in of a server of the users' platform. It registers itself, carries out orders,
// and answers requests with serve.
type server struct {
	rig                       *rig
	id, service, zone, domain string
	slots                     int
	listener                  net.Listener
	born                      int64
	serve                     func(*exchange)

	mu      sync.Mutex
	seq     int
	orders  int
	fence   int64
	staged  []string
	group   *membership
	ended   bool
	conns   map[net.Conn]bool
	arrived int
}

// startServer starts a server and registers it. A server with a domain is a model server.
func (r *rig) startServer(id, service, zone, domain string, slots int, serve func(*exchange)) (*server, error) {
	l, err := freeListener()
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errNotRun, err)
	}
	s := &server{
		rig: r, id: id, service: service, zone: zone, domain: domain, slots: slots, listener: l,
		born: time.Now().UnixMilli(), serve: serve, conns: make(map[net.Conn]bool),
	}
	r.mu.Lock()
	r.servers = append(r.servers, s)
	r.mu.Unlock()
	go s.accept()
	go s.heartbeats()
	return s, nil
}

// heartbeats writes the registration until the server ends.
func (s *server) heartbeats() {
	for {
		s.mu.Lock()
		ended := s.ended
		if !ended {
			s.register()
		}
		s.mu.Unlock()
		select {
		case <-s.rig.stop:
			return
		case <-time.After(heartbeat):
		}
		if ended {
			return
		}
	}
}

// register writes the registration. The caller holds the lock.
func (s *server) register() {
	s.seq++
	entry := map[string]any{
		"service": s.service, "address": s.listener.Addr().String(), "zone": s.zone, "version": "v1", "slots": s.slots,
		"state": "ready", "cold_left_ms": 0, "seq": s.seq, "born": s.born,
	}
	if s.domain != "" {
		entry["domain"], entry["staged"], entry["group"] = s.domain, s.staged, s.group
	}
	s.rig.store.Put("servers/"+s.id, entry)
}

// crash ends the server: its address refuses channels, and its registration lapses after three
// heartbeats of silence.
func (s *server) crash() {
	s.mu.Lock()
	if s.ended {
		s.mu.Unlock()
		return
	}
	s.ended = true
	_ = s.listener.Close()
	for c := range s.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
	s.mu.Unlock()
	go func() {
		select {
		case <-s.rig.stop:
		case <-time.After(3 * heartbeat):
			s.rig.store.Remove("servers/" + s.id)
		}
	}()
}

func (s *server) accept() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		ended := s.ended
		s.conns[c] = true
		s.mu.Unlock()
		if ended {
			_ = c.Close()
			return
		}
		go s.serveConn(c)
	}
}

// serveConn serves one request at a time, as the pages say.
func (s *server) serveConn(c net.Conn) {
	defer func() {
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
		_ = c.Close()
	}()
	reader := bufio.NewReader(c)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		x := &exchange{server: s, id: request.Header.Get("Request-Id"), request: request, body: body, conn: c, at: time.Now()}
		if expected := request.Header.Get("Expect-Instance"); expected != "" && expected != s.id {
			x.answer(http.StatusMisdirectedRequest, nil, "")
			continue
		}
		switch request.URL.Path {
		case "/cuminbay/order":
			s.handleOrder(x)
		case "/cuminbay/report":
			s.handleReport(x)
		case "/health":
			x.answer(http.StatusOK, []string{"Instance-Id: " + s.id}, "")
		default:
			if s.domain != "" && !s.isOpenHead() {
				x.answer(http.StatusMisdirectedRequest, []string{"At-Server: " + s.id}, "")
				continue
			}
			s.serve(x)
		}
	}
}

func (s *server) isOpenHead() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.group != nil && s.group.Rank == 0 && s.group.State == "open"
}

// answer writes an answer with a length.
func (x *exchange) answer(status int, fields []string, body string) {
	var b bytes.Buffer
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\nRequest-Id: %s\r\nKeep-Alive: timeout=5\r\n", status, http.StatusText(status), x.id)
	for _, f := range fields {
		b.WriteString(f + "\r\n")
	}
	fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n%s", len(body), body)
	_, _ = x.conn.Write(b.Bytes())
}

// stamp returns the field that shows that the server ran the request.
func (x *exchange) stamp() string {
	return "Server-Stamp: " + x.server.id + "." + x.id
}

func (s *server) handleReport(x *exchange) {
	s.mu.Lock()
	report := map[string]any{"born": s.born, "seq": s.orders, "staged": s.staged, "group": s.group}
	s.mu.Unlock()
	raw, _ := json.Marshal(report)
	x.answer(http.StatusOK, []string{"Content-Type: application/json"}, string(raw))
}

// handleOrder carries out an order as the pages say.
func (s *server) handleOrder(x *exchange) {
	var o struct {
		Operation, Group, Model string
		Fence, Epoch            int64
		Members                 []string
		Expected                *int
	}
	if json.Unmarshal(x.body, &o) != nil {
		x.answer(http.StatusBadRequest, nil, "")
		return
	}
	s.mu.Lock()
	status := s.apply(o.Operation, o.Group, o.Model, o.Fence, o.Epoch, o.Members, o.Expected)
	if status == http.StatusAccepted {
		s.orders++
		s.register()
	}
	s.mu.Unlock()
	x.answer(status, nil, "")
}

// apply changes the state by an order and returns the status of the answer. The caller holds the lock.
func (s *server) apply(operation, group, model string, fence, epoch int64, members []string, expected *int) int {
	if fence < s.fence {
		return http.StatusPreconditionFailed
	}
	s.fence = fence
	if expected != nil && *expected != s.orders {
		return http.StatusConflict
	}
	isMember := s.group != nil && s.group.Name == group && s.group.Epoch == epoch
	switch {
	case operation == "join" && isMember:
		return http.StatusOK
	case operation == "join" && s.group != nil && epoch < s.group.Epoch:
		return http.StatusPreconditionFailed
	case operation == "join":
		s.group = &membership{group, epoch, slices.Index(members, s.id), "joining", model}
		s.changeAfter(200*time.Millisecond, "ready", model)
	case operation == "open" && isMember && s.group.State == "ready":
		s.changeAfter(100*time.Millisecond, "open", model)
	case operation == "open" && isMember && s.group.State == "open":
		return http.StatusOK
	case operation == "open":
		return http.StatusConflict
	case operation == "close" && isMember:
		s.group.State = "ready"
	case operation == "leave" && isMember:
		s.group = nil
	case operation == "stage" && !slices.Contains(s.staged, model):
		s.staged = []string{model}
	default:
		return http.StatusOK
	}
	return http.StatusAccepted
}

// changeAfter changes the state of the membership after a time. The caller holds the lock.
func (s *server) changeAfter(d time.Duration, state, model string) {
	current := s.group
	time.AfterFunc(d, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.ended || s.group != current {
			return
		}
		current.State = state
		if model != "" && !slices.Contains(s.staged, model) {
			s.staged = []string{model}
		}
		s.register()
	})
}

// routeConfig is a route of the configuration.
type routeConfig struct {
	kind, prefix, service string
	timeout, attempts     int
}

// configure writes a version of the configuration.
func (r *rig) configure(version int, keys []string, routes ...routeConfig) {
	var all []any
	for _, c := range routes {
		all = append(all, map[string]any{
			"name": strings.Trim(c.prefix, "/"), "host": "yard.example", "prefix": c.prefix, "kind": c.kind, "timeout_ms": c.timeout, "slo_ms": 300, "priority": 1,
			"service": c.service, "attempts": c.attempts, "resumable": c.kind == "stream", "gap_target_ms": 300, "sticky": c.kind == "stream",
		})
	}
	r.store.Put("op/config", map[string]any{
		"version": version, "routes": all,
		"services": []any{
			map[string]any{"name": "yard-book", "health_path": "/health", "max_conns": 110},
			map[string]any{"name": "chest-llm", "health_path": "/health", "max_conns": 474, "engine": map[string]any{
				"slots": modelSlots, "step_ms": 5.95, "stride": 7, "read_per_s": 50700, "chunk": 256, "loads_per_s": 20, "loads_at_once": 12, "form_ms": 100, "kv_capacity": 1590000,
				"usual":  map[string]any{"prompt": 1000, "answer": 175},
				"models": []any{map[string]any{"name": "m", "size": groupSize, "share": 1, "pace": 1, "load_s": 0.2, "warm_s": 0.2}},
			}},
		},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 1 << 20, "header_timeout_ms": 2000, "idle_timeout_ms": 10000},
		"tenants": []any{map[string]any{"name": "dealer", "api_keys": keys}},
	})
}

// Sizes of the model service.
const (
	modelSlots = 26
	groupSize  = 3
)
