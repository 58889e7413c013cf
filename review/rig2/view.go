//go:build review2

package main

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"

	"cuminbay/internal/kernel/clock"
	"cuminbay/platform/standin"
)

// view is the store as one daemon sees it: the addresses of the servers are those of proxies of this
// daemon's own links, so that the links of one daemon can be cut.
type view struct {
	*httptest.Server
	rig *rig

	// silent says that calls get no answer, also those that wait.
	silent atomic.Bool

	mu    sync.Mutex
	links map[string]*standin.Proxy
	isCut bool
}

// newView returns a view with sound links.
func (r *rig) newView() *view {
	v := &view{rig: r, links: make(map[string]*standin.Proxy)}
	v.Server = httptest.NewServer(v)
	return v
}

// cut ends the links to all servers: channels are reset, and new ones are refused.
func (v *view) cut() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.isCut = true
	for _, link := range v.links {
		link.Close()
	}
}

// addressOf returns the address at which the daemon reaches the server.
func (v *view) addressOf(address string) string {
	v.mu.Lock()
	defer v.mu.Unlock()
	link := v.links[address]
	if link == nil {
		link = standin.NewProxy(clock.Real(), address)
		v.links[address] = link
		if v.isCut {
			link.Close()
		}
	}
	return link.Address()
}

// ServeHTTP passes a call on to the store, and replaces the addresses in its answer.
func (v *view) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if v.silent.Load() {
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	if !strings.HasSuffix(r.URL.Path, "/kv-range") && !strings.HasSuffix(r.URL.Path, "/kv-watch") {
		v.rig.store.ServeHTTP(w, r)
		return
	}
	answer := httptest.NewRecorder()
	v.rig.store.ServeHTTP(answer, r)
	if v.silent.Load() {
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	for name, values := range answer.Header() {
		w.Header()[name] = values
	}
	body := answer.Body.Bytes()
	if answer.Code == http.StatusOK {
		body = v.rewrite(body)
	}
	w.WriteHeader(answer.Code)
	_, _ = w.Write(body)
}

// rewrite replaces the servers' addresses in a page.
func (v *view) rewrite(body []byte) []byte {
	var page map[string]json.RawMessage
	if json.Unmarshal(body, &page) != nil {
		return body
	}
	for _, list := range []string{"items", "events"} {
		var items []map[string]any
		if page[list] == nil || json.Unmarshal(page[list], &items) != nil {
			continue
		}
		for _, item := range items {
			v.rewriteItem(item)
		}
		page[list], _ = json.Marshal(items)
	}
	rewritten, err := json.Marshal(page)
	if err != nil {
		return body
	}
	return rewritten
}

func (v *view) rewriteItem(item map[string]any) {
	key, _ := item["key"].(string)
	encoded, _ := item["value"].(string)
	if !strings.HasPrefix(key, "servers/") || encoded == "" {
		return
	}
	var raw []byte
	if json.Unmarshal([]byte(`"`+encoded+`"`), &raw) != nil {
		return
	}
	var entry map[string]any
	if json.Unmarshal(raw, &entry) != nil {
		return
	}
	if address, ok := entry["address"].(string); ok {
		entry["address"] = v.addressOf(address)
	}
	raw, _ = json.Marshal(entry)
	item["value"] = raw
}
