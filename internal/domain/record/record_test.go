package record_test

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"cuminbay/internal/domain/code"
	"cuminbay/internal/domain/record"
)

func ExampleDecode() {
	raw := []byte(`{"schema":1,"model":"tea","version":"3","dataCentres":["a","b"],"replicas":2,"size":4}`)
	r, err := record.Decode(record.Name{Kind: record.DeploymentKind, Name: "tea"}, raw)
	if err != nil {
		fmt.Println(err)
		return
	}
	fmt.Println(r.Deployment.Placements)
	// Output: [{a 2} {b 2}]
}

// TestSchemas guards against the two schema versions of a record decoding to
// different values.
func TestSchemas(t *testing.T) {
	tests := map[string]struct {
		name   string
		v1, v2 string
	}{
		"deployment": {
			name: "deployment/tea",
			v1:   `{"schema":1,"model":"tea","version":"3","dataCentres":["a","b"],"replicas":2,"size":4}`,
			v2:   `{"schema":2,"model":"tea","version":"3","placements":[{"dataCentre":"a","replicas":2},{"dataCentre":"b","replicas":2}],"size":4}`,
		},
		"organisation": {
			name: "organisation/o",
			v1:   `{"schema":1,"key":"k"}`,
			v2:   `{"schema":2,"keys":["k"]}`,
		},
		"service": {
			name: "service/ledger",
			v1:   `{"schema":1,"prefix":"/ledger","methods":["GET","POST"],"atMostOnce":["POST"]}`,
			v2:   `{"schema":2,"prefix":"/ledger","calls":[{"method":"GET","path":"/*"},{"method":"POST","path":"/*","atMostOnce":true}]}`,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			n, err := record.ParseName(test.name)
			c.Assert(err, qt.IsNil)
			first, err := record.Decode(n, []byte(test.v1))
			c.Assert(err, qt.IsNil)
			second, err := record.Decode(n, []byte(test.v2))
			c.Assert(err, qt.IsNil)
			c.Assert(first.Schema, qt.Equals, 1)
			c.Assert(second.Schema, qt.Equals, 2)
			second.Schema = 1
			c.Assert(first, qt.DeepEquals, second)
		})
	}
}

// TestBadRecords guards against accepting an invalid record, and against an
// error that does not name the path of the invalid value.
func TestBadRecords(t *testing.T) {
	tests := map[string]struct {
		name, raw string
		code      code.Code
		errorText string
	}{
		"not JSON":                               {"deployment/x", `{`, code.BadRecord, "deployment/x: not a JSON object"},
		"no schema":                              {"deployment/x", `{}`, code.UnknownSchema, "deployment/x.schema: 0"},
		"later schema":                           {"deployment/x", `{"schema":3}`, code.UnknownSchema, "deployment/x.schema: 3"},
		"unknown field":                          {"deployment/x", `{"schema":1,"modle":"m"}`, code.BadRecord, `unknown field "modle"`},
		"field of schema 2":                      {"deployment/x", `{"schema":1,"placements":[]}`, code.BadRecord, `unknown field "placements"`},
		"missing model":                          {"deployment/x", `{"schema":1}`, code.BadRecord, "deployment/x.model"},
		"no size":                                {"deployment/x", `{"schema":1,"model":"m","version":"1","dataCentres":["a"],"replicas":1}`, code.BadRecord, ".size: 0"},
		"data centre listed twice":               {"deployment/x", `{"schema":1,"model":"m","version":"1","dataCentres":["a","a"],"replicas":1,"size":1}`, code.BadRecord, ".dataCentres[1]"},
		"wrong type":                             {"organisation/x", `{"schema":1,"key":7}`, code.BadRecord, "organisation/x.key: got a JSON number"},
		"no key":                                 {"organisation/x", `{"schema":2,"keys":[]}`, code.BadRecord, ".keys"},
		"prefix of the model protocol":           {"service/x", `{"schema":1,"prefix":"/v1/x","methods":["GET"]}`, code.BadRecord, ".prefix"},
		"unknown method":                         {"service/x", `{"schema":1,"prefix":"/x","methods":["get"]}`, code.BadRecord, ".methods[0]: method"},
		"at-most-once method that is not served": {"service/x", `{"schema":1,"prefix":"/x","methods":["GET"],"atMostOnce":["POST"]}`, code.BadRecord, ".atMostOnce[0]"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			n, err := record.ParseName(test.name)
			c.Assert(err, qt.IsNil)
			_, err = record.Decode(n, []byte(test.raw))
			c.Assert(code.Of(err), qt.Equals, test.code)
			c.Assert(err.Error(), qt.Contains, test.errorText)
		})
	}
}

// FuzzDecode guards against a record that makes the decoder panic.
func FuzzDecode(f *testing.F) {
	f.Add("deployment/x", []byte(`{"schema":1,"model":"m","version":"1","dataCentres":["a"],"replicas":1,"size":1}`))
	f.Add("service/x", []byte(`{"schema":2,"prefix":"/x","calls":[{"method":"GET","path":"/*"}]}`))
	f.Fuzz(func(t *testing.T, name string, raw []byte) {
		n, err := record.ParseName(name)
		if err != nil {
			return
		}
		r, err := record.Decode(n, raw)
		if (r == nil) == (err == nil) {
			t.Fatalf("got record %v and error %v, expected exactly one of them", r, err)
		}
	})
}
