package engine

import (
	"context"
	"testing"

	"cuminbay/internal/domain/work"
)

// BenchmarkSend measures one streamed answer of two pieces over loopback.
func BenchmarkSend(b *testing.B) {
	cl, f := client(), serve(b, script{events(echo, text("a"), text("b"), done) + chunkedEnd, ""})
	defer cl.stream.CloseIdleConnections()
	e, r, a := f.endpoint(), chat(true), new(answer)
	for b.Loop() {
		if err := cl.Send(context.Background(), e, r, work.PartialAnswer{}, a); err != nil {
			b.Fatal(err)
		}
	}
}
