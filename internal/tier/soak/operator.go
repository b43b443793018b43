package soak

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"

	"mastusher/internal/tier/localtier"
	"mastusher/internal/tier/model"
	"mastusher/internal/tier/wait"
)

// operator sends one configuration after the other, each in an order, and reads the configuration back from all controllers.
type operator struct {
	run      *run
	orders   *localtier.Operator
	reader   *localtier.Operator
	dropping atomic.Int32 // faults that drop responses to orders now

	mutex        sync.Mutex // guards the fields below
	acknowledged uint64     // version of the newest configuration that was acknowledged
	sent         uint64     // version of the newest configuration that was sent
}

// newOperator returns the operator of a run. It hasn't sent any order yet.
func newOperator(r *run) *operator {
	o := &operator{run: r, reader: localtier.NewOperator(r.controllers(), nil)}
	o.orders = localtier.NewOperator(r.controllers(), r.dialDropping(&o.dropping))
	return o
}

// configuration returns the configuration of a version, which has a route that no other version has.
func configuration(number uint64) model.Configuration {
	return localtier.Configuration(number, retention, localtier.ToolRoute("mark", versionPrefix(number)))
}

// versionPrefix returns the path prefix of the route that only one version has.
func versionPrefix(number uint64) string { return fmt.Sprintf("/mark-%d/", number) }

// orderLoop sends orders until ctx ends.
func (o *operator) orderLoop(ctx context.Context) {
	for wait.Sleep(ctx, orderInterval) == nil {
		o.order(ctx)
	}
}

// order sends the version after the newest acknowledged one, once; true means that it was acknowledged.
func (o *operator) order(ctx context.Context) bool {
	o.mutex.Lock()
	current := o.acknowledged
	o.sent = max(o.sent, current+1)
	o.mutex.Unlock()
	bounded, cancel := context.WithTimeout(context.WithoutCancel(ctx), orderTimeout)
	defer cancel()
	controllers := o.run.controllers()
	controller := controllers[o.run.intN(len(controllers))]
	_, err := o.orders.ConfigureAt(bounded, controller, configuration(current+1), current)
	var answer *localtier.StatusError
	if errors.As(err, &answer) && answer.Status/100 == 4 && answer.Status != http.StatusRequestTimeout && answer.Status != http.StatusTooManyRequests {
		o.run.recordViolation("REFUSED", "order of version %d to replace %d, though no other operator sends orders, was rejected at %s: %v", current+1, current, controller, answer)
	}
	if err != nil {
		return false
	}
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.acknowledged = max(o.acknowledged, current+1)
	return true
}

// readLoop reads the configuration from one controller after the other until ctx ends.
func (o *operator) readLoop(ctx context.Context) {
	controllers := o.run.controllers()
	for number := 0; wait.Sleep(ctx, readInterval) == nil; number++ {
		o.read(ctx, controllers[number%len(controllers)])
	}
}

// read reads the configuration from a controller, and checks linearizability: the version must not be older than the newest one
// acknowledged before the read, and must have been sent. True means that the read was answered.
func (o *operator) read(ctx context.Context, controller string) bool {
	o.mutex.Lock()
	minVersion := o.acknowledged
	o.mutex.Unlock()
	read, err := o.reader.ReadAt(context.WithoutCancel(ctx), controller)
	o.mutex.Lock()
	maxVersion := o.sent
	o.mutex.Unlock()
	var answer *localtier.StatusError
	if errors.As(err, &answer) && answer.Status == http.StatusNotFound {
		o.run.recordViolation("CONFIG", "%s returns no configuration, though version %d was acknowledged", controller, minVersion)
	}
	if err != nil {
		return false
	}
	if read.Version < minVersion || read.Version > maxVersion || !localtier.SameConfiguration(read, configuration(read.Version)) {
		o.run.recordViolation("CONFIG", "%s returns version %d, out of bounds or with other content; acknowledged before the read: %d, sent: %d", controller, read.Version, minVersion, maxVersion)
	}
	o.run.mutex.Lock()
	defer o.run.mutex.Unlock()
	o.run.result.Reads++
	return true
}
