package formation

import (
	"fmt"
	"slices"
	"time"

	"cuminbay/internal/domain/ident"
	"cuminbay/internal/domain/site"
	"cuminbay/internal/domain/unit"
	"cuminbay/internal/fleet/catalog"
)

// Times of the stand-in servers.
const (
	rejoinTime = 200 * time.Millisecond
	warmTime   = 1500 * time.Millisecond
	loadTime   = 12 * time.Second
	formTime   = 300 * time.Millisecond
	stallTime  = 6 * time.Second
	tick       = 50 * time.Millisecond
)

// machine is a stand-in of a model server that obeys orders as the users' pages
// say.
type machine struct {
	site.Server
	dead bool
	// seen is the highest epoch, lists the members by replica and epoch.
	seen  unit.Epoch
	fence unit.Revision
	last  ident.Model
	// readyAt ends a join or an opening, stagedAt a load.
	readyAt  time.Time
	next     site.State
	staging  ident.Model
	stagedAt time.Time
	members  []ident.Instance
	// stalled is since when the head has missed a member.
	stalled time.Time
}

// world is a set of servers, with the rules that no planner may break.
type world struct {
	now      time.Time
	machines map[ident.Instance]*machine
	config   *site.Config
	// ready has the members that were ever ready, by replica and epoch.
	ready map[catalog.ReplicaKey]map[ident.Instance]bool
	lists map[catalog.ReplicaKey][]ident.Instance
	// broken collects broken rules.
	broken []string
	// out is a data centre that is out of service.
	out ident.DataCentre
	// late orders are carried out at their time.
	late []lateOrder
	// lose, if set, says how an order is treated.
	lose func() (lost, late bool)
}

type lateOrder struct {
	at time.Time
	to ident.Instance
	o  site.Order
}

func newWorld(domains, size int, models ...site.Model) *world {
	w := &world{
		now: time.Unix(1_000_000, 0), machines: make(map[ident.Instance]*machine),
		ready: make(map[catalog.ReplicaKey]map[ident.Instance]bool), lists: make(map[catalog.ReplicaKey][]ident.Instance),
	}
	w.config = &site.Config{Version: 1, Services: map[ident.Service]*site.Service{
		"llm": {Name: "llm", Engine: &site.Engine{Models: models, LoadsPerSecond: 4.5, LoadsAtOnce: 6}},
	}}
	for d := range domains {
		for i := range size {
			w.add(fmt.Sprintf("d%d-%02d", d, i), fmt.Sprintf("d%d", d))
		}
	}
	return w
}

func (w *world) add(id, domain string) *machine {
	m := &machine{Server: site.Server{
		ID: ident.Instance(id), Service: "llm", DataCentre: ident.DataCentre("z" + domain[1:]), Domain: ident.Domain(domain),
		Born: unit.Boot(w.now.UnixMilli()), Slots: 8,
	}}
	w.machines[m.ID] = m
	return m
}

// restart gives the machine a new life with its staged weights.
func (w *world) restart(id ident.Instance) {
	old := w.machines[id]
	m := w.add(string(id), string(old.Domain))
	m.Staged = old.Staged
	m.Born++
}

// view is what the platform lists.
func (w *world) view() *catalog.Snapshot {
	cat := catalog.New(nil)
	u := catalog.Update{Config: w.config, Listed: true}
	if w.out != "" {
		u.Out = []ident.DataCentre{w.out}
	}
	for _, m := range w.machines {
		s := m.Server
		if m.Member != nil {
			member := *m.Member
			s.Member = &member
		}
		u.Servers = append(u.Servers, &s)
	}
	cat.Apply(u)
	return cat.Current()
}

// step lets time pass and gives the planner's orders.
func (w *world) step(p *Planner, bootstrap bool) {
	w.now = w.now.Add(tick)
	w.carryOutLate()
	for _, m := range w.machines {
		w.progress(m, bootstrap)
	}
	for _, c := range p.Step(w.now, w.view(), bootstrap) {
		lost, late := false, false
		if w.lose != nil {
			lost, late = w.lose()
		}
		switch {
		case late:
			w.late = append(w.late, lateOrder{w.now.Add(3 * time.Second), c.Server.ID, c.Order})
		case !lost:
			p.Result(c, w.obey(c.Server.ID, &c.Order, bootstrap))
		}
		if (lost || late) && w.machines[c.Server.ID].dead {
			p.Dead(c.Server)
		}
	}
	p.Noted = nil
}

func (w *world) carryOutLate() {
	for _, l := range w.late {
		if !w.now.Before(l.at) {
			w.obey(l.to, &l.o, false)
		}
	}
	w.late = slices.DeleteFunc(w.late, func(l lateOrder) bool { return !w.now.Before(l.at) })
}

func (w *world) progress(m *machine, bootstrap bool) {
	if m.dead {
		return
	}
	if m.staging != "" && !w.now.Before(m.stagedAt) {
		m.Staged, m.staging = []ident.Model{m.staging}, ""
	}
	if m.Member == nil {
		return
	}
	key := catalog.ReplicaKey{Replica: m.Member.Replica, Epoch: m.Member.Epoch}
	if m.next != "" && !w.now.Before(m.readyAt) {
		m.Member.State, m.next = m.next, ""
		if w.ready[key] == nil {
			w.ready[key] = make(map[ident.Instance]bool)
		}
		w.ready[key][m.ID] = true
		if m.Member.State == site.Open {
			w.checkWhole(m, key)
		}
	}
	if m.Member.State == site.Closing {
		m.Member.State = site.Ready
	}
	w.stall(m, key, bootstrap)
}

