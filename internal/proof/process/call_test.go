package process_test

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os/exec"
	"path/filepath"
	"strings"
	"time"

	"cuminbay/internal/caller/httpcall"
	"cuminbay/internal/caller/operator"
	"cuminbay/internal/domain/code"
	"cuminbay/internal/domain/ident"
	"cuminbay/internal/domain/report"
	"cuminbay/internal/route/table"
	"cuminbay/internal/standin/engine"
)

func instanceID(s string) ident.Instance     { return ident.Instance(s) }
func dataCentreID(s string) ident.DataCentre { return ident.DataCentre(s) }
func fabricDomain(dataCentre string) ident.FabricDomain {
	return ident.FabricDomain(dataCentre + "-fabric")
}

// client opens a new connection for each call, so that a stalled or broken
// connection does not affect later calls.
var client = &http.Client{Timeout: 20 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

// callJSON sends body as JSON and decodes the JSON response into result, unless
// result is nil.
func callJSON(method, url string, body, result any) error {
	raw, err := json.Marshal(body)
	if err != nil {
		return err
	}
	request, err := http.NewRequest(method, "http://"+url, bytes.NewReader(raw))
	if err != nil {
		return err
	}
	response, err := client.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("%s %s: HTTP status %d, want 200", method, url, response.StatusCode)
	}
	if result == nil {
		return nil
	}
	return json.NewDecoder(response.Body).Decode(result)
}

// setFaults sets the faults of the simulated platform, an engine or a service.
func (s *cluster) setFaults(p *process, f any) {
	s.t.Helper()
	if err := callJSON(http.MethodPut, p.address+"/faults", f, nil); err != nil {
		s.t.Fatal(err)
	}
}

// answer is what a caller received for one request.
type answer struct {
	status int
	text   string
	// complete says that the answer ended with its end marker or, if it was not
	// a stream, carried no error.
	complete    bool
	errorObject httpcall.ErrorObject
	// err is set if the connection failed or the answer could not be decoded.
	err      error
	duration time.Duration
}

// responseEvent is a stream event, or the whole body of an answer that is not a
// stream.
type responseEvent struct {
	Error   *httpcall.ErrorObject `json:"error"`
	Choices []struct {
		Delta, Message struct{ Content string }
		Text           string
	} `json:"choices"`
}

func (a *answer) addEvent(raw []byte) {
	var e responseEvent
	if a.err = json.Unmarshal(raw, &e); a.err != nil {
		return
	}
	if e.Error != nil {
		a.errorObject = *e.Error
	}
	for _, c := range e.Choices {
		a.text += c.Delta.Content + c.Message.Content + c.Text
	}
}

// send sends a request as a caller would and reads the answer to its end. header
// holds alternating names and values.
func (d *daemon) send(method, path, body string, header ...string) (a answer) {
	sentAt := clk.Now()
	defer func() { a.duration = clk.Since(sentAt) }()
	request, err := http.NewRequest(method, "http://"+d.callerAddress+path, strings.NewReader(body))
	if err != nil {
		return answer{err: err}
	}
	request.Header.Set("Authorization", "Bearer demo-key")
	for i := 0; i < len(header); i += 2 {
		request.Header.Set(header[i], header[i+1])
	}
	response, err := client.Do(request)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	a.status = response.StatusCode
	if response.Header.Get("Content-Type") != "text/event-stream" {
		raw, err := io.ReadAll(response.Body)
		if a.err = err; err == nil && len(raw) > 0 && raw[0] == '{' {
			a.addEvent(raw)
		}
		a.complete = a.err == nil && a.errorObject.Code == 0
		return a
	}
	scanner := bufio.NewScanner(response.Body)
	for a.err == nil && scanner.Scan() {
		data, found := strings.CutPrefix(scanner.Text(), "data: ")
		switch {
		case !found:
		case data == "[DONE]":
			a.complete = true
		default:
			a.addEvent([]byte(data))
		}
	}
	if a.err == nil {
		a.err = scanner.Err()
	}
	return a
}

// chat sends a chat completion request with a streamed answer.
func (d *daemon) chat(prompt string) answer {
	body := fmt.Sprintf(`{"model":"assistant","stream":true,"messages":[{"role":"user","content":%q}]}`, prompt)
	return d.send(http.MethodPost, "/v1/chat/completions", body)
}

// expectedText returns the complete answer to the prompt of a chat.
func expectedText(prompt string) string {
	return engine.AnswerText("user\n"+prompt+"\n", answerTokens)
}

