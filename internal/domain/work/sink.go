package work

// Sink takes one answer: Start once, then pieces in order, then End once. An
// error from it says that the caller can't be written to; the sender stops and
// returns it.
type Sink interface {
	Start(Head) error
	Chunk(Chunk) error
	End(End) error
}
