package admit

import (
	"time"

	"cuminbay/internal/domain/unit"
)

// Thresholds of the admission of streams. They follow from what callers need: an answer after the
// objective is worth a fraction of one in time, a caller gives a stream up after 2 s without an event,
// and a refused caller comes back once.
const (
	// resumeWait bounds the wait of an interrupted stream. Its caller has received events, and
	// gives up 2 s after the last one.
	resumeWait = time.Second
	// lateUtilisation is the share of the slots that late requests may use while others are short
	// of slots. The rest keeps the wait of requests that can still meet their objective short.
	lateUtilisation = 0.8
	// priorityReserve is the share of the slots that is reserved for a higher priority that is short of
	// slots: one of 20. Slots become free many times within an answer, so that one is enough for the
	// next request of the higher priority, and a larger reserve only costs the lower one.
	priorityReserve = 0.05
	// refusalFactor is the number by which the predicted wait has to exceed the caller's patience
	// before a request is refused without a wait. Refusing a request that could have been served
	// is worse than a wait in vain, so the prediction gets the benefit of the doubt.
	refusalFactor = 1.5
	// shortWaitDivisor sets the wait before the first event to a third of the objective. A request
	// that waits longer is late, and its answer takes the slot of one that would be in time;
	// refused, it comes back when there may be slots again.
	shortWaitDivisor = 3
)

// Class says how urgently a request needs a slot.
type Class int

// The classes. A Late request has missed its objective or is expected to miss it. A LeastShare
// request is the next one of a priority, organisation or size that got less than its least share of
// the slots. A Resumed request is a stream that was interrupted after it had reached its caller.
const (
	OnTime Class = iota
	Late
	LeastShare
	Resumed
)

var (
	classNames = [...]string{OnTime: "on-time", Late: "late", LeastShare: "least-share", Resumed: "resumed"}
	// classOrder has the order in which slots are offered to the classes, the highest number first.
	classOrder = [...]int{Late: 0, OnTime: 1, LeastShare: 2, Resumed: 3}
)

// String returns the name in logs and metrics.
func (c Class) String() string {
	return classNames[c]
}

// Request is what the decision depends on of a request.
type Request struct {
	Priority  unit.Priority
	Objective time.Duration
	// Timeout is the longest time that the route gives a caller.
	Timeout  time.Duration
	Received time.Time
	// Deadline is the time at which the caller gives up; at most Timeout after Received.
	Deadline time.Time
	// FirstEvent is the expected time from a free slot to the first event.
	FirstEvent time.Duration
	// IsStream says that the request is a stream of an engine. Others occupy slots for milliseconds, so
	// that neither their lateness nor a forecast changes their wait.
	IsStream bool
	// Resumed says that the caller has received a part of the answer, and MayHaveRun that the request
	// can't be refused as not run.
	Resumed    bool
	MayHaveRun bool
}

// FirstSent returns the time at which the caller first sent the request. A retry is a request of its
// own, which is known by its shorter remaining time.
func (r *Request) FirstSent() time.Time {
	return r.Deadline.Add(-r.Timeout)
}

// IsRetry reports whether the request has probably been refused before.
func (r *Request) IsRetry() bool {
	return r.IsStream && r.Received.Sub(r.FirstSent()) > r.Objective
}

// LatestStart returns the last time at which a slot meets the objective; zero for requests whose
// lateness changes nothing.
func (r *Request) LatestStart() time.Time {
	if !r.IsStream || r.Resumed {
		return time.Time{}
	}
	return r.FirstSent().Add(r.Objective - r.FirstEvent)
}

// Class returns the class of the request at the given time.
func (r *Request) Class(now time.Time) Class {
	latest := r.LatestStart()
	switch {
	case r.Resumed:
		return Resumed
	case latest.IsZero() || !now.After(latest):
		return OnTime
	}
	return Late
}

