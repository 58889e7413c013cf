package work

// Sink takes an answer in order: Start once, then any number of Pieces, then
// End. End is called only for a whole answer. An error of a Sink means that
// the caller can't be written to any more.
type Sink interface {
	Start(Head) error
	Piece(Piece) error
	End(End) error
}
