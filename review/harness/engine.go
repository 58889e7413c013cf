package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// Times of model servers, as on the sheet.
const (
	rejoinTime = 200 * time.Millisecond
	warmTime   = 1600 * time.Millisecond
	loadTime   = 16 * time.Second
	// firstLoadDivisor divides the time of a load before the first request.
	firstLoadDivisor = 10
	formTime         = 300 * time.Millisecond
	// lapseTime is the time of silence after which the entry of a server is removed.
	lapseTime = 3 * heartbeatInterval
)

// fleet has the model servers.
type fleet struct {
	cluster *cluster
	// storeAway says that writes of servers to the store fail.
	storeAway atomic.Bool
	// hasTraffic says that the first request has come.
	hasTraffic atomic.Bool

	mu      sync.Mutex
	servers map[string]*engine
	// broken has the joins that broke the rule.
	broken []string
}

// group is the membership of a model server in a group.
type group struct {
	Name  string `json:"name"`
	Epoch int64  `json:"epoch"`
	Rank  int    `json:"rank"`
	State string `json:"state"`

	members []string
}

// engine is a stand-in of a model server. The lock of the fleet guards it.
type engine struct {
	fleet          *fleet
	id, domain     string
	address        string
	http           *http.Server
	born, seq      int64
	fence, highest int64
	staged         []string
	lastModel      string
	group          *group
	crashed        bool
	nextBeat       time.Time
	// registered says that the store has the entry, which was written last at writtenAt.
	registered bool
	writtenAt  time.Time
}

func newFleet(c *cluster) *fleet {
	f := &fleet{cluster: c, servers: make(map[string]*engine)}
	go f.removeLapsed()
	return f
}

func (f *fleet) add(id, domain string) error {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return err
	}
	s := &engine{fleet: f, id: id, domain: domain, address: l.Addr().String(), born: f.cluster.clock.Now().UnixMilli(), staged: []string{}}
	s.http = &http.Server{Handler: s}
	f.mu.Lock()
	f.servers[id] = s
	s.writeEntry()
	f.mu.Unlock()
	go s.http.Serve(l) //nolint:errcheck // ends with the server
	go s.beat()
	f.cluster.onClose(func() { _ = s.http.Close() })
	return nil
}

// beat writes the entry at each heartbeat. Servers begin at different moments.
func (s *engine) beat() {
	s.fleet.cluster.clock.Sleep(rand.N(heartbeatInterval))
	for {
		s.fleet.mu.Lock()
		s.nextBeat = s.fleet.cluster.clock.Now().Add(heartbeatInterval)
		s.fleet.mu.Unlock()
		s.fleet.cluster.clock.Sleep(heartbeatInterval)
		s.fleet.mu.Lock()
		if s.crashed {
			s.fleet.mu.Unlock()
			return
		}
		s.writeEntry()
		s.fleet.mu.Unlock()
	}
}

// writeEntry writes the entry, unless the store is away.
func (s *engine) writeEntry() {
	if s.crashed || s.fleet.storeAway.Load() {
		return
	}
	s.registered, s.writtenAt = true, s.fleet.cluster.clock.Now()
	s.fleet.cluster.store.Put("servers/"+s.id, map[string]any{
		"service": engineName, "address": s.address, "zone": "kirtipur", "version": "v1", "slots": 8, "state": "ready", "cold_left_ms": 0,
		"seq": s.seq, "born": s.born, "domain": s.domain, "staged": s.staged, "models": s.models(), "group": s.group,
	})
}

func (s *engine) models() []map[string]any {
	if s.group == nil {
		return []map[string]any{}
	}
	return []map[string]any{{"name": modelName, "version": 1, "adapters": []string{}}}
}

// crash ends the server. Its entry lapses like that of any server that is silent.
func (f *fleet) crash(id string) {
	f.mu.Lock()
	s := f.servers[id]
	s.crashed = true
	f.mu.Unlock()
	f.cluster.record.printf("server %s: crashes", id)
	_ = s.http.Close()
}

// removeLapsed removes the entries of servers that have been silent for the lapse time, for
// whatever reason and also while the store is away.
func (f *fleet) removeLapsed() {
	const interval = 20 * time.Millisecond
	for {
		f.cluster.clock.Sleep(interval)
		f.mu.Lock()
		for _, s := range f.servers {
			if s.registered && f.cluster.clock.Since(s.writtenAt) >= lapseTime {
				s.registered = false
				f.cluster.store.Remove("servers/" + s.id)
				f.cluster.record.printf("store: entry of server %s has lapsed", s.id)
			}
		}
		f.mu.Unlock()
	}
}

// groups returns the members of each open group, the head first.
func (f *fleet) groups(domain string) map[string][]string {
	f.mu.Lock()
	defer f.mu.Unlock()
	open := make(map[string][]string)
	for _, s := range f.servers {
		if !s.crashed && s.domain == domain && s.group != nil && s.group.Rank == 0 && s.group.State == "open" {
			open[s.group.Name] = s.group.members
		}
	}
	return open
}

// order is the body of an order.
type order struct {
	Operation string   `json:"operation"`
	Fence     int64    `json:"fence"`
	Group     string   `json:"group"`
	Epoch     int64    `json:"epoch"`
	Model     string   `json:"model"`
	Members   []string `json:"members"`
}

