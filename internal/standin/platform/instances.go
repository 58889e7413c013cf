package platform

import (
	"sort"
	"time"

	"github.com/valyala/fasthttp"

	"cuminbay/internal/domain/ident"
	"cuminbay/internal/domain/roster"
	"cuminbay/internal/standin/faultserver"
)

// instances is the list of instances with the earlier lists that its lag
// still shows.
type instances struct {
	lag      time.Duration
	versions []version
}

type version struct {
	since time.Time
	list  []roster.Instance
}

func newInstances(list []roster.Instance, lag time.Duration) instances {
	return instances{lag: lag, versions: []version{{list: append([]roster.Instance{}, list...)}}}
}

// shown returns the list as it was before the lag.
func (l *instances) shown(now time.Time) []roster.Instance {
	limit := now.Add(-l.lag)
	for len(l.versions) > 1 && !l.versions[1].since.After(limit) {
		l.versions = l.versions[1:]
	}
	return l.versions[0].list
}

// set replaces or, without an entry, removes an instance.
func (l *instances) set(now time.Time, id ident.Instance, entry *roster.Instance) {
	l.shown(now)
	var next []roster.Instance
	for _, i := range l.versions[len(l.versions)-1].list {
		if i.ID != id {
			next = append(next, i)
		}
	}
	if entry != nil {
		next = append(next, *entry)
	}
	sort.Slice(next, func(i, j int) bool { return next[i].ID < next[j].ID })
	l.versions = append(l.versions, version{since: now, list: next})
}

// SetInstance adds or replaces an instance of the list.
func (p *Platform) SetInstance(i roster.Instance) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.list.set(p.clk.Now(), i.ID, &i)
}

// RemoveInstance removes an instance from the list.
func (p *Platform) RemoveInstance(id ident.Instance) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.list.set(p.clk.Now(), id, nil)
}

func (p *Platform) answerInstances(ctx *fasthttp.RequestCtx, id string) {
	switch {
	case ctx.IsGet() && id == "":
		p.mu.Lock()
		list := append([]roster.Instance{}, p.list.shown(p.clk.Now())...)
		p.counts.Reads++
		p.mu.Unlock()
		faultserver.Answer(ctx, fasthttp.StatusOK, list)
	case ctx.IsPut() && id != "":
		var i roster.Instance
		err := faultserver.Decode(ctx, &i)
		if err == nil {
			i.ID = ident.Instance(id)
			err = i.Check()
		}
		if err != nil {
			faultserver.Refuse(ctx, fasthttp.StatusBadRequest, "%v", err)
			return
		}
		p.SetInstance(i)
		faultserver.Answer(ctx, fasthttp.StatusOK, i)
	case ctx.IsDelete() && id != "":
		p.RemoveInstance(ident.Instance(id))
		ctx.SetStatusCode(fasthttp.StatusNoContent)
	default:
		faultserver.Refuse(ctx, fasthttp.StatusNotFound, "no call %s %s", ctx.Method(), ctx.Path())
	}
}
