package platform

import (
	"sort"
	"time"

	"github.com/valyala/fasthttp"

	"cuminbay/internal/domain/ident"
	"cuminbay/internal/domain/roster"
	"cuminbay/internal/standin/faultserver"
)

// instanceHistory holds the list of instances with its earlier versions, so that
// readers can be shown the list with a lag.
type instanceHistory struct {
	lag time.Duration
	// versions are in order of time; the last version is the current list.
	versions []listVersion
}

// listVersion is the list of instances from a point in time until the next version.
type listVersion struct {
	since time.Time
	list  []roster.Instance
}

func newInstanceHistory(list []roster.Instance, lag time.Duration) instanceHistory {
	return instanceHistory{lag: lag, versions: []listVersion{{list: append([]roster.Instance{}, list...)}}}
}

// laggedList returns the list as of lag before now, and drops older versions.
func (h *instanceHistory) laggedList(now time.Time) []roster.Instance {
	cutoff := now.Add(-h.lag)
	for len(h.versions) > 1 && !h.versions[1].since.After(cutoff) {
		h.versions = h.versions[1:]
	}
	return h.versions[0].list
}

// setInstance adds or replaces the instance with the id, or removes it if instance
// is nil.
func (h *instanceHistory) setInstance(now time.Time, id ident.Instance, instance *roster.Instance) {
	h.laggedList(now)
	var next []roster.Instance
	for _, i := range h.versions[len(h.versions)-1].list {
		if i.ID != id {
			next = append(next, i)
		}
	}
	if instance != nil {
		next = append(next, *instance)
	}
	sort.Slice(next, func(i, j int) bool { return next[i].ID < next[j].ID })
	h.versions = append(h.versions, listVersion{since: now, list: next})
}

// SetInstance adds an instance to the list or replaces the instance with the same id.
func (p *Platform) SetInstance(i roster.Instance) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.instances.setInstance(p.clk.Now(), i.ID, &i)
}

// RemoveInstance removes an instance from the list.
func (p *Platform) RemoveInstance(id ident.Instance) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.instances.setInstance(p.clk.Now(), id, nil)
}

func (p *Platform) handleInstances(ctx *fasthttp.RequestCtx, id string) {
	switch {
	case ctx.IsGet() && id == "":
		p.mu.Lock()
		list := append([]roster.Instance{}, p.instances.laggedList(p.clk.Now())...)
		p.counts.Reads++
		p.mu.Unlock()
		faultserver.WriteJSON(ctx, fasthttp.StatusOK, list)
	case ctx.IsPut() && id != "":
		var i roster.Instance
		err := faultserver.DecodeBody(ctx, &i)
		if err == nil {
			i.ID = ident.Instance(id)
			err = i.Check()
		}
		if err != nil {
			faultserver.WriteError(ctx, fasthttp.StatusBadRequest, "%v", err)
			return
		}
		p.SetInstance(i)
		faultserver.WriteJSON(ctx, fasthttp.StatusOK, i)
	case ctx.IsDelete() && id != "":
		p.RemoveInstance(ident.Instance(id))
		ctx.SetStatusCode(fasthttp.StatusNoContent)
	default:
		faultserver.WriteError(ctx, fasthttp.StatusNotFound, "unknown call %s %s", ctx.Method(), ctx.Path())
	}
}