// waitEnd returns the time at which a wait without a slot ends.
func (r *Request) waitEnd(now time.Time) time.Time {
	var end time.Time
	switch {
	case r.Resumed:
		end = now.Add(resumeWait)
	case r.IsStream && !r.MayHaveRun && !r.IsRetry():
		// Counted from the first attempt, a caller that retries at once gains no further wait.
		end = r.FirstSent().Add(r.Objective / shortWaitDivisor)
	default:
		end = r.Received.Add(r.Objective / shortWaitDivisor)
	}
	if latest := r.Deadline.Add(-r.FirstEvent); end.After(latest) {
		return latest
	}
	return end
}

// Contention says which requests for the same endpoints were short of slots within the last
// seconds, here or at other daemons.
type Contention struct {
	// Priority is the highest priority of them, and Recent says that there were any.
	Priority unit.Priority
	Recent   bool
}

// Rules decide which requests get a slot, wait or are refused. They keep no state.
type Rules struct {
	// Fill is the share of a replica's slots that requests use.
	Fill float64
}

// Limit returns the share of a replica's slots that a request of the class and priority may use.
// Without contention, every class may use all slots, as none is to be left empty without need.
func (p Rules) Limit(class Class, priority unit.Priority, c Contention) float64 {
	switch {
	case class == Resumed:
		return max(p.Fill, 1)
	case class == LeastShare || !c.Recent:
		return p.Fill
	case class == Late:
		return min(p.Fill, lateUtilisation)
	case priority < c.Priority:
		return p.Fill - priorityReserve
	}
	return p.Fill
}

// State is what the decision depends on beside the request.
type State struct {
	Now time.Time
	// HasEndpoints says that any endpoint is in service.
	HasEndpoints bool
	// Standing is the place that the request would have in this daemon's queue.
	Standing Standing
	// Forecast predicts waits from the rate at which slots became free at this daemon.
	Forecast Forecast
}

// Action is what happens to a request that finds no free slot.
type Action int

// The actions.
const (
	Wait Action = iota
	Refuse
)

var actionNames = [...]string{Wait: "wait", Refuse: "refuse"}

// String returns the name in explanations.
func (a Action) String() string {
	return actionNames[a]
}

// Decision is the decision for one request.
type Decision struct {
	Action Action
	Class  Class
	// Until is the end of a wait.
	Until time.Time
	// Predicted is the expected wait, zero if unknown.
	Predicted time.Duration
}

// Decide decides for a request that finds no free slot whether it waits for one, or is refused without
// a wait since its caller would give up before. A request that may have run is never refused, nor one
// that was probably refused before, nor the only waiting one of its priority, organisation or size.
func (p Rules) Decide(r *Request, s *State) Decision {
	d := Decision{Action: Wait, Class: r.Class(s.Now), Until: r.waitEnd(s.Now)}
	if !r.IsStream || r.Resumed {
		return d
	}
	if !s.HasEndpoints {
		// There is no slot to forecast until a replica is formed, which takes longer than a caller waits.
		return d
	}
	if latest := r.LatestStart(); s.Standing.Alone && d.Until.Before(latest) {
		// A small organisation or a rare priority or size isn't refused for the many requests of others.
		d.Until = latest
	}
	if d.Class == OnTime {
		d.Predicted = s.Forecast.Wait(OnTime, s.Standing.AheadOnTime)
		// Without a request ahead, the request stays on time, so that the forecast learns from it.
		if s.Standing.AheadOnTime == 0 || s.Now.Add(d.Predicted).Before(r.LatestStart()) {
			return d
		}
		d.Class = Late
	}
	d.Predicted = s.Forecast.Wait(Late, s.Standing.AheadLate)
	patience := float64(d.Until.Sub(s.Now))
	if !r.MayHaveRun && !r.IsRetry() && !s.Standing.Alone && float64(d.Predicted) > refusalFactor*patience {
		d.Action = Refuse
	}
	return d
}
