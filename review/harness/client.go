package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// answer is what a caller received.
type answer struct {
	status int
	// complete says that the whole answer arrived.
	complete bool
	// stamp is the signature of the server.
	stamp string
	body  string
	err   error
}

func (a answer) String() string {
	text := fmt.Sprintf("status %d complete %t stamp %q bytes %d", a.status, a.complete, a.stamp, len(a.body))
	if a.err != nil {
		text += fmt.Sprintf(" error %q", a.err)
	}
	return text
}

// channel is a connection that a caller keeps open.
type channel struct {
	cluster *cluster
	daemon  *daemon
	conn    net.Conn
	reader  *bufio.Reader
}

func (c *cluster) open(d *daemon) (*channel, error) {
	conn, err := net.DialTimeout("tcp4", d.address(frontPort), time.Second)
	if err != nil {
		return nil, err
	}
	return &channel{cluster: c, daemon: d, conn: conn, reader: bufio.NewReader(conn)}, nil
}

// send sends a request and reads the answer.
func (ch *channel) send(id, path, body string, limit time.Duration) answer {
	record := ch.cluster.record
	record.printf("caller: sends %s %s to %s", id, path, ch.daemon.name)
	received := ch.exchange(id, path, body, limit)
	record.printf("caller: gets for %s: %s", id, received)
	return received
}

func (ch *channel) exchange(id, path, body string, limit time.Duration) answer {
	const slack = 2 * time.Second
	_ = ch.conn.SetDeadline(ch.cluster.clock.Now().Add(limit + slack))
	_, err := fmt.Fprintf(ch.conn, "POST %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nKey: %s\r\nModel: %s\r\nToken-Count: 100,140\r\nDeadline-Ms: %d\r\nContent-Length: %d\r\n\r\n%s",
		path, routeHost, id, callerKey, modelName, limit.Milliseconds(), len(body), body)
	if err != nil {
		return answer{err: err}
	}
	response, err := http.ReadResponse(ch.reader, nil)
	if err != nil {
		return answer{err: err}
	}
	raw, err := io.ReadAll(response.Body)
	return answer{status: response.StatusCode, complete: err == nil, stamp: response.Header.Get("Server-Stamp"), body: string(raw), err: err}
}

func (ch *channel) close() {
	_ = ch.conn.Close()
}

// sendOnce sends a request on a new connection.
func (c *cluster) sendOnce(d *daemon, id, path, body string, limit time.Duration) answer {
	ch, err := c.open(d)
	if err != nil {
		c.record.printf("caller: cannot connect to %s for %s: %v", d.name, id, err)
		return answer{err: err}
	}
	defer ch.close()
	return ch.send(id, path, body, limit)
}

// eventCount returns the number of complete events in a body.
func eventCount(body string) int {
	return strings.Count(body, "\n\n")
}
