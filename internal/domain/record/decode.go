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
	var common commonFields
	if err := json.Unmarshal(raw, &common); err != nil {
		return nil, code.BadRecord.New("%s: not a JSON object: %s", n, err)
	}
	if common.Schema != SchemaV1 && common.Schema != SchemaV2 {
		return nil, code.UnknownSchema.New("%s.schema: %d is not one of 1, 2", n, common.Schema)
	}
	r := &Record{Name: n, Schema: common.Schema, Withdrawn: common.Withdrawn}
	if common.Withdrawn {
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
		return code.BadRecord.New("%s: kind is not one of deployment, organisation, service", r.Name)
	}
}

// recordSchema is the body of a record in one kind and schema version.
type recordSchema interface {
	// populate checks the fields and sets the domain type of the record.
	populate(r *Record) error
}

func (r *Record) decodeSchema(raw []byte, schema recordSchema) error {
	decoder := json.NewDecoder(bytes.NewReader(raw))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(schema); err != nil {
		return code.BadRecord.New("%s%s", r.Name, describeDecodeError(err))
	}
	if err := schema.populate(r); err != nil {
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

func (d *deploymentV1) populate(r *Record) error {
	placements := make([]Placement, 0, len(d.DataCentres))
	for _, dataCentre := range d.DataCentres {
		placements = append(placements, Placement{dataCentre, d.Replicas})
	}
	return d.setDeployment(r, "dataCentres", placements, 0)
}

func (d *deploymentV2) populate(r *Record) error {
	return d.setDeployment(r, "placements", d.Placements, d.Priority)
}

func (d *deploymentFields) setDeployment(r *Record, field string, placements []Placement, priority unit.Priority) error {
	if err := d.check(); err != nil {
		return err
	}
	if err := checkPlacements(field, placements); err != nil {
		return err
	}
	r.Deployment = &Deployment{
		Name:          ident.Deployment(r.Name.Name),
		Model:         d.Model,
		Version:       d.Version,
		Adapters:      d.Adapters,
		Organisations: d.Organisations,
		Placements:    placements,
		Size:          d.Size,
		Priority:      priority,
		ColdLimit:     orDefault(d.ColdLimit, defaultColdLimit),
		Limit:         orDefault(d.Limit, defaultLimit),
	}
	return nil
}

func (d *deploymentFields) check() error {
	if err := ident.CheckName(string(d.Model)); err != nil {
		return fmt.Errorf("model: %w", err)
	}
	if err := ident.CheckName(string(d.Version)); err != nil {
		return fmt.Errorf("version: %w", err)
	}
	for i, a := range d.Adapters {
		if err := ident.CheckName(string(a)); err != nil {
			return fmt.Errorf("adapters[%d]: %w", i, err)
		}
	}
	const maxSize = 1024
	if d.Size < 1 || d.Size > maxSize {
		return fmt.Errorf("size: %d is not in the range from 1 to %d", d.Size, maxSize)
	}
	return checkLimits(d.Organisations, d.ColdLimit, d.Limit)
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
		return fmt.Errorf("%s: missing or empty", field)
	}
	listed := make(map[ident.DataCentre]bool)
	for i, p := range placements {
		if err := ident.CheckName(string(p.DataCentre)); err != nil {
			return fmt.Errorf("%s[%d]: %w", field, i, err)
		}
		if listed[p.DataCentre] {
			return fmt.Errorf("%s[%d]: data centre %s is listed twice", field, i, p.DataCentre)
		}
		listed[p.DataCentre] = true
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

func (o *organisationV1) populate(r *Record) error {
	return o.setOrganisation(r, []string{o.Key})
}

func (o *organisationV2) populate(r *Record) error {
	return o.setOrganisation(r, o.Keys)
}

func (o *organisationFields) setOrganisation(r *Record, keys []string) error {
	if len(keys) == 0 || slices.Contains(keys, "") {
		return errors.New("keys: missing or empty")
	}
	if o.Weight < 0 {
		return fmt.Errorf("weight: %v is negative", o.Weight)
	}
	if o.Limit < 0 {
		return fmt.Errorf("limit: %d is negative", o.Limit)
	}
	weight := o.Weight
	if weight == 0 {
		weight = defaultWeight
	}
	r.Organisation = &Organisation{Name: ident.Organisation(r.Name.Name), Keys: keys, Weight: weight, Limit: o.Limit}
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

func (s *serviceV1) populate(r *Record) error {
	for i, m := range s.AtMostOnce {
		if !slices.Contains(s.Methods, m) {
			return fmt.Errorf("atMostOnce[%d]: %s is not among the methods", i, m)
		}
	}
	calls := make([]Call, 0, len(s.Methods))
	for _, m := range s.Methods {
		calls = append(calls, Call{Method: m, Path: "/*", AtMostOnce: slices.Contains(s.AtMostOnce, m)})
	}
	return s.setService(r, "methods", calls)
}

func (s *serviceV2) populate(r *Record) error {
	return s.setService(r, "calls", s.Calls)
}

func (s *serviceFields) setService(r *Record, field string, calls []Call) error {
	if !strings.HasPrefix(s.Prefix, "/") || strings.HasSuffix(s.Prefix, "/") {
		return fmt.Errorf("prefix: %q does not start with / or ends in /", s.Prefix)
	}
	if strings.HasPrefix(s.Prefix+"/", "/v1/") {
		return fmt.Errorf("prefix: %q is reserved for the model protocol", s.Prefix)
	}
	if len(calls) == 0 {
		return fmt.Errorf("%s: missing or empty", field)
	}
	for i, c := range calls {
		if err := c.check(); err != nil {
			return fmt.Errorf("%s[%d]: %w", field, i, err)
		}
	}
	if err := checkLimits(s.Organisations, 0, s.Limit); err != nil {
		return err
	}
	r.Service = &Service{
		Name:          ident.Service(r.Name.Name),
		Prefix:        s.Prefix,
		Calls:         calls,
		Organisations: s.Organisations,
		Limit:         orDefault(s.Limit, defaultLimit),
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
