package gossip

import (
	"encoding/json"

	"cuminbay/internal/domain/code"
	"cuminbay/internal/domain/ident"
	"cuminbay/internal/domain/unit"
)

// message is what a daemon tells the others, in one datagram.
type message struct {
	From       ident.Instance   `json:"from"`
	DataCentre ident.DataCentre `json:"centre"`
	Boot       unit.Boot        `json:"boot"`
	Sequence   unit.Sequence    `json:"seq"`
	// Revision is that of the sender's copy of the platform's keys.
	Revision unit.Revision `json:"rev"`
	// Age is the time since the platform confirmed that copy, in milliseconds.
	Age int64 `json:"age"`
	// Load has the sender's requests in flight by endpoint.
	Load map[endpoint]unit.Requests `json:"load,omitempty"`
	// Failed has the endpoints that failed lately.
	Failed []failure `json:"failed,omitempty"`
}

// endpoint names a server's part in a replica, so that what is said of one
// epoch doesn't count for the next.
type endpoint string

// failure is an endpoint that failed.
type failure struct {
	Endpoint endpoint `json:"endpoint"`
	// Age is the time since the failure in milliseconds.
	Age int64 `json:"age"`
}

// decodeMessage reads a datagram.
//
// Errors carry code.BadMessage.
func decodeMessage(raw []byte) (*message, error) {
	m := new(message)
	if err := json.Unmarshal(raw, m); err != nil {
		return nil, code.BadMessage.Wrap(err, "datagram of %d bytes", len(raw))
	}
	if err := ident.CheckName(string(m.From)); err != nil {
		return nil, code.BadMessage.Wrap(err, "from")
	}
	for e, n := range m.Load {
		if n < 0 {
			return nil, code.BadMessage.New("load of %s: %d is negative", e, n)
		}
	}
	return m, nil
}
