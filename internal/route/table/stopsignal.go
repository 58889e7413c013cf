package table

import "context"

// stopSignal notifies requests in flight to an endpoint that the endpoint has stopped
// serving.
type stopSignal struct {
	ctx    context.Context
	cancel context.CancelFunc
}

// stopSignalOf returns the stop signal of the endpoint. The endpoint shares the signal
// of its predecessor in the last table unless its replica was formed again.
func stopSignalOf(previous, e *Endpoint) *stopSignal {
	if previous != nil && previous.Epoch == e.Epoch && previous.Address == e.Address {
		return previous.stopSignal
	}
	ctx, cancel := context.WithCancel(context.Background())
	return &stopSignal{ctx, cancel}
}

// OnStop calls f in a goroutine if the endpoint stops serving without a planned removal.
// The returned function unregisters f, and returns false if f was already called.
func (e *Endpoint) OnStop(f func()) func() bool {
	if e.stopSignal == nil {
		return func() bool { return true }
	}
	return context.AfterFunc(e.stopSignal.ctx, f)
}

// SignalStopped notifies the requests in flight that the endpoint has stopped serving.
func (e *Endpoint) SignalStopped() {
	if e.stopSignal != nil {
		e.stopSignal.cancel()
	}
}
