package forward

import "cuminbay/internal/fleet/catalog"

// startWork counts the prompt and the expected work of the attempt for the endpoint.
func (x *exchange) startWork(e *catalog.Endpoint) {
	x.unreadPrompt, x.attemptWork = x.request.PromptTokens, x.estimate.Work
	e.Load.WorkStarted(x.unreadPrompt, x.attemptWork)
}

// promptRead records that the endpoint has read the prompt, as an event has arrived.
func (x *exchange) promptRead(e *catalog.Endpoint) {
	if x.unreadPrompt > 0 {
		e.Load.PromptRead(x.unreadPrompt)
		x.unreadPrompt = 0
	}
}

// endWork removes the attempt from the load of the endpoint.
func (x *exchange) endWork(e *catalog.Endpoint) {
	x.promptRead(e)
	e.Load.WorkEnded(x.attemptWork)
}
