package table

import "context"

// stopSignal tells the requests in flight to an endpoint that it has stopped serving.
type stopSignal struct {
	ctx    context.Context
	cancel context.CancelFunc
}

// stopSignalOf returns the signal of the endpoint, which it shares with the same
// endpoint of the table before unless it was formed anew.
func stopSignalOf(before, e *Endpoint) *stopSignal {
	if before != nil && before.Epoch == e.Epoch && before.Address == e.Address {
		return before.stop
	}
	ctx, cancel := context.WithCancel(context.Background())
	return &stopSignal{ctx, cancel}
}

// OnStop calls f once if the endpoint stops serving other than by a planned
// stop. The function that it returns ends the wait.
func (e *Endpoint) OnStop(f func()) func() bool {
	if e.stop == nil {
		return func() bool { return true }
	}
	return context.AfterFunc(e.stop.ctx, f)
}

// SignalStopped says that the endpoint has stopped serving.
func (e *Endpoint) SignalStopped() {
	if e.stop != nil {
		e.stop.cancel()
	}
}
