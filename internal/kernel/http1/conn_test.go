package http1

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/valyala/fasthttp"

	"cuminbay/internal/kernel/clock"
	"cuminbay/internal/standin/faultserver"
)

// listenRaw starts a server that answers each request with the next of the bytes, and returns a checked client
// of it.
func listenRaw(c *qt.C, useTLS bool, answers ...string) *fasthttp.HostClient {
	next := make(chan string, len(answers))
	for _, a := range answers {
		next <- a
	}
	close(next)
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		conn, buffered, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer conn.Close() //nolint:errcheck // the client has left
		for answer := range next {
			_, _ = io.WriteString(conn, answer)
			if _, err := http.ReadRequest(buffered.Reader); err != nil {
				return
			}
		}
	}))
	client := &fasthttp.HostClient{Addr: server.Listener.Addr().String(), MaxIdemponentCallAttempts: 1}
	if useTLS {
		server.StartTLS()
		client.IsTLS = true
		client.TLSConfig = server.Client().Transport.(*http.Transport).TLSClientConfig.Clone()
		client.TLSConfig.NextProtos = nil
	} else {
		server.Start()
	}
	CheckResponses(client)
	c.Cleanup(server.Close)
	c.Cleanup(client.CloseIdleConnections)
	return client
}

// send sends a request and returns the answer as "status body".
func send(client *fasthttp.HostClient) (string, error) {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	scheme := "http"
	if client.IsTLS {
		scheme = "https"
	}
	request.SetRequestURI(scheme + "://" + client.Addr + "/")
	if err := client.DoTimeout(request, response, time.Second); err != nil {
		return "", err
	}
	return fmt.Sprintf("%d %s", response.StatusCode(), response.Body()), nil
}

// TestCheckResponses guards against a client that takes a malformed head for a response, and against a check
// that changes, delays or drops a response on a connection that is used again.
func TestCheckResponses(t *testing.T) {
	const (
		ok      = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
		chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"
	)
	long := strings.Repeat("b", 100_000)
	tests := map[string]struct {
		answers, want []string
		// wantErr is part of the error of the request after those that are answered.
		wantErr string
	}{
		"answers on one connection":    {answers: []string{ok, chunked, ok}, want: []string{"200 ok", "200 abc", "200 ok"}},
		"long body":                    {answers: []string{"HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n" + long, ok}, want: []string{"200 " + long, "200 ok"}},
		"no body":                      {answers: []string{"HTTP/1.1 204 X\r\n\r\n", ok}, want: []string{"204 ", "200 ok"}},
		"interim answers":              {answers: []string{"HTTP/1.1 103 X\r\n\r\nHTTP/1.1 100 X\r\n\r\n" + ok, ok}, want: []string{"200 ok", "200 ok"}},
		"body like a head":             {answers: []string{"HTTP/1.1 200 OK\r\nContent-Length: 17\r\n\r\nA B: c\r\n000 X\r\n\r\n", ok}, want: []string{"200 A B: c\r\n000 X\r\n\r\n", "200 ok"}},
		"extra answer":                 {answers: []string{ok + strings.Replace(ok, "ok", "no", 1), ok}, want: []string{"200 ok", "200 ok"}},
		"status 000":                   {answers: []string{"HTTP/1.1 000 X\r\nContent-Length: 2\r\n\r\nno"}, wantErr: ErrMalformedHead.Error()},
		"status 000 on one that works": {answers: []string{ok, "HTTP/1.1 000 X\r\nContent-Length: 2\r\n\r\nno"}, want: []string{"200 ok"}, wantErr: ErrMalformedHead.Error()},
		"status 000 after interim":     {answers: []string{"HTTP/1.1 103 X\r\n\r\nHTTP/1.1 000 X\r\nContent-Length: 2\r\n\r\nno"}, wantErr: ErrMalformedHead.Error()},
		"name with a blank":            {answers: []string{"HTTP/1.1 200 OK\r\nA B: c\r\nContent-Length: 2\r\n\r\nno"}, wantErr: ErrMalformedHead.Error()},
		"name with a blank, interim":   {answers: []string{"HTTP/1.1 103 X\r\nA B: c\r\n\r\n" + ok}, wantErr: ErrMalformedHead.Error()},
		"blank before the colon":       {answers: []string{"HTTP/1.1 200 OK\r\nContent-Length : 1\r\n\r\nno"}, wantErr: ErrMalformedHead.Error()},
		"truncated head":               {answers: []string{"HTTP/1.1 200 OK\r\nContent-"}, wantErr: "timeout"},
	}
	for name, test := range tests {
		for transport, useTLS := range map[string]bool{"TCP": false, "TLS": true} {
			t.Run(name+", "+transport, func(t *testing.T) {
				c := qt.New(t)
				client := listenRaw(c, useTLS, test.answers...)
				for _, want := range test.want {
					got, err := send(client)
					c.Assert(err, qt.IsNil)
					c.Check(got, qt.Equals, want)
				}
				if test.wantErr != "" {
					_, err := send(client)
					c.Check(err, qt.ErrorMatches, "(?s).*"+test.wantErr+".*")
				}
			})
		}
	}
}

// TestReset guards against a truncated response that counts as complete, since the server has reset the connection
// before it had read the request.
func TestReset(t *testing.T) {
	lengths := map[string]int{"4 KB": 4 << 10, "100 KB": 100 << 10, "4 MB": 4 << 20}
	const repetitions = 6
	for name, response := range faultserver.TruncatedResponses {
		for lengthName, length := range lengths {
			t.Run(name+", "+lengthName, func(t *testing.T) {
				t.Parallel()
				c := qt.New(t)
				server, err := faultserver.Early{Clock: clock.Real(), Answer: response, End: faultserver.Reset}.Listen()
				c.Assert(err, qt.IsNil)
				defer server.Close()
				for range repetitions {
					client := &fasthttp.HostClient{Addr: server.Address(), MaxIdemponentCallAttempts: 1}
					CheckResponses(client)
					request, response := new(fasthttp.Request), new(fasthttp.Response)
					request.SetRequestURI("http://" + server.Address() + "/")
					request.Header.SetMethod(fasthttp.MethodPost)
					request.SetBody(make([]byte, length))
					err := client.DoTimeout(request, response, 5*time.Second)
					c.Check(err, qt.IsNotNil, qt.Commentf("%q", response.Body()))
					c.Check(err, qt.Not(qt.Equals), fasthttp.ErrTimeout)
				}
			})
		}
	}
}
