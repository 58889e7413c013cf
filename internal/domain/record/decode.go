package record

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strings"

	"cuminbay/internal/domain/code"
	"cuminbay/internal/domain/ident"
	"cuminbay/internal/domain/unit"
)

// The known schema versions.
const (
	SchemaV1 = 1
	SchemaV2 = 2
)

// Defaults of the values that a record may omit.
const (
	defaultColdLimit unit.Requests = 2
	defaultLimit     unit.Requests = 64
	defaultWeight    unit.Weight   = 1
)

// commonFields are the fields that all records have.
type commonFields struct {
	Schema    int  `json:"schema"`
	Withdrawn bool `json:"withdrawn,omitempty"`
}

// Decode decodes and checks a record.
//
// Errors carry code.BadRecord or code.UnknownSchema and name the path of the
// invalid value.
func Decode(n Name, raw []byte) (*Record, error) {
	var h commonFields
	if err := json.Unmarshal(raw, &h); err != nil {
		return nil, code.BadRecord.New("%s: not a JSON object: %s", n, err)
	}
	if h.Schema != SchemaV1 && h.Schema != SchemaV2 {
		return nil, code.UnknownSchema.New("%s.schema: %d is not one of 1, 2", n, h.Schema)
	}
	r := &Record{Name: n, Schema: h.Schema, Withdrawn: h.Withdrawn}
	if h.Withdrawn {
		return r, nil
	}
	if err := r.decodeBody(raw); err != nil {
		return nil, err
	}
	return r, nil
}

func (r *Record) decodeBody(raw []byte) error {
	switch r.Kind {
	case DeploymentKind:
		if r.Schema == SchemaV1 {
			return r.decodeSchema(raw, &deploymentV1{})
		}
		return r.decodeSchema(raw, &deploymentV2{})
	case OrganisationKind:
		if r.Schema == SchemaV1 {
			return r.decodeSchema(raw, &organisationV1{})
		}
		return r.decodeSchema(raw, &organisationV2{})
	case ServiceKind:
		if r.Schema == SchemaV1 {
			return r.decodeSchema(raw, &serviceV1{})
		}
		return r.decodeSchema(raw, &serviceV2{})
	default:
		return code.BadRecord.New("%s: unknown kind", r.Name)
	}
}

// recordSchema is the body of a record in one kind and schema version.
type recordSchema interface {
	// populate checks the fields and sets the domain type of the record.
	populate(r *Record) error
}

func (r *Record) decodeSchema(raw []byte, w recordSchema) error {
	decoder := json.NewDecoder(bytes.NewReader(raw))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(w); err != nil {
		return code.BadRecord.New("%s%s", r.Name, describeDecodeError(err))
	}
	if err := w.populate(r); err != nil {
		return code.BadRecord.New("%s.%s", r.Name, err)
	}
	return nil
}

func describeDecodeError(err error) string {
	var typeErr *json.UnmarshalTypeError
	if errors.As(err, &typeErr) {
		return fmt.Sprintf(".%s: got a JSON %s, expected %s", typeErr.Field, typeErr.Value, typeErr.Type)
	}
	return ": " + strings.TrimPrefix(err.Error(), "json: ")
}

// deploymentFields are the fields that both schema versions of a deployment
// have.
type deploymentFields struct {
	commonFields
	Model         ident.Model          `json:"model"`
	Version       ident.Version        `json:"version"`
	Adapters      []ident.Adapter      `json:"adapters,omitempty"`
	Organisations []ident.Organisation `json:"organisations,omitempty"`
	Size          int                  `json:"size"`
	ColdLimit     unit.Requests        `json:"coldLimit,omitempty"`
	Limit         unit.Requests        `json:"limit,omitempty"`
}

// deploymentV1 has one number of replicas for every data centre.
type deploymentV1 struct {
	deploymentFields
	DataCentres []ident.DataCentre `json:"dataCentres"`
	Replicas    int                `json:"replicas"`
}

