package roster

import "cuminbay/internal/domain/ident"

// Peer is this daemon's information about another daemon.
type Peer struct {
	Instance   ident.Instance   `json:"instance"`
	DataCentre ident.DataCentre `json:"dataCentre"`
	// Address is the daemon's listener for peers, and CallerAddress its
	// listener for callers. An unknown address is empty.
	Address       string `json:"address"`
	CallerAddress string `json:"caller"`
	// Alive says that this daemon received a message about the peer recently.
	Alive bool `json:"alive"`
	// Leaving says that the daemon announced its stop, or that the platform is
	// about to remove it. A leaving daemon still answers peers, but the other
	// daemons no longer choose it as an owner.
	Leaving bool `json:"leaving"`
}
