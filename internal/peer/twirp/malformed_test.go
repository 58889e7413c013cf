package twirp

import (
	"context"
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"

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
