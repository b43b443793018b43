package fleettest

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"mastusher/internal/tier/model"
)

// Content identifies a configuration by its number and a label that only it has.
type Content struct {
	Number uint64
	Label  string
}

// contentOf returns the content of a configuration, whose label is the name of its first route.
func contentOf(config *model.Configuration) Content {
	content := Content{Number: config.Version}
	if len(config.Routes) > 0 {
		content.Label = config.Routes[0].Name
	}
	return content
}

// raw returns the JSON of the configuration, as the operator sends it.
func (c Content) raw() json.RawMessage {
	route := model.Route{Name: c.Label, Host: "h.example", PathPrefix: "/", Kind: model.Streaming, Service: modelService}
	config := model.Configuration{Version: c.Number, Routes: []model.Route{route}}
	raw, err := json.Marshal(config)
	if err != nil {
		panic(err) // a configuration can always be encoded
	}
	return raw
}

// Requests of operators to controllers, and the answer to all of them.
type (
	putOrder struct {
		Base, Number uint64
		Raw          json.RawMessage
	}
	getOrder     struct{}
	rolloutOrder struct {
		Service, Target string
		OverMs          int64
	}
	getRollout        struct{ Service string }
	decommissionOrder struct{ Node string }
	getDecommission   struct{ Node string }
	operatorAnswer    struct {
		Status   int
		Location string
		Raw      json.RawMessage
		Target   string
		State    string
	}
)

// Timeouts and backoff of operators, and the number of redirects that they follow.
const (
	operatorTimeout        = time.Second
	operatorInitialBackoff = 100 * time.Millisecond
	operatorMaxBackoff     = time.Second
	operatorRedirects      = 2
)

// operator sends orders to the controllers and reads their state.
type operator struct {
	process         *process
	ackLossRate     float64  // probability that an answer is lost
	onlyControllers []string // controllers that it may call; nil: all
	labels          int      // orders sent so far, to number their labels
}

func (*operator) handleMessage(string, any)  {}
func (*operator) handleDatagram(string, any) {}
func (*operator) serve(*exchange, any)       {}
func (o *operator) fleet() *Fleet            { return o.process.machine.fleet }
func (o *operator) now() time.Duration       { return o.fleet().loop.Now() }
func (o *operator) intN(limit int) int       { return o.fleet().loop.random.IntN(limit) }

// addresses returns the addresses of the controllers that this operator may call.
func (o *operator) addresses() []string {
	if o.onlyControllers != nil {
		return o.onlyControllers
	}
	return o.fleet().controlList()
}

// order is a configuration that an operator has sent, with the answer.
type order struct {
	Operator string
	Base     uint64
	Content  Content
	Started  time.Duration
	Ended    time.Duration // zero: no final answer yet
	Status   int
}

// put sends an order with a new label until it gets a final answer.
func (o *operator) put(base, number uint64) *order {
	o.labels++
	return o.putContent(base, Content{Number: number, Label: fmt.Sprintf("%s-%d", o.process.name, o.labels)})
}

// putContent sends an order with a given content until it gets a final answer.
func (o *operator) putContent(base uint64, content Content) *order {
	sent := &order{Operator: o.process.name, Base: base, Content: content, Started: o.now()}
	o.fleet().history.orders = append(o.fleet().history.orders, sent)
	o.callUntilAnswered(putOrder{Base: base, Number: content.Number, Raw: content.raw()}, func(answer operatorAnswer) {
		sent.Ended, sent.Status = o.now(), answer.Status
		o.fleet().trace("%s: PUT %d on %d (%s): %d", o.process.name, content.Number, base, content.Label, answer.Status)
		if sent.Status == http.StatusOK && o.fleet().onAcknowledged != nil {
			o.fleet().onAcknowledged(sent)
		}
	})
	return sent
}

// readBack is a read of the configuration.
type readBack struct {
	Content Content
	Started time.Duration
	Ended   time.Duration // zero: none yet
}

// get reads the configuration in force, with retries until it gets a final answer.
func (o *operator) get() *readBack {
	read := &readBack{Started: o.now()}
	o.callUntilAnswered(getOrder{}, func(answer operatorAnswer) {
		if answer.Status != http.StatusOK {
			return
		}
		var config model.Configuration
		if err := json.Unmarshal(answer.Raw, &config); err != nil {
			o.fleet().report("CONFIG", "the configuration that was read cannot be decoded: %v", err)
			return
		}
		read.Content, read.Ended = contentOf(&config), o.now()
		o.fleet().history.reads = append(o.fleet().history.reads, read)
	})
	return read
}

// sentRollout is an order for a roll-out, with the answer.
type sentRollout struct {
	Service, Target string
	Ended           time.Duration
	Status          int
}

// rollOut orders the roll-out of a target version over a duration.
func (o *operator) rollOut(service, target string, over time.Duration) *sentRollout {
	sent := &sentRollout{Service: service, Target: target}
	o.callUntilAnswered(rolloutOrder{service, target, over.Milliseconds()}, func(answer operatorAnswer) {
		sent.Ended, sent.Status = o.now(), answer.Status
	})
	return sent
}

// rolloutState reads the state of a service's newest roll-out, and passes the answer to done.
func (o *operator) rolloutState(service string, done func(operatorAnswer)) {
	o.callUntilAnswered(getRollout{service}, done)
}

// decommission orders the decommission of a store, and passes the answer to done.
func (o *operator) decommission(node string, done func(operatorAnswer)) {
	o.callUntilAnswered(decommissionOrder{node}, done)
}

// decommissionState reads the state of the decommission of a store, and passes the answer to done.
func (o *operator) decommissionState(node string, done func(operatorAnswer)) {
	o.callUntilAnswered(getDecommission{node}, done)
}

// callUntilAnswered calls random controllers, with exponential backoff, until it gets a final answer.
func (o *operator) callUntilAnswered(request any, done func(operatorAnswer)) {
	backoff := operatorInitialBackoff
	var attempt func()
	attempt = func() {
		addresses := o.addresses()
		if len(addresses) == 0 {
			o.process.after(backoff, attempt)
			return
		}
		o.ask(addresses[o.intN(len(addresses))], request, operatorRedirects, func(answer operatorAnswer, err error) {
			if err == nil && isFinal(answer.Status) {
				done(answer)
				return
			}
			o.process.after(backoff, attempt)
			backoff = min(2*backoff, operatorMaxBackoff)
		})
	}
	attempt()
}

// isFinal reports whether a status ends the retries of a call.
func isFinal(status int) bool {
	return status == http.StatusOK || status/100 == 4 && status != http.StatusRequestTimeout && status != http.StatusTooManyRequests
}

// ask calls one controller and follows its redirects.
func (o *operator) ask(address string, request any, redirects int, done func(operatorAnswer, error)) {
	o.fleet().network.ask(o.process, address, request, operatorTimeout, func(response any, err error) {
		answer, _ := response.(operatorAnswer)
		switch {
		case err == nil && answer.Status == http.StatusTemporaryRedirect && redirects > 0:
			o.ask(answer.Location, request, redirects-1, done)
		case err == nil && o.fleet().loop.withProbability(o.ackLossRate):
			o.process.after(operatorTimeout, func() { done(operatorAnswer{}, errTimeout) })
		default:
			done(answer, err)
		}
	})
}
