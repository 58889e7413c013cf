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

func instanceID(s string) ident.Instance            { return ident.Instance(s) }
func dataCentreID(s string) ident.DataCentre        { return ident.DataCentre(s) }
func fabricDomain(centre string) ident.FabricDomain { return ident.FabricDomain(centre + "-fabric") }

// client opens a connection for each call, so that a fault ends with it.
var client = &http.Client{Timeout: 20 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

// callJSON sends JSON and decodes the JSON of the answer.
func callJSON(method, url string, body, answer any) error {
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
		return fmt.Errorf("%s %s: status %d", method, url, response.StatusCode)
	}
	if answer == nil {
		return nil
	}
	return json.NewDecoder(response.Body).Decode(answer)
}

// setFaults sets the faults of a stand-in.
func (s *cluster) setFaults(p *process, f any) {
	s.t.Helper()
	if err := callJSON(http.MethodPut, p.address+"/faults", f, nil); err != nil {
		s.t.Fatal(err)
	}
}

// answer is what a caller got.
type answer struct {
	status int
	text   string
	// complete says that the answer says of itself that it is complete.
	complete  bool
	callError httpcall.ErrorObject
	// err is set if the connection failed.
	err      error
	duration time.Duration
}

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
		a.callError = *e.Error
	}
	for _, c := range e.Choices {
		a.text += c.Delta.Content + c.Message.Content + c.Text
	}
}

// send sends a caller's request and reads the whole answer.
func (d *daemon) send(method, path, body string, header ...string) (a answer) {
	sentAt := clk.Now()
	defer func() { a.duration = clk.Since(sentAt) }()
	request, err := http.NewRequest(method, "http://"+d.caller+path, strings.NewReader(body))
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
		a.complete = a.err == nil && a.callError.Code == 0
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

// chat asks for a streamed answer.
func (d *daemon) chat(prompt string) answer {
	body := fmt.Sprintf(`{"model":"assistant","stream":true,"messages":[{"role":"user","content":%q}]}`, prompt)
	return d.send(http.MethodPost, "/v1/chat/completions", body)
}

// expectedText is the undisturbed answer to a chat's prompt.
func expectedText(prompt string) string {
	return engine.AnswerText("user\n"+prompt+"\n", answerTokens)
}

// checkWhole reports how the answer differs from the undisturbed one.
func (a *answer) checkWhole(prompt string) error {
	if a.complete && a.callError.Code == 0 && a.text == expectedText(prompt) {
		return nil
	}
	return fmt.Errorf("prompt %q: not whole: status %d, %d of %d bytes, done %t, fault %+v, error %s",
		prompt, a.status, len(a.text), len(expectedText(prompt)), a.complete, a.callError, fmt.Sprint(a.err))
}

// checkWholeOrCode reports whether the answer is neither whole nor ends in a numbered
// error after a right beginning.
func (a *answer) checkWholeOrCode(prompt string) error {
	if a.err == nil && !a.complete && a.callError.Code != 0 && a.callError.Code != code.Internal && strings.HasPrefix(expectedText(prompt), a.text) {
		return nil
	}
	return a.checkWhole(prompt)
}

// reserve makes an at-most-once call of the ledger.
func (d *daemon) reserve(key string) answer {
	return d.send(http.MethodPost, "/ledger/reserve", `{"lot":"`+key+`"}`, "Idempotency-Key", key)
}

func (d *daemon) status() (*operator.Status, error) {
	var status operator.Status
	err := callJSON(http.MethodGet, d.operator+"/status", nil, &status)
	return &status, err
}

// servedReplicas returns the members of each replica that the daemon routes to.
func (d *daemon) servedReplicas() (map[ident.Replica][]ident.Instance, error) {
	status, err := d.status()
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

// awaitServing waits until every daemon routes to the warm replicas and the
// services of its data centre.
func (s *cluster) awaitServing(replicas, services int) {
	s.t.Helper()
	s.await(20*time.Second, "every daemon routes to everything", func() error {
		for _, d := range s.daemons {
			status, err := d.status()
			if err != nil {
				return err
			}
			var engines, ledgers int
			for _, e := range status.Endpoints {
				switch {
				case e.Protocol == table.Service:
					ledgers++
				case e.Protocol == table.Engine && !e.Cold:
					engines++
				}
			}
			if engines < replicas || ledgers < services {
				return fmt.Errorf("%s has %d warm replicas and %d services", d.name, engines, ledgers)
			}
		}
		return nil
	})
}

// engineReport reads an engine's own report.
func (s *cluster) engineReport(instance ident.Instance) (*report.Report, error) {
	var r report.Report
	err := callJSON(http.MethodGet, s.engines[string(instance)].address+"/report", nil, &r)
	return &r, err
}

// runCommand runs the program and returns its exit code and output.
func runCommand(stdin string, args ...string) (int, string) {
	cmd := exec.Command(filepath.Join(binaries, "cuminbay"), args...)
	cmd.Stdin = strings.NewReader(stdin)
	out, _ := cmd.CombinedOutput()
	return cmd.ProcessState.ExitCode(), string(out)
}

// writeRecord writes a record through a daemon and waits until all have it.
func (s *cluster) writeRecord(d *daemon, name, raw string) {
	s.t.Helper()
	s.await(15*time.Second, "record "+name, func() error {
		if exit, out := runCommand(raw, "record", "write", name, "--at", d.operator, "--wait", "12s"); exit != 0 {
			return fmt.Errorf("exit code %d: %s", exit, out)
		}
		return nil
	})
}

func (s *cluster) writeRecords(l clusterSize) {
	s.t.Helper()
	s.writeRecord(s.daemons[0], "organisation/demo", `{"schema":2,"keys":["demo-key"]}`)
	if l.services > 0 {
		s.writeRecord(s.daemons[0], "service/ledger", `{"schema":1,"prefix":"/ledger","methods":["GET","POST"],"atMostOnce":["POST"]}`)
	}
	if l.replicas > 0 {
		centres, _ := json.Marshal(l.centres)
		s.writeRecord(s.daemons[0], "deployment/assistant", fmt.Sprintf(
			`{"schema":1,"model":"assistant","version":"1","size":2,"dataCentres":%s,"replicas":%d}`, centres, l.replicas))
	}
}
