package roster

import "cuminbay/internal/domain/ident"

// Peer is a daemon as others see it.
type Peer struct {
	Instance   ident.Instance   `json:"instance"`
	DataCentre ident.DataCentre `json:"dataCentre"`
	// Address is the peer listener, Caller the listener for callers; empty
	// if unknown.
	Address       string `json:"address"`
	CallerAddress string `json:"caller"`
	// Alive says that the daemon was heard of lately.
	Alive bool `json:"alive"`
	// Leaving says that the daemon or the roster announced its end. It
	// still answers peers but gets no duties.
	Leaving bool `json:"leaving"`
}