// checkComplete returns an error if the answer differs from the complete answer.
func (a *answer) checkComplete(prompt string) error {
	if a.complete && a.errorObject.Code == 0 && a.text == expectedText(prompt) {
		return nil
	}
	return fmt.Errorf("prompt %q: answer differs from the expected one: HTTP status %d, %d of %d bytes, complete %t, error object %+v, error %s",
		prompt, a.status, len(a.text), len(expectedText(prompt)), a.complete, a.errorObject, fmt.Sprint(a.err))
}

// checkCompleteOrCode returns an error unless the answer is complete, or is a
// correct beginning that ends with a result code other than internal.
func (a *answer) checkCompleteOrCode(prompt string) error {
	if a.err == nil && !a.complete && a.errorObject.Code != 0 && a.errorObject.Code != code.Internal && strings.HasPrefix(expectedText(prompt), a.text) {
		return nil
	}
	return a.checkComplete(prompt)
}

// reserve makes an at-most-once call to the ledger service.
func (d *daemon) reserve(key string) answer {
	return d.send(http.MethodPost, "/ledger/reserve", `{"lot":"`+key+`"}`, "Idempotency-Key", key)
}

// fetchStatus returns the daemon's answer to operators.
func (d *daemon) fetchStatus() (*operator.Status, error) {
	var status operator.Status
	err := callJSON(http.MethodGet, d.operatorAddress+"/status", nil, &status)
	return &status, err
}

// servedReplicas returns the replicas that the daemon routes to, with their
// members.
func (d *daemon) servedReplicas() (map[ident.Replica][]ident.Instance, error) {
	status, err := d.fetchStatus()
	if err != nil {
		return nil, err
	}
	members := make(map[ident.Replica][]ident.Instance)
	for _, e := range status.Endpoints {
		if e.Protocol != table.Engine {
			continue
		}
		members[ident.Replica(e.ID)] = nil
		for i := range status.Replicas {
			if r := &status.Replicas[i]; r.Replica == ident.Replica(e.ID) {
				members[r.Replica] = r.Members
			}
		}
	}
	return members, nil
}

// awaitServing waits until every daemon routes to at least the given numbers of
// warm replicas and of services.
func (s *cluster) awaitServing(replicas, services int) {
	s.t.Helper()
	s.await(20*time.Second, "every daemon routes to all replicas and services", func() error {
		for _, d := range s.daemons {
			status, err := d.fetchStatus()
			if err != nil {
				return err
			}
			var warmReplicas, serviceInstances int
			for _, e := range status.Endpoints {
				switch {
				case e.Protocol == table.Service:
					serviceInstances++
				case e.Protocol == table.Engine && !e.Cold:
					warmReplicas++
				}
			}
			if warmReplicas < replicas || serviceInstances < services {
				return fmt.Errorf("%s routes to %d warm replicas and %d services", d.name, warmReplicas, serviceInstances)
			}
		}
		return nil
	})
}

// fetchEngineReport reads the report of an engine directly from the engine.
func (s *cluster) fetchEngineReport(instance ident.Instance) (*report.Report, error) {
	var r report.Report
	err := callJSON(http.MethodGet, s.engines[string(instance)].address+"/report", nil, &r)
	return &r, err
}

// runCommand runs the cuminbay program and returns its exit code and output.
func runCommand(stdin string, args ...string) (int, string) {
	cmd := exec.Command(filepath.Join(binaryDir, "cuminbay"), args...)
	cmd.Stdin = strings.NewReader(stdin)
	output, _ := cmd.CombinedOutput()
	return cmd.ProcessState.ExitCode(), string(output)
}

// writeRecord writes a record through a daemon and waits until all daemons have
// the record.
func (s *cluster) writeRecord(d *daemon, name, raw string) {
	s.t.Helper()
	s.await(15*time.Second, "all daemons have the record "+name, func() error {
		if exitCode, output := runCommand(raw, "record", "write", name, "--at", d.operatorAddress, "--wait", "12s"); exitCode != 0 {
			return fmt.Errorf("exit code %d: %s", exitCode, output)
		}
		return nil
	})
}

// writeRecords writes the organisation, service and deployment records that the
// tests use.
func (s *cluster) writeRecords(size clusterSize) {
	s.t.Helper()
	s.writeRecord(s.daemons[0], "organisation/demo", `{"schema":2,"keys":["demo-key"]}`)
	if size.services > 0 {
		s.writeRecord(s.daemons[0], "service/ledger", `{"schema":1,"prefix":"/ledger","methods":["GET","POST"],"atMostOnce":["POST"]}`)
	}
	if size.replicas > 0 {
		dataCentres, _ := json.Marshal(size.dataCentres)
		s.writeRecord(s.daemons[0], "deployment/assistant", fmt.Sprintf(
			`{"schema":1,"model":"assistant","version":"1","size":2,"dataCentres":%s,"replicas":%d}`, dataCentres, size.replicas))
	}
}
