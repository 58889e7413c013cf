package main

import (
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"time"

	"cuminbay/platform/standin"
)

// The platform's store lists in pages and keeps its history for a time. The project's stand-in does neither.
const (
	pageBytes       = 1 << 20
	pageItems       = 500
	historyTime     = 20 * time.Second
	historyInterval = 100 * time.Millisecond
)

// pagingStore is put before the stand-in of the store.
type pagingStore struct {
	*httptest.Server
	target string
	stop   chan struct{}

	mu sync.Mutex
	// revisions has the revisions of the last historyTime, the oldest first.
	revisions []revisionAt
	forgotten int64
}

type revisionAt struct {
	revision int64
	at       time.Time
}

func newPagingStore(s *standin.Store) *pagingStore {
	p := &pagingStore{target: s.Address(), stop: make(chan struct{})}
	p.Server = httptest.NewServer(p)
	go p.forget()
	return p
}

func (p *pagingStore) close() {
	close(p.stop)
	p.CloseClientConnections()
	p.Close()
}

// forget keeps the revision up to which the history is gone.
func (p *pagingStore) forget() {
	for {
		select {
		case <-p.stop:
			return
		case <-time.After(historyInterval):
		}
		var list struct {
			AsOf int64 `json:"as_of"`
		}
		response, err := http.Get("http://" + p.target + "/cuminbay/kv-range?prefix=no-such-key")
		if err != nil {
			continue
		}
		err = json.NewDecoder(response.Body).Decode(&list)
		_ = response.Body.Close()
		if err != nil {
			continue
		}
		p.mu.Lock()
		now := time.Now()
		p.revisions = append(p.revisions, revisionAt{list.AsOf, now})
		for now.Sub(p.revisions[0].at) > historyTime {
			p.forgotten, p.revisions = p.revisions[0].revision, p.revisions[1:]
		}
		p.mu.Unlock()
	}
}

// ServeHTTP passes a call on.
func (p *pagingStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if strings.HasSuffix(r.URL.Path, "/kv-watch") {
		after, _ := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
		p.mu.Lock()
		isGone := after < p.forgotten
		p.mu.Unlock()
		if isGone {
			w.WriteHeader(http.StatusGone)
			return
		}
	}
	request, err := http.NewRequestWithContext(r.Context(), r.Method, "http://"+p.target+r.URL.RequestURI(), r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	response, err := http.DefaultTransport.RoundTrip(request)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer response.Body.Close() //nolint:errcheck // it has been read
	for name, values := range response.Header {
		if name != "Content-Length" {
			w.Header()[name] = values
		}
	}
	if strings.HasSuffix(r.URL.Path, "/kv-range") && response.StatusCode == http.StatusOK {
		writePage(w, response.Body, r.URL.Query().Get("after"))
		return
	}
	w.WriteHeader(response.StatusCode)
	_, _ = io.Copy(w, response.Body)
}

// writePage writes the page of the list that begins after the key.
func writePage(w io.Writer, body io.Reader, after string) {
	var list struct {
		Items []json.RawMessage `json:"items"`
		More  bool              `json:"has_more"`
		AsOf  int64             `json:"as_of"`
	}
	if json.NewDecoder(body).Decode(&list) != nil {
		panic(http.ErrAbortHandler)
	}
	size, page := 0, []json.RawMessage{}
	for _, raw := range list.Items {
		var item struct {
			Key string `json:"key"`
		}
		if json.Unmarshal(raw, &item) != nil || item.Key <= after {
			continue
		}
		if len(page) == pageItems || len(page) > 0 && size+len(raw) > pageBytes {
			list.More = true
			break
		}
		size += len(raw)
		page = append(page, raw)
	}
	list.Items = page
	_ = json.NewEncoder(w).Encode(list)
}