// ServeHTTP answers orders, requests for reports and callers' requests.
func (s *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != s.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch r.URL.Path {
	case "/cuminbay/order":
		var o order
		if json.NewDecoder(r.Body).Decode(&o) != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		s.fleet.mu.Lock()
		status := s.carryOut(&o)
		s.writeEntry()
		s.fleet.mu.Unlock()
		s.fleet.cluster.record.printf("server %s: %s %s epoch %d members %v: %d", s.id, o.Operation, o.Group, o.Epoch, o.Members, status)
		w.WriteHeader(status)
	case "/cuminbay/report":
		s.fleet.mu.Lock()
		raw, _ := json.Marshal(map[string]any{"born": s.born, "seq": s.seq, "busy": false, "staged": s.staged, "models": s.models(), "group": s.group})
		s.fleet.mu.Unlock()
		w.Header().Set("Content-Type", "application/json")
		_, _ = w.Write(raw)
	default:
		s.serveStream(w, r)
	}
}

// carryOut carries out an order and returns the status of the answer. The caller holds the lock.
func (s *engine) carryOut(o *order) int {
	if o.Fence < s.fence {
		return http.StatusPreconditionFailed
	}
	s.fence = o.Fence
	isMember := s.group != nil && s.group.Name == o.Group && s.group.Epoch == o.Epoch
	switch {
	case o.Operation == "join":
		return s.join(o, isMember)
	case o.Operation == "open" && isMember && s.group.Rank == 0 && s.group.State == "ready":
		s.after(formTime, "open")
	case o.Operation == "open" && isMember && s.group.State == "open", o.Operation == "leave" && !isMember, o.Operation == "close" && !isMember:
		return http.StatusOK
	case o.Operation == "open":
		return http.StatusConflict
	case o.Operation == "close":
		s.group.State = "ready"
	case o.Operation == "leave":
		s.group = nil
	case o.Operation == "stage":
		s.load(o.Model, func() {})
	default:
		return http.StatusBadRequest
	}
	s.seq++
	return http.StatusAccepted
}

// join begins to join a group. The caller holds the lock.
func (s *engine) join(o *order, isMember bool) int {
	switch {
	case o.Epoch < s.highest, isMember && !slices.Equal(s.group.members, o.Members):
		return http.StatusPreconditionFailed
	case isMember:
		return http.StatusOK
	}
	s.fleet.checkJoin(s, o)
	s.highest = o.Epoch
	s.group = &group{Name: o.Group, Epoch: o.Epoch, Rank: slices.Index(o.Members, s.id), State: "joining", members: o.Members}
	switch {
	case s.lastModel == o.Model:
		s.after(rejoinTime, "ready")
	case slices.Contains(s.staged, o.Model):
		s.after(warmTime, "ready")
	default:
		joined := s.group
		s.load(o.Model, func() { s.enter(joined, "ready") })
	}
	s.lastModel = o.Model
	s.seq++
	return http.StatusAccepted
}

// checkJoin records a join that breaks the rule: the server is in another group, whose head is
// open. The caller holds the lock.
func (f *fleet) checkJoin(s *engine, o *order) {
	if s.group == nil || s.group.Name == o.Group {
		return
	}
	head := f.servers[s.group.members[0]]
	if head == nil || head.crashed || head.group == nil || head.group.Name != s.group.Name || head.group.Epoch != s.group.Epoch || head.group.State != "open" {
		return
	}
	text := fmt.Sprintf("TWO: server %s is joined to group %s epoch %d while group %s epoch %d of %s, which it hasn't left, is open", s.id, o.Group, o.Epoch, s.group.Name, s.group.Epoch, head.id)
	f.broken = append(f.broken, text)
	f.cluster.record.printf("%s", text)
}

// after changes the state of the present membership after a time. The caller holds the lock.
func (s *engine) after(d time.Duration, state string) {
	current := s.group
	s.fleet.cluster.clock.AfterFunc(d, func() {
		s.fleet.mu.Lock()
		defer s.fleet.mu.Unlock()
		s.enter(current, state)
	})
}

// enter changes the state of a membership, unless it is another one now. The caller holds the lock.
func (s *engine) enter(joined *group, state string) {
	if s.group == joined && !s.crashed {
		joined.State = state
		s.writeEntry()
	}
}

// load loads the weights of a model and calls done. The caller holds the lock.
func (s *engine) load(model string, done func()) {
	d := loadTime
	if !s.fleet.hasTraffic.Load() {
		d /= firstLoadDivisor
	}
	s.fleet.cluster.clock.AfterFunc(d, func() {
		s.fleet.mu.Lock()
		defer s.fleet.mu.Unlock()
		s.staged = []string{model}
		done()
		s.writeEntry()
	})
}

// serveStream sends the events that follow the one in Last-Event-Id.
func (s *engine) serveStream(w http.ResponseWriter, r *http.Request) {
	const events, interval = 20, 15 * time.Millisecond
	s.fleet.hasTraffic.Store(true)
	w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
	s.fleet.mu.Lock()
	isOpen := s.group != nil && s.group.Rank == 0 && s.group.State == "open"
	s.fleet.mu.Unlock()
	if !isOpen {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	w.Header().Set("Server-Stamp", s.id)
	w.Header().Set("Content-Type", "text/event-stream")
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	for n := last + 1; n <= events; n++ {
		s.fleet.cluster.clock.Sleep(interval)
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s %d\n\n", n, r.Header.Get("Request-Id"), n); err != nil {
			return
		}
		w.(http.Flusher).Flush()
	}
}