// deploymentV2 has a number of replicas for each data centre, and a priority.
type deploymentV2 struct {
	deploymentFields
	Placements []Placement   `json:"placements"`
	Priority   unit.Priority `json:"priority,omitempty"`
}

func (w *deploymentV1) populate(r *Record) error {
	placements := make([]Placement, 0, len(w.DataCentres))
	for _, d := range w.DataCentres {
		placements = append(placements, Placement{d, w.Replicas})
	}
	return w.setDeployment(r, "dataCentres", placements, 0)
}

func (w *deploymentV2) populate(r *Record) error {
	return w.setDeployment(r, "placements", w.Placements, w.Priority)
}

func (w *deploymentFields) setDeployment(r *Record, field string, placements []Placement, priority unit.Priority) error {
	if err := w.check(); err != nil {
		return err
	}
	if err := checkPlacements(field, placements); err != nil {
		return err
	}
	r.Deployment = &Deployment{
		Name:          ident.Deployment(r.Name.Name),
		Model:         w.Model,
		Version:       w.Version,
		Adapters:      w.Adapters,
		Organisations: w.Organisations,
		Placements:    placements,
		Size:          w.Size,
		Priority:      priority,
		ColdLimit:     orDefault(w.ColdLimit, defaultColdLimit),
		Limit:         orDefault(w.Limit, defaultLimit),
	}
	return nil
}

func (w *deploymentFields) check() error {
	if err := ident.CheckName(string(w.Model)); err != nil {
		return fmt.Errorf("model: %w", err)
	}
	if err := ident.CheckName(string(w.Version)); err != nil {
		return fmt.Errorf("version: %w", err)
	}
	for i, a := range w.Adapters {
		if err := ident.CheckName(string(a)); err != nil {
			return fmt.Errorf("adapters[%d]: %w", i, err)
		}
	}
	const maxSize = 1024
	if w.Size < 1 || w.Size > maxSize {
		return fmt.Errorf("size: %d is not 1 to %d", w.Size, maxSize)
	}
	return checkLimits(w.Organisations, w.ColdLimit, w.Limit)
}

func checkLimits(organisations []ident.Organisation, coldLimit, limit unit.Requests) error {
	if err := checkOrganisations(organisations); err != nil {
		return err
	}
	if coldLimit < 0 {
		return fmt.Errorf("coldLimit: %d is negative", coldLimit)
	}
	if limit < 0 {
		return fmt.Errorf("limit: %d is negative", limit)
	}
	return nil
}

func checkPlacements(field string, placements []Placement) error {
	if len(placements) == 0 {
		return fmt.Errorf("%s: empty", field)
	}
	seen := make(map[ident.DataCentre]bool)
	for i, p := range placements {
		if err := ident.CheckName(string(p.DataCentre)); err != nil {
			return fmt.Errorf("%s[%d]: %w", field, i, err)
		}
		if seen[p.DataCentre] {
			return fmt.Errorf("%s[%d]: data centre %s is listed twice", field, i, p.DataCentre)
		}
		seen[p.DataCentre] = true
		if p.Replicas < 0 {
			return fmt.Errorf("%s[%d]: replicas %d is negative", field, i, p.Replicas)
		}
	}
	return nil
}

func checkOrganisations(organisations []ident.Organisation) error {
	for i, o := range organisations {
		if err := ident.CheckName(string(o)); err != nil {
			return fmt.Errorf("organisations[%d]: %w", i, err)
		}
	}
	return nil
}

func orDefault(v, fallback unit.Requests) unit.Requests {
	if v == 0 {
		return fallback
	}
	return v
}

// organisationFields are the fields that both schema versions of an
// organisation have.
type organisationFields struct {
	commonFields
	Weight unit.Weight   `json:"weight,omitempty"`
	Limit  unit.Requests `json:"limit,omitempty"`
}

