package work

// Sink receives one answer: one call of Start, then the chunks in order, then
// one call of End. An error of a method means that the caller can't receive the
// answer; the sender stops and returns the error.
type Sink interface {
	Start(Head) error
	Chunk(Chunk) error
	End(End) error
}
