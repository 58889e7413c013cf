package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// One server of three spoils every spoiledEach-th of its answers, which is a share of 0.02.
const (
	spoiledEach     = 50
	spoilTime       = 30 * time.Second
	spoilInterval   = 25 * time.Millisecond
	clientsAtOnce   = 3
	callerAllowance = 4 * time.Second
)

// spoiler writes a spoiled answer in place of the sound one, whose body it gets.
type spoiler func(c net.Conn, id, stamp, body string)

// spoilSome makes the server answer some requests with the spoiler. The request has run.
func spoilSome(spoil spoiler, spoiled *spoiledAnswers) behaviour {
	var count atomic.Int64
	return func(s *plainServer, w http.ResponseWriter, r *http.Request, body []byte) bool {
		if count.Add(1)%spoiledEach != 0 {
			return false
		}
		time.Sleep(s.work)
		id := r.Header.Get("Request-Id")
		takeOver(w, func(c net.Conn) bool {
			spoil(c, id, s.stampOf(id), soundBody(r, body))
			return false
		})
		spoiled.add(id)
		s.lab.line("server %s has spoiled its answer to %s", s.id, id)
		return true
	}
}

// spoiledAnswers has the requests whose answers were spoiled.
type spoiledAnswers struct {
	mu  sync.Mutex
	ids map[string]bool
}

func (s *spoiledAnswers) add(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ids == nil {
		s.ids = make(map[string]bool)
	}
	s.ids[id] = true
}

func (s *spoiledAnswers) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.ids)
}

// channel is a client's connection, which is kept for many requests.
type channel struct {
	lab    *lab
	daemon *daemon
	conn   net.Conn
	reader *bufio.Reader
}

func (c *channel) close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// request sends a request on the kept connection and returns the final answer, which is the first one
// with a status of 200 or above (RFC 9110, section 15.2), and the heads with a lower one before it.
func (c *channel) request(id, path, body string) (a answer, interim []int) {
	start := time.Now()
	defer func() {
		a.took = time.Since(start)
		c.lab.line("client %s at %s: %s -> %s, interim %v", id, c.daemon.name, path, a, interim)
	}()
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp", c.daemon.front, time.Second)
		if err != nil {
			return answer{err: err}, nil
		}
		c.conn, c.reader = conn, bufio.NewReader(conn)
	}
	_ = c.conn.SetDeadline(time.Now().Add(callerAllowance))
	_, err := fmt.Fprintf(c.conn, "POST %s HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: %s\r\nKey: key-a\r\nDeadline-Ms: %d\r\nContent-Length: %d\r\n\r\n%s",
		path, id, callerAllowance.Milliseconds(), len(body), body)
	if err != nil {
		c.close()
		return answer{err: err}, nil
	}
	for {
		head, err := readHead(c.reader)
		if err != nil {
			c.close()
			return answer{err: err}, interim
		}
		if head.StatusCode < http.StatusOK {
			interim = append(interim, head.StatusCode)
			continue
		}
		raw, err := io.ReadAll(head.Body)
		if err != nil || head.Close {
			c.close()
		}
		return answer{status: head.StatusCode, header: head.Header, body: string(raw), complete: err == nil, err: err}, interim
	}
}

// readHead reads the head of an answer. One below 200 has no body.
func readHead(r *bufio.Reader) (*http.Response, error) {
	line, err := r.Peek(len("HTTP/1.1 1"))
	if err != nil {
		return nil, err
	}
	if !strings.HasPrefix(string(line), "HTTP/1.1 1") {
		return http.ReadResponse(r, &http.Request{Method: http.MethodPost})
	}
	head := new(http.Response)
	for first := true; ; first = false {
		line, err := r.ReadString('\n')
		switch {
		case err != nil:
			return nil, err
		case first:
			head.StatusCode, err = strconv.Atoi(line[len("HTTP/1.1 "):len("HTTP/1.1 100")])
			if err != nil {
				return nil, err
			}
		case strings.TrimSpace(line) == "":
			return head, nil
		}
	}
}

// playHeads sends requests on kept connections, and counts the answers that break the rule.
func playHeads(recordPath string, trouble bool) (int, error) {
	l, err := newLab(recordPath, options{daemons: 3, memory: 284, files: 4100, plainServers: 3})
	if err != nil {
		return cantRun, err
	}
	defer l.close()
	if err := l.waitServing(); err != nil {
		return cantRun, err
	}
	spoiled := new(spoiledAnswers)
	if trouble {
		l.plain[0].setAct(spoilSome(spoilHead(), spoiled))
	}
	var clients sync.WaitGroup
	var sent, breaks atomic.Int64
	for i := range clientsAtOnce {
		clients.Go(func() {
			c := &channel{lab: l, daemon: l.daemons[i%len(l.daemons)]}
			defer c.close()
			paths := [...]string{"/check/lot", "/hold/lot"}
			for n, start := 0, time.Now(); time.Since(start) < spoilTime; n++ {
				id, path := fmt.Sprintf("c%d-%d", i, n), paths[n%len(paths)]
				body := fmt.Sprintf("chest %d", n)
				a, interim := c.request(id, path, body)
				sent.Add(1)
				if reason := judgeAnswer(path, id, body, a, interim); reason != "" {
					breaks.Add(1)
					l.line("BROKEN %s: %s", id, reason)
				}
				time.Sleep(spoilInterval)
			}
		})
	}
	clients.Wait()
	l.line("%d requests, %d answers spoiled, the rule was broken for %d", sent.Load(), spoiled.count(), breaks.Load())
	if breaks.Load() > 0 {
		return broken, nil
	}
	return held, nil
}

// spoilHead spoils the head of the answer, in turn in two ways: an answer in chunks gets the version HTTP/1.0
// in its status line, and an answer with a length the status 101, which no request has asked for.
func spoilHead() spoiler {
	var count atomic.Int64
	return func(c net.Conn, id, stamp, body string) {
		if count.Add(1)%2 == 0 {
			_, _ = fmt.Fprintf(c, "HTTP/1.0 200 OK\r\nRequest-Id: %s\r\nServer-Stamp: %s\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", id, stamp, len(body), body)
			return
		}
		_, _ = fmt.Fprintf(c, "HTTP/1.1 101 Switching Protocols\r\nRequest-Id: %s\r\nServer-Stamp: %s\r\nContent-Length: %d\r\n\r\n%s", id, stamp, len(body), body)
	}
}

// judgeAnswer returns why the rule was broken by what a client got, empty if it wasn't.
func judgeAnswer(path, id, body string, a answer, interim []int) string {
	if len(interim) > 0 {
		return fmt.Sprintf("got %v without a request to switch, and then %s", interim, a)
	}
	if want := bodyOf(id, path, body); a.status == http.StatusOK && a.complete && a.body != want {
		return fmt.Sprintf("a complete answer 200 has %d bytes %q..., the server's body has %d bytes %q...", len(a.body), excerpt(a.body), len(want), excerpt(want))
	}
	return ""
}