// organisationV1 has one key.
type organisationV1 struct {
	organisationFields
	Key string `json:"key"`
}

// organisationV2 has several keys, so that an operator can replace a key
// without a gap.
type organisationV2 struct {
	organisationFields
	Keys []string `json:"keys"`
}

func (w *organisationV1) populate(r *Record) error {
	return w.setOrganisation(r, []string{w.Key})
}

func (w *organisationV2) populate(r *Record) error {
	return w.setOrganisation(r, w.Keys)
}

func (w *organisationFields) setOrganisation(r *Record, keys []string) error {
	if len(keys) == 0 || slices.Contains(keys, "") {
		return errors.New("keys: missing or empty")
	}
	if w.Weight < 0 {
		return fmt.Errorf("weight: %v is negative", w.Weight)
	}
	if w.Limit < 0 {
		return fmt.Errorf("limit: %d is negative", w.Limit)
	}
	weight := w.Weight
	if weight == 0 {
		weight = defaultWeight
	}
	r.Organisation = &Organisation{Name: ident.Organisation(r.Name.Name), Keys: keys, Weight: weight, Limit: w.Limit}
	return nil
}

// serviceFields are the fields that both schema versions of a service have.
type serviceFields struct {
	commonFields
	Prefix        string               `json:"prefix"`
	Organisations []ident.Organisation `json:"organisations,omitempty"`
	Limit         unit.Requests        `json:"limit,omitempty"`
}

// serviceV1 lists the methods of the service, and the methods that run at most
// once, for all paths together.
type serviceV1 struct {
	serviceFields
	Methods    []string `json:"methods"`
	AtMostOnce []string `json:"atMostOnce,omitempty"`
}

// serviceV2 lists the methods and at-most-once rules for each path.
type serviceV2 struct {
	serviceFields
	Calls []Call `json:"calls"`
}

func (w *serviceV1) populate(r *Record) error {
	for i, m := range w.AtMostOnce {
		if !slices.Contains(w.Methods, m) {
			return fmt.Errorf("atMostOnce[%d]: %s is not among the methods", i, m)
		}
	}
	calls := make([]Call, 0, len(w.Methods))
	for _, m := range w.Methods {
		calls = append(calls, Call{Method: m, Path: "/*", AtMostOnce: slices.Contains(w.AtMostOnce, m)})
	}
	return w.setService(r, "methods", calls)
}

func (w *serviceV2) populate(r *Record) error {
	return w.setService(r, "calls", w.Calls)
}

func (w *serviceFields) setService(r *Record, field string, calls []Call) error {
	if !strings.HasPrefix(w.Prefix, "/") || strings.HasSuffix(w.Prefix, "/") {
		return fmt.Errorf("prefix: %q does not start with / or ends in /", w.Prefix)
	}
	if strings.HasPrefix(w.Prefix+"/", "/v1/") {
		return fmt.Errorf("prefix: %q is taken by the model protocol", w.Prefix)
	}
	if len(calls) == 0 {
		return fmt.Errorf("%s: empty", field)
	}
	for i, c := range calls {
		if err := c.check(); err != nil {
			return fmt.Errorf("%s[%d]: %w", field, i, err)
		}
	}
	if err := checkLimits(w.Organisations, 0, w.Limit); err != nil {
		return err
	}
	r.Service = &Service{
		Name:          ident.Service(r.Name.Name),
		Prefix:        w.Prefix,
		Calls:         calls,
		Organisations: w.Organisations,
		Limit:         orDefault(w.Limit, defaultLimit),
	}
	return nil
}

func (c Call) check() error {
	switch c.Method {
	case http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut, http.MethodPatch, http.MethodDelete:
	default:
		return fmt.Errorf("method: %q is not an HTTP method in capitals", c.Method)
	}
	if !strings.HasPrefix(c.Path, "/") {
		return fmt.Errorf("path: %q does not start with /", c.Path)
	}
	return nil
}
