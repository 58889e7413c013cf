package gossip

import "github.com/prometheus/client_golang/prometheus"

// Telemetry has the metrics of the exchange of datagrams.
type Telemetry struct {
	datagrams *prometheus.CounterVec
	bytes     *prometheus.CounterVec
	loadAge   *prometheus.GaugeVec

	sentDatagrams, sentBytes, receivedDatagrams, receivedBytes prometheus.Counter
}

// NewTelemetry returns the metrics after registering them.
func NewTelemetry(registry prometheus.Registerer) (*Telemetry, error) {
	direction := []string{"direction"}
	t := &Telemetry{
		datagrams: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "cuminbay_gossip_datagrams_total", Help: "Datagrams to and from other daemons.",
		}, direction),
		bytes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "cuminbay_gossip_bytes_total", Help: "Bytes of datagrams to and from other daemons, without UDP and IP headers.",
		}, direction),
		loadAge: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "cuminbay_gossip_load_age_seconds", Help: "Mean age of the known requests of the other daemons by their data centre.",
		}, []string{"datacentre"}),
	}
	t.sentDatagrams, t.sentBytes = t.datagrams.WithLabelValues("sent"), t.bytes.WithLabelValues("sent")
	t.receivedDatagrams, t.receivedBytes = t.datagrams.WithLabelValues("received"), t.bytes.WithLabelValues("received")
	for _, c := range []prometheus.Collector{t.datagrams, t.bytes, t.loadAge} {
		if err := registry.Register(c); err != nil {
			return nil, err
		}
	}
	return t, nil
}

func (t *Telemetry) sent(bytes int) {
	t.sentDatagrams.Inc()
	t.sentBytes.Add(float64(bytes))
}

func (t *Telemetry) received(bytes int) {
	t.receivedDatagrams.Inc()
	t.receivedBytes.Add(float64(bytes))
}
