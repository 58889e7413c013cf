package record

import (
	"slices"
	"sort"
	"strings"

	"cuminbay/internal/domain/ident"
)

// View is an immutable index of the active records. Requests read the index
// without a lock.
type View struct {
	deployments   []*Deployment
	byModel       map[ident.Model][]*Deployment
	organisations map[ident.Organisation]*Organisation
	byKey         map[string]*Organisation
	services      []*Service
}

// NewView returns an index of the records. Withdrawn records are left out.
func NewView(records []*Record) *View {
	v := &View{
		byModel:       make(map[ident.Model][]*Deployment),
		organisations: make(map[ident.Organisation]*Organisation),
		byKey:         make(map[string]*Organisation),
	}
	for _, r := range records {
		v.addRecord(r)
	}
	sort.Slice(v.deployments, func(i, j int) bool { return v.deployments[i].Name < v.deployments[j].Name })
	// Longer prefixes come first, so that the first prefix that matches a path
	// is the longest.
	sort.Slice(v.services, func(i, j int) bool {
		a, b := v.services[i], v.services[j]
		if len(a.Prefix) != len(b.Prefix) {
			return len(a.Prefix) > len(b.Prefix)
		}
		return a.Name < b.Name
	})
	return v
}

func (v *View) addRecord(r *Record) {
	switch {
	case r.Withdrawn:
	case r.Deployment != nil:
		d := r.Deployment
		v.deployments = append(v.deployments, d)
		v.byModel[d.Model] = append(v.byModel[d.Model], d)
		for _, a := range d.Adapters {
			name := ident.Model(a)
			v.byModel[name] = append(v.byModel[name], d)
		}
	case r.Organisation != nil:
		o := r.Organisation
		v.organisations[o.Name] = o
		for _, k := range o.Keys {
			v.byKey[k] = o
		}
	case r.Service != nil:
		v.services = append(v.services, r.Service)
	}
}

// Deployments returns all deployments, sorted by name. The slice is shared and
// must not be changed.
func (v *View) Deployments() []*Deployment {
	return v.deployments
}

// Services returns all services. The slice is shared and must not be changed.
func (v *View) Services() []*Service {
	return v.services
}

// OrganisationByKey returns the organisation that has the bearer key, or nil.
func (v *View) OrganisationByKey(key string) *Organisation {
	return v.byKey[key]
}

// Organisation returns the organisation with the name, or nil.
func (v *View) Organisation(o ident.Organisation) *Organisation {
	return v.organisations[o]
}

// Serves reports whether the organisation may use a deployment of the model or
// adapter.
func (v *View) Serves(m ident.Model, o ident.Organisation) bool {
	for _, d := range v.byModel[m] {
		if Allows(d.Organisations, o) {
			return true
		}
	}
	return false
}

// Deployment returns the deployment with the name, or nil.
func (v *View) Deployment(name ident.Deployment) *Deployment {
	i := sort.Search(len(v.deployments), func(i int) bool { return v.deployments[i].Name >= name })
	if i < len(v.deployments) && v.deployments[i].Name == name {
		return v.deployments[i]
	}
	return nil
}

// Models returns the models and adapters that the organisation may use, sorted.
func (v *View) Models(o ident.Organisation) []ident.Model {
	var models []ident.Model
	for m := range v.byModel {
		if v.Serves(m, o) {
			models = append(models, m)
		}
	}
	slices.Sort(models)
	return models
}

// ServiceFor returns the service whose prefix is the longest match for the path,
// and the path below that prefix, at least "/". The service is nil if no prefix
// matches.
func (v *View) ServiceFor(path string) (*Service, string) {
	for _, s := range v.services {
		subpath, found := strings.CutPrefix(path, s.Prefix)
		if found && (subpath == "" || subpath[0] == '/') {
			if subpath == "" {
				subpath = "/"
			}
			return s, subpath
		}
	}
	return nil, ""
}

// Allows reports whether the list contains the organisation; an empty list
// allows all.
func Allows(list []ident.Organisation, o ident.Organisation) bool {
	return len(list) == 0 || slices.Contains(list, o)
}
