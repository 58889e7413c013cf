//go:build review2

package main

import (
	"bufio"
	"cmp"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// call is a request of a consumer.
type call struct {
	id, path, body string
	fields         []string
	deadline       time.Duration
	// key is the consumer's key, apiKey if it is empty.
	key string
}

// result is what a consumer got.
type result struct {
	status   int
	header   http.Header
	body     string
	complete bool
	err      error
}

const apiKey = "n2ctnfzs989anu6wsjnb"

// encode returns the request in its wire form.
func (c *call) encode() string {
	var b strings.Builder
	fmt.Fprintf(&b, "POST %s HTTP/1.1\r\nHost: yard.example\r\nRequest-Id: %s\r\nKey: %s\r\nDeadline-Ms: %d\r\n", c.path, c.id, cmp.Or(c.key, apiKey), c.deadline.Milliseconds())
	for _, f := range c.fields {
		b.WriteString(f + "\r\n")
	}
	fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n%s", len(c.body), c.body)
	return b.String()
}

// channel is a consumer's kept channel to a daemon.
type channel struct {
	net.Conn
	reader *bufio.Reader
}

func openChannel(d *daemon) (*channel, error) {
	c, err := net.DialTimeout("tcp4", d.front, time.Second)
	if err != nil {
		return nil, err
	}
	return &channel{c, bufio.NewReader(c)}, nil
}

// send sends the request and reads the answer. It leaves the channel open.
func (c *channel) send(r *call) result {
	_ = c.SetDeadline(time.Now().Add(r.deadline + time.Second))
	if _, err := io.WriteString(c, r.encode()); err != nil {
		return result{err: err}
	}
	return c.read()
}

// read reads an answer.
func (c *channel) read() result {
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return result{err: err}
	}
	raw, err := io.ReadAll(response.Body)
	return result{status: response.StatusCode, header: response.Header, body: string(raw), complete: err == nil, err: err}
}

// sendOnce sends the request on a channel of its own.
func (d *daemon) sendOnce(r *call) result {
	c, err := openChannel(d)
	if err != nil {
		return result{err: err}
	}
	defer c.Close() //nolint:errcheck // the answer has been read
	return c.send(r)
}

// tally counts results by what the consumer saw.
type tally struct {
	mu     sync.Mutex
	counts map[string]int
}

func (t *tally) add(r result) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.counts == nil {
		t.counts = make(map[string]int)
	}
	name := fmt.Sprint(r.status)
	switch {
	case r.status == 0:
		name = "no answer"
	case !r.complete:
		name += " incomplete"
	}
	t.counts[name]++
}

func (t *tally) String() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return fmt.Sprint(t.counts)
}
