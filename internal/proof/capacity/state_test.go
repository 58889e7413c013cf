package capacity

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"runtime"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"

	"cuminbay/internal/domain/ident"
	"cuminbay/internal/domain/report"
	instances "cuminbay/internal/domain/roster"
	"cuminbay/internal/endpoint/engine"
	"cuminbay/internal/kernel/clock"
	"cuminbay/internal/kernel/settings"
	"cuminbay/internal/platform/roster"
	"cuminbay/internal/route/table"
)

// reportHeap reports the live heap of the value that build returns.
func reportHeap(b *testing.B, build func() any) {
	liveBytes := func() uint64 {
		var m runtime.MemStats
		runtime.GC()
		runtime.GC()
		runtime.ReadMemStats(&m)
		return m.HeapAlloc
	}
	for b.Loop() {
		before := liveBytes()
		state := build()
		after := liveBytes()
		runtime.KeepAlive(state)
		b.ReportMetric(max(0, float64(after)-float64(before))/1000, "kB-heap")
	}
}

func tableEndpoints(n int) []table.Endpoint {
	var endpoints []table.Endpoint
	for i := range n {
		endpoints = append(endpoints, table.Endpoint{
			ID: ident.Endpoint(fmt.Sprintf("dc00-rack-%02d/chat-large/%d", i/4, i)), Protocol: table.Engine, DataCentre: "dc00",
			Address: "10.0.0.1:8000", Replica: ident.Replica(fmt.Sprint(i)), Epoch: 1, Version: "2026-01", Deployment: "chat-large",
			Models: []ident.Model{"chat-large"}, Limit: 100, ColdLimit: 2,
		})
	}
	return endpoints
}

// BenchmarkHeap reports the live heap of each part of a daemon's state, by its
// size.
func BenchmarkHeap(b *testing.B) {
	for name, build := range map[string]func() any{
		"member/daemons=9":       func() any { return memberViews(3, 3)[0] },
		"member/daemons=420":     func() any { return memberViews(7, 60)[0] },
		"member/daemons=840":     func() any { return memberViews(14, 60)[0] },
		"replica/replicas=16":    func() any { return trackers(3, 16)[0] },
		"replica/replicas=54":    func() any { return trackers(60, 54)[0] },
		"replica/replicas=108":   func() any { return trackers(60, 108)[0] },
		"config/records=100":     func() any { return configState(100) },
		"config/records=1000":    func() any { return configState(1000) },
		"config/records=10000":   func() any { return configState(10_000) },
		"table/endpoints=54":     func() any { return publishedTable(54) },
		"table/endpoints=840":    func() any { return publishedTable(840) },
		"table/endpoints=8400":   func() any { return publishedTable(8400) },
		"roster/instances=60":    func() any { return refreshedRoster(b, 60) },
		"roster/instances=12840": func() any { return refreshedRoster(b, 12_840) },
	} {
		b.Run(name, func(b *testing.B) { reportHeap(b, build) })
	}
}

func publishedTable(n int) *table.Publisher {
	p := table.NewPublisher()
	p.Publish(tableEndpoints(n))
	return p
}

// BenchmarkTable measures the publication of unchanged endpoints, and the rebuild
// of the table after one endpoint has changed.
func BenchmarkTable(b *testing.B) {
	for _, n := range []int{54, 840, 8400} {
		publisher, endpoints := publishedTable(n), tableEndpoints(n)
		b.Run(fmt.Sprintf("endpoints=%d/no-change", n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				publisher.Publish(endpoints)
			}
		})
		b.Run(fmt.Sprintf("endpoints=%d/one-change", n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				endpoints[0].Epoch++
				publisher.Publish(endpoints)
			}
		})
	}
}

