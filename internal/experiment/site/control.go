package site

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/valyala/fasthttp"

	"cuminbay/internal/domain/ident"
	"cuminbay/internal/domain/report"
	"cuminbay/internal/domain/store"
	"cuminbay/internal/experiment/scenario"
)

// callTimeout limits each control call.
const callTimeout = 2 * time.Second

// controlClient makes the HTTP calls that observe and control the processes of a
// site.
type controlClient struct {
	http fasthttp.Client
}

func newControlClient() *controlClient {
	return &controlClient{fasthttp.Client{ReadTimeout: callTimeout, WriteTimeout: callTimeout, MaxIdleConnDuration: callTimeout}}
}

func (c *controlClient) close() { c.http.CloseIdleConnections() }

func (c *controlClient) get(url string, result any) error {
	return c.do(fasthttp.MethodGet, url, nil, result)
}

// do makes a call with a JSON body, unless body is nil, and decodes the JSON response
// into result, unless result is nil.
func (c *controlClient) do(method, url string, body, result any) error {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.Header.SetMethod(method)
	request.SetRequestURI(url)
	if body != nil {
		raw, err := json.Marshal(body)
		if err != nil {
			return err
		}
		request.SetBody(raw)
	}
	if err := c.http.DoTimeout(request, response, callTimeout); err != nil {
		return fmt.Errorf("%s %s: %w", method, url, err)
	}
	if status := response.StatusCode(); status >= fasthttp.StatusBadRequest {
		return fmt.Errorf("%s %s: got HTTP status %d, expected below 400; response %.200s", method, url, status, response.Body())
	}
	if result == nil {
		return nil
	}
	return json.Unmarshal(response.Body(), result)
}

// daemonStatus is the part of a daemon's answer to operators that this package uses.
type daemonStatus struct {
	Ready     bool                  `json:"ready"`
	Replicas  []report.ReplicaState `json:"replicas"`
	Endpoints []struct {
		Cold bool `json:"cold"`
	} `json:"endpoints"`
}

func (s *Site) fetchStatus(d *Daemon) (*daemonStatus, error) {
	result := new(daemonStatus)
	return result, s.control.get("http://"+d.OperatorAddress+"/status", result)
}

func (s *daemonStatus) servingReplicas() int {
	n := 0
	for i := range s.Replicas {
		if s.Replicas[i].Serving {
			n++
		}
	}
	return n
}

func (s *daemonStatus) anyCold() bool {
	for _, e := range s.Endpoints {
		if e.Cold {
			return true
		}
	}
	return false
}

// writeRecords writes the records of the organisations, the deployments and the
// service directly to the platform, so that daemons read them when they start.
func (s *Site) writeRecords(ctx context.Context) error {
	records := map[string]any{
		"service/" + string(s.Spec.Service): map[string]any{
			"schema": 1, "prefix": "/" + string(s.Spec.Service), "methods": []string{"GET", "POST"}, "atMostOnce": []string{"POST"},
		},
	}
	for _, o := range scenario.Organisations(0) {
		records["organisation/"+string(o.Name)] = map[string]any{"schema": 2, "keys": []string{o.APIKey}, "weight": 1 + 10*o.RequestShare}
	}
	for _, d := range s.Spec.Deployments {
		placements := make([]map[string]any, 0, len(s.Spec.DataCentres))
		for _, c := range s.Spec.DataCentres {
			placements = append(placements, map[string]any{"dataCentre": c.Name, "replicas": d.Replicas})
		}
		records["deployment/"+string(d.Name)] = map[string]any{
			"schema": 2, "model": d.Model, "version": "1", "size": d.ServersPerReplica, "priority": d.Priority, "placements": placements,
		}
	}
	for name, record := range records {
		raw, err := json.Marshal(record)
		if err != nil {
			return err
		}
		put := map[string][]byte{"key": []byte(string(store.RecordPrefix) + name), "value": raw}
		if err := s.await(ctx, name, func() error {
			return s.control.do(fasthttp.MethodPost, "http://"+s.platform+"/v3/kv/put", put, nil)
		}); err != nil {
			return err
		}
	}
	return nil
}

// operatorDaemons returns the daemons in the order in which operator calls try them.
// The daemons of the avoided data centre come last, as they may be busy with its
// drain.
func (s *Site) operatorDaemons(avoid ident.DataCentre) []Daemon {
	var preferred, avoided []Daemon
	for _, d := range s.daemons {
		if d.DataCentre == avoid {
			avoided = append(avoided, d)
		} else {
			preferred = append(preferred, d)
		}
	}
	return append(preferred, avoided...)
}
