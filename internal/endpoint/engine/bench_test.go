package engine

import (
	"context"
	"testing"

	"cuminbay/internal/domain/work"
)

// BenchmarkSend measures one streamed answer of two chunks over loopback.
func BenchmarkSend(b *testing.B) {
	cl, f := newTestClient(), startFakeEngine(b, scriptedAnswer{eventStream(replicaHeader, textEvent("a"), textEvent("b"), endMarker) + chunkedEnd, ""})
	defer cl.requestPool.CloseIdleConnections()
	e, r, sink := f.endpoint(), newChatRequest(true), new(recordingSink)
	for b.Loop() {
		if err := cl.Send(context.Background(), e, r, work.PartialAnswer{}, sink); err != nil {
			b.Fatal(err)
		}
	}
}
