package feed

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"cuminbay/internal/domain/store"
)

// earlierBuildsFile has the commits that testdata has directories of, with files that the code of the
// commit has written: the encodings of the values below. Those of the current code are written to
// testdata/NAME by GOLDEN=NAME go test -run TestEarlier ./internal/peer/feed
const earlierBuildsFile = "../../../platform/testdata/earlier-builds.txt"

const goldenAge = 1234 * time.Millisecond

var (
	goldenRequests = map[string]copyRequest{
		"request-list.json":    {List: true},
		"request-changes.json": {After: 1<<40 | 7, Wait: 250, Age: 40},
	}
	goldenResponses = map[string]*copyResponse{
		"response-list.bin": {
			Entries: []store.Entry{
				{Key: "cuminbay/planner", Value: []byte("front-0"), Revision: 1<<40 | 5, Lease: 3},
				{Key: "op/config", Value: bytes.Repeat([]byte("a route; "), 1000), Revision: 1<<40 | 6},
			},
			Revision: 1<<40 | 7,
		},
		"response-changes.bin": {
			Changes:  []store.Change{{Entry: store.Entry{Key: "servers/i", Value: []byte("{}"), Revision: 8}}, {Entry: store.Entry{Key: "servers/j", Revision: 9}, Removed: true}},
			Revision: 9,
		},
		"response-compacted.bin": {Revision: 9, Compacted: true},
	}
)

func writeGolden(c *qt.C, name string) {
	directory := filepath.Join("testdata", name)
	c.Assert(os.MkdirAll(directory, 0o755), qt.IsNil)
	for file, request := range goldenRequests {
		raw, err := json.Marshal(request)
		c.Assert(err, qt.IsNil)
		c.Assert(os.WriteFile(filepath.Join(directory, file), raw, 0o644), qt.IsNil)
	}
	for file, response := range goldenResponses {
		payload, err := encodePayload(response)
		c.Assert(err, qt.IsNil)
		c.Assert(os.WriteFile(filepath.Join(directory, file), appendAge(payload, goldenAge), 0o644), qt.IsNil)
	}
}

// TestEarlierMessages guards against a question or an answer of an earlier build that the current
// code reads differently, and against a question that lacks a field that an earlier build reads.
func TestEarlierMessages(t *testing.T) {
	if name := os.Getenv("GOLDEN"); name != "" {
		writeGolden(qt.New(t), name)
	}
	commits, err := os.ReadFile(earlierBuildsFile)
	qt.New(t).Assert(err, qt.IsNil)
	for _, commit := range strings.Fields(string(commits)) {
		for file, want := range goldenRequests {
			t.Run(commit+"/"+file, func(t *testing.T) { checkRequest(qt.New(t), filepath.Join("testdata", commit, file), want) })
		}
		for file, want := range goldenResponses {
			t.Run(commit+"/"+file, func(t *testing.T) {
				c := qt.New(t)
				raw, err := os.ReadFile(filepath.Join("testdata", commit, file))
				c.Assert(err, qt.IsNil)
				got, age, err := decodeAnswer(raw)
				c.Assert(err, qt.IsNil)
				c.Check(got, qt.DeepEquals, want)
				c.Check(age, qt.Equals, goldenAge)
			})
		}
	}
}

// checkRequest checks that the earlier request is decoded, and that the current one has all of its
// fields with the same values.
func checkRequest(c *qt.C, path string, want copyRequest) {
	raw, err := os.ReadFile(path)
	c.Assert(err, qt.IsNil)
	var got copyRequest
	c.Assert(json.Unmarshal(raw, &got), qt.IsNil)
	c.Check(got, qt.Equals, want)
	encoded, err := json.Marshal(want)
	c.Assert(err, qt.IsNil)
	var earlier, current map[string]any
	c.Assert(json.Unmarshal(raw, &earlier), qt.IsNil)
	c.Assert(json.Unmarshal(encoded, &current), qt.IsNil)
	for field, value := range earlier {
		c.Check(current[field], qt.DeepEquals, value, qt.Commentf("field %s", field))
	}
}
