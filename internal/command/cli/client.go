package cli

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/valyala/fasthttp"

	"cuminbay/internal/caller/httpcall"
	"cuminbay/internal/domain/code"
	"cuminbay/internal/kernel/http1"
)

// operatorFlags are the flags of the commands that call a daemon.
type operatorFlags struct {
	Address string `long:"at" env:"CUMINBAY_OPERATOR" default:"127.0.0.1:7800" value-name:"IP:PORT" description:"a daemon's operators' address"`
	JSON    bool   `long:"json" description:"print JSON"`
}

const (
	requestTimeout   = 10 * time.Second
	maxResponseBytes = 256 << 20
)

// sendRequest sends a request to the daemon and decodes the JSON response into
// result, which may be nil. An error of the daemon keeps its result code.
func (f operatorFlags) sendRequest(method, path string, body []byte, result any) error {
	client := fasthttp.Client{MaxResponseBodySize: maxResponseBytes, MaxIdemponentCallAttempts: 1, ConfigureClient: http1.ConfigureClient}
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI(fmt.Sprintf("http://%s%s", f.Address, path))
	request.Header.SetMethod(method)
	request.SetBodyRaw(body)
	if err := client.DoTimeout(request, response, requestTimeout); err != nil {
		return code.EndpointUnreachable.Wrap(err, "daemon at %s: request failed", f.Address)
	}
	if response.StatusCode() != fasthttp.StatusOK {
		return responseError(f.Address, response)
	}
	if result == nil {
		return nil
	}
	if err := json.Unmarshal(response.Body(), result); err != nil {
		return code.BadMessage.Wrap(err, "daemon at %s: cannot decode the response", f.Address)
	}
	return nil
}

func responseError(address string, response *fasthttp.Response) error {
	var body struct {
		Error httpcall.ErrorObject `json:"error"`
	}
	if err := json.Unmarshal(response.Body(), &body); err != nil || body.Error.Code == 0 {
		return code.Internal.New("daemon at %s: got status %d, expected 200 or an error with a result code", address, response.StatusCode())
	}
	return body.Error.Code.New("%s", body.Error.Message)
}

// printJSON prints a value as indented JSON.
func (s Streams) printJSON(v any) error {
	encoder := json.NewEncoder(s.Out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(v)
}

// printf prints to the output. Write errors are ignored, since the reader may
// close the output at any time.
func (s Streams) printf(format string, args ...any) {
	_, _ = fmt.Fprintf(s.Out, format, args...)
}
