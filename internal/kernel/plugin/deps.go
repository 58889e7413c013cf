package plugin

import (
	"errors"
	"fmt"
	"reflect"
	"sync"

	"github.com/alitto/pond/v2"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"cuminbay/internal/kernel/budget"
	"cuminbay/internal/kernel/clock"
	"cuminbay/internal/kernel/settings"
	"cuminbay/internal/kernel/timeline"
)

// Deps is passed to every plug-in. The exported fields do not change after New.
type Deps struct {
	Settings *settings.Settings
	Clock    clock.Clock
	Log      zerolog.Logger
	Metrics  *prometheus.Registry
	Timeline *timeline.Recorder
	// Budget bounds what callers can make the process use. It is nil in tests that need no limits.
	Budget *budget.Budget
	// Pool runs short background tasks. A task that waits for a long time gets
	// its own goroutine.
	Pool pond.Pool

	mu       sync.Mutex
	provided []any
}

// adapterName returns the name of the adapter in the settings. The name is empty
// for the product's own interface.
func (d *Deps) adapterName() string {
	if d.Settings == nil {
		return ""
	}
	return d.Settings.Daemon.Adapter
}

// Provide offers a value to the other plug-ins.
func (d *Deps) Provide(v any) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.provided = append(d.provided, v)
}

// Resolve sets the variable that each target points to. The variable is an
// interface or a pointer; Resolve sets it to the first provided value that
// implements the interface or has the pointer's type. Plug-ins usually call
// Resolve from Start, when all plug-ins are built. The error names all missing
// values.
func (d *Deps) Resolve(targets ...any) error {
	var errs []error
	for _, target := range targets {
		found, targetType, err := d.findProvided(target)
		switch {
		case err != nil:
			errs = append(errs, err)
		case len(found) == 0:
			errs = append(errs, fmt.Errorf("plugin: no plug-in provides %s", targetType))
		default:
			reflect.ValueOf(target).Elem().Set(reflect.ValueOf(found[0]))
		}
	}
	return errors.Join(errs...)
}

// ResolveAll appends every provided value that implements the slice's element
// interface to the slice that target points to.
func (d *Deps) ResolveAll(target any) error {
	slice := reflect.ValueOf(target)
	if slice.Kind() != reflect.Pointer || slice.Elem().Kind() != reflect.Slice {
		return fmt.Errorf("plugin: ResolveAll: got a target of type %T, expected a pointer to a slice of an interface type", target)
	}
	element := reflect.New(slice.Elem().Type().Elem())
	found, _, err := d.findProvided(element.Interface())
	if err != nil {
		return err
	}
	for _, v := range found {
		slice.Elem().Set(reflect.Append(slice.Elem(), reflect.ValueOf(v)))
	}
	return nil
}

func (d *Deps) findProvided(target any) ([]any, reflect.Type, error) {
	pointer := reflect.TypeOf(target)
	if pointer == nil || pointer.Kind() != reflect.Pointer {
		return nil, nil, fmt.Errorf("plugin: Resolve: got a target of type %T, expected a pointer to an interface or to a pointer", target)
	}
	targetType := pointer.Elem()
	if targetType.Kind() != reflect.Interface && targetType.Kind() != reflect.Pointer {
		return nil, nil, fmt.Errorf("plugin: Resolve: got a target of type %T, expected a pointer to an interface or to a pointer", target)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	var found []any
	for _, v := range d.provided {
		if reflect.TypeOf(v).AssignableTo(targetType) {
			found = append(found, v)
		}
	}
	return found, targetType, nil
}
