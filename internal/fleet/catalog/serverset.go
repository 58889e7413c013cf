package catalog

import (
	"github.com/cespare/xxhash/v2"

	"cuminbay/internal/domain/cluster"
	"cuminbay/internal/domain/ident"
)

// bucketCount is the number of buckets of a serverSet. In a fleet of 12,000 servers, a
// change copies a bucket of about 50.
const bucketCount = 256

// serverSet is an immutable set of servers. A changed set shares the buckets that did not
// change, so that the cost of a change hardly depends on the size of the set.
type serverSet struct {
	buckets [bucketCount]map[ident.Instance]*cluster.Server
}

func bucketOf(id ident.Instance) uint64 {
	return xxhash.Sum64String(string(id)) % bucketCount
}

func (s *serverSet) get(id ident.Instance) *cluster.Server {
	return s.buckets[bucketOf(id)][id]
}

func (s *serverSet) each(f func(*cluster.Server)) {
	for _, bucket := range s.buckets {
		for _, server := range bucket {
			f(server)
		}
	}
}

// serverSetEdit makes a changed copy of a set.
type serverSetEdit struct {
	serverSet
	copied [bucketCount]bool
}

func newServerSetEdit(from *serverSet) *serverSetEdit {
	return &serverSetEdit{serverSet: *from}
}

// put adds or replaces the server with the id, or removes it if the server is nil.
func (e *serverSetEdit) put(id ident.Instance, server *cluster.Server) {
	i := bucketOf(id)
	if !e.copied[i] {
		bucket := make(map[ident.Instance]*cluster.Server, len(e.buckets[i])+1)
		for id, s := range e.buckets[i] {
			bucket[id] = s
		}
		e.buckets[i], e.copied[i] = bucket, true
	}
	if server == nil {
		delete(e.buckets[i], id)
		return
	}
	e.buckets[i][id] = server
}

// set returns the changed set. The edit must not be used afterwards.
func (e *serverSetEdit) set() *serverSet {
	return &e.serverSet
}
