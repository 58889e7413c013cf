package twirp

import (
	"context"
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"

	"cuminbay/internal/kernel/clock"
	"cuminbay/internal/standin/faultserver"
)

// TestMalformedStatus guards against an answer of another daemon that counts although its status is invalid.
func TestMalformedStatus(t *testing.T) {
	body, err := proto.Marshal(&Answer{Body: []byte("answer")})
	qt.Assert(t, err, qt.IsNil)
	tests := map[string]struct {
		status  string
		wantErr bool
	}{
		"valid":      {status: "200 OK"},
		"status 000": {status: "000 X", wantErr: true},
		"status 099": {status: "099 X", wantErr: true},
		"status 600": {status: "600 X", wantErr: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			server, err := faultserver.ServeRaw(fmt.Sprintf("HTTP/1.1 %s\r\nContent-Type: application/protobuf\r\nContent-Length: %d\r\n\r\n%s", test.status, len(body), body))
			c.Assert(err, qt.IsNil)
			defer server.Close() //nolint:errcheck // the end of the test
			clients := &clients{timeout: time.Second, maxBytes: 1 << 20}
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			defer cancel()
			answer, err := clients.clientFor(server.Addr().String()).Ask(ctx, &Question{Topic: "t"})
			c.Assert(err != nil, qt.Equals, test.wantErr, qt.Commentf("%v", err))
			if !test.wantErr {
				c.Check(string(answer.GetBody()), qt.Equals, "answer")
			}
		})
	}
}

// TestTruncatedAnswer guards against a part of another daemon's answer, which may be a valid message, that counts as
// the answer since the connection was reset while the question was being written.
func TestTruncatedAnswer(t *testing.T) {
	const repetitions = 12
	answer, err := proto.Marshal(&Answer{Body: []byte("answer")})
	qt.Assert(t, err, qt.IsNil)
	answers := map[string]string{
		"no length":           "HTTP/1.1 200 OK\r\nContent-Type: application/protobuf\r\n\r\n" + string(answer),
		"nothing of the body": "HTTP/1.1 200 OK\r\nContent-Type: application/protobuf\r\n\r\n",
		"HTTP/1.0":            "HTTP/1.0 200 OK\r\nContent-Type: application/protobuf\r\n\r\n" + string(answer),
		"truncated length":    "HTTP/1.1 200 OK\r\nContent-Type: application/protobuf\r\nContent-Length: 99\r\n\r\n" + string(answer),
		"truncated chunks":    "HTTP/1.1 200 OK\r\nContent-Type: application/protobuf\r\nTransfer-Encoding: chunked\r\n\r\n",
	}
	for name, raw := range answers {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			server, err := faultserver.Early{Clock: clock.Real(), Answer: raw, End: faultserver.Reset}.Listen()
			c.Assert(err, qt.IsNil)
			defer server.Close()
			for range repetitions {
				clients := &clients{timeout: time.Second, maxBytes: 1 << 20}
				got, err := clients.clientFor(server.Address()).Ask(context.Background(), &Question{Topic: "t", Body: make([]byte, 4<<20)})
				c.Check(err, qt.IsNotNil, qt.Commentf("%v", got))
			}
		})
	}
}