// BenchmarkAttested measures the computation of the attested states, from which the
// routing table is built.
func BenchmarkAttested(b *testing.B) {
	for _, size := range [][2]int{{3, 16}, {60, 54}, {60, 108}} {
		tracker := trackers(size[0], size[1])[0]
		b.Run(fmt.Sprintf("daemons=%d/replicas=%d", size[0], size[1]), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				tracker.AttestedStates()
			}
		})
	}
}

// countingListener counts the bytes read and written on the connections that it
// accepts.
type countingListener struct {
	net.Listener
	bytes atomic.Int64
}

type countingConn struct {
	net.Conn
	listener *countingListener
}

func (l *countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return countingConn{c, l}, err
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.listener.bytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.listener.bytes.Add(int64(n))
	return n, err
}

// serveJSON starts an HTTP server on loopback that answers every request with the
// value as JSON.
func serveJSON(b testing.TB, value any) *countingListener {
	body, _ := json.Marshal(value)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	counting := &countingListener{Listener: listener}
	s := &http.Server{Handler: http.HandlerFunc(func(response http.ResponseWriter, _ *http.Request) {
		response.Header().Set("Content-Type", "application/json")
		_, _ = response.Write(body)
	}), ReadHeaderTimeout: time.Minute}
	go func() { _ = s.Serve(counting) }()
	b.Cleanup(func() { _ = s.Close() })
	return counting
}

// BenchmarkProbe measures one read of a member's report, including the work of the
// server, and reports the HTTP bytes of both directions.
func BenchmarkProbe(b *testing.B) {
	listener := serveJSON(b, report.Report{
		Instance: "dc00-rack-00-server-00", Incarnation: 1_790_000_000_000, Sequence: sequenceNumber, Ready: true, Running: 12, Waiting: 3,
		Membership: report.Membership{Replica: "dc00-rack-00/chat-large/0", Epoch: 12, Rank: 3, Model: "chat-large", Version: "2026-01"},
	})
	client := engine.New(engine.Settings{
		ReportPath: "/report", DialTimeout: settings.DurationOf(time.Second), Silence: settings.DurationOf(time.Second), Connections: 1, MaxReport: 1 << 20,
	}, clock.Real())
	b.ReportAllocs()
	for b.Loop() {
		if _, err := client.FetchReport(context.Background(), listener.Addr().String()); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(listener.bytes.Load())/float64(b.N), "wire-B/op")
}

// refreshedRoster returns the list after one read of n instances.
func refreshedRoster(b testing.TB, n int) *roster.List {
	listener := serveJSON(b, rosterInstances(n))
	l := roster.New(roster.Options{Clock: clockwork.NewFakeClock(), Log: zerolog.Nop(), URL: "http://" + listener.Addr().String(), Timeout: 10 * time.Second})
	l.Refresh()
	return l
}

func rosterInstances(n int) []instances.Instance {
	var list []instances.Instance
	for i := range n {
		dataCentre := fmt.Sprintf("dc%02d", i*14/n)
		list = append(list, instances.Instance{
			ID: ident.Instance(fmt.Sprintf("%s-server-%05d", dataCentre, i)), DataCentre: ident.DataCentre(dataCentre), Role: instances.Engine,
			State: instances.Live, Address: "10.0.0.1:8000", Domain: ident.FabricDomain(dataCentre + "-rack-00"), Accelerators: 2,
		})
	}
	return list
}

// BenchmarkRoster measures one read of an unchanged list of instances, including
// the work of the server.
func BenchmarkRoster(b *testing.B) {
	for _, n := range []int{60, 12_840} {
		listener := serveJSON(b, rosterInstances(n))
		l := roster.New(roster.Options{Clock: clockwork.NewFakeClock(), Log: zerolog.Nop(), URL: "http://" + listener.Addr().String(), Timeout: 10 * time.Second})
		b.Run(fmt.Sprintf("instances=%d", n), func(b *testing.B) {
			listener.bytes.Store(0)
			for b.Loop() {
				l.Refresh()
			}
			b.ReportMetric(float64(listener.bytes.Load())/float64(b.N), "wire-B/op")
		})
	}
}