// checkWhole notes a head that serves with a member that was never ready.
func (w *world) checkWhole(m *machine, key catalog.ReplicaKey) {
	model := w.config.Services["llm"].Engine.Model(m.Member.Model)
	if len(m.members) != model.Size {
		w.broken = append(w.broken, fmt.Sprintf("%s opens with %d of %d members", key.Replica, len(m.members), model.Size))
	}
	for _, id := range m.members {
		if !w.ready[key][id] {
			w.broken = append(w.broken, fmt.Sprintf("%s epoch %d opens and %s was never ready", key.Replica, key.Epoch, id))
		}
	}
}

// stall makes a head stand still while a member is missing, and broken later.
func (w *world) stall(m *machine, key catalog.ReplicaKey, _ bool) {
	if m.Member.Rank != 0 || m.Member.State != site.Open {
		m.stalled = time.Time{}
		return
	}
	whole := true
	for _, id := range m.members {
		o := w.machines[id]
		if o == nil || o.dead || o.Member == nil || o.Member.Replica != key.Replica || o.Member.Epoch != key.Epoch {
			whole = false
		}
	}
	switch {
	case whole:
		m.stalled = time.Time{}
	case m.stalled.IsZero():
		m.stalled = w.now
	case w.now.Sub(m.stalled) >= stallTime:
		m.Member.State = site.Broken
	}
}

// obey carries out an order.
func (w *world) obey(id ident.Instance, o *site.Order, bootstrap bool) site.OrderResult {
	m := w.machines[id]
	if m == nil || m.dead {
		return site.Unanswered
	}
	if o.Fence < m.fence {
		return site.Fenced
	}
	m.fence = o.Fence
	switch o.Operation {
	case site.Join:
		return w.join(m, o, bootstrap)
	case site.Serve:
		if m.Member == nil || m.Member.Replica != o.Replica || m.Member.Epoch != o.Epoch || m.Member.State != site.Ready {
			return site.Rejected
		}
		if m.next == "" {
			m.next, m.readyAt = site.Open, w.now.Add(formTime)
		}
		return site.Begun
	case site.Close:
		if m.Member != nil && m.Member.Replica == o.Replica && m.Member.Epoch == o.Epoch && m.Member.State == site.Open {
			m.Member.State = site.Closing
		}
		return site.Begun
	case site.Leave:
		if m.Member != nil && m.Member.Replica == o.Replica && m.Member.Epoch == o.Epoch {
			m.Member, m.next, m.members = nil, "", nil
		}
		return site.Done
	case site.Stage:
		if m.staging == "" && !m.HasStaged(o.Model) {
			m.staging, m.stagedAt = o.Model, w.now.Add(w.load(bootstrap))
		}
		return site.Begun
	}
	return site.Rejected
}

func (w *world) load(bootstrap bool) time.Duration {
	if bootstrap {
		return loadTime / 10
	}
	return loadTime
}

func (w *world) join(m *machine, o *site.Order, bootstrap bool) site.OrderResult {
	key := catalog.ReplicaKey{Replica: o.Replica, Epoch: o.Epoch}
	if list, known := w.lists[key]; known && !slices.Equal(list, o.Members) {
		w.broken = append(w.broken, fmt.Sprintf("%s epoch %d with two lists of members", o.Replica, o.Epoch))
	}
	w.lists[key] = o.Members
	if m.Member != nil && m.Member.Replica == o.Replica && m.Member.Epoch == o.Epoch {
		return site.Done
	}
	if o.Epoch < m.seen {
		return site.Rejected
	}
	w.checkAlone(m, o)
	m.seen = o.Epoch
	wait := w.load(bootstrap)
	switch {
	case m.last == o.Model:
		wait = rejoinTime
	case m.HasStaged(o.Model):
		wait = warmTime
	}
	m.last, m.Staged, m.staging = o.Model, []ident.Model{o.Model}, ""
	m.Member = &site.Membership{Replica: o.Replica, Epoch: o.Epoch, Rank: unit.Rank(slices.Index(o.Members, m.ID)), Model: o.Model, State: site.Joining}
	m.members, m.next, m.readyAt = o.Members, site.Ready, w.now.Add(wait)
	return site.Begun
}

// checkAlone notes a server that joins another replica while the head of its own
// may still serve.
func (w *world) checkAlone(m *machine, o *site.Order) {
	if m.Member == nil || m.Member.Replica == o.Replica || len(m.members) == 0 {
		return
	}
	head := w.machines[m.members[0]]
	if head == nil || head.dead || head.Member == nil || head.Member.Replica != m.Member.Replica || head.Member.Epoch != m.Member.Epoch {
		return
	}
	if head.Member.State == site.Open || head.Member.State == site.Closing {
		w.broken = append(w.broken, fmt.Sprintf("%s joins %s while %s still serves %s", m.ID, o.Replica, head.ID, m.Member.Replica))
	}
}

// serving counts the replicas of each model that are open and whole.
func (w *world) serving() map[ident.Model]int {
	count := make(map[ident.Model]int)
	for _, m := range w.machines {
		if m.dead || m.Member == nil || m.Member.Rank != 0 || m.Member.State != site.Open || !m.stalled.IsZero() {
			continue
		}
		count[m.Member.Model]++
	}
	return count
}
