// Package unit holds the named types of quantities and counters. The compiler
// rejects a quantity of one unit where another unit is expected.
package unit

type (
	// Tokens counts tokens of prompts and answers.
	Tokens int64
	// Bytes counts bytes.
	Bytes int64
	// Requests counts requests, in flight or in total.
	Requests int64
	// RequestRate counts requests a second.
	RequestRate float64
	// Slots measures offered load: the slots that it occupies on average in replicas a quarter of whose slots are in use, in
	// slot-seconds a second.
	Slots float64
	// Epoch numbers the assignments of a fabric domain. It is the fencing token
	// of orders: an order with a lower epoch is out of date.
	Epoch uint64
	// Incarnation numbers the starts of a process; a later start has a higher
	// number.
	Incarnation uint64
	// Sequence numbers the messages of one incarnation of a process.
	Sequence uint64
	// Rank is the position of an instance within its replica, from 0.
	Rank int
	// Accelerators counts accelerators.
	Accelerators int
	// Priority orders requests and deployments; a higher priority has precedence.
	Priority int
	// Weight is a share relative to other weights.
	Weight float64
)
