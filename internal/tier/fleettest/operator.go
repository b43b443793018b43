package fleettest

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"mastusher/internal/tier/model"
)

// Content names one configuration by its number and by what only it holds.
type Content struct {
	Number uint64
	Mark   string
}

func contentOf(config *model.Configuration) Content {
	content := Content{Number: config.Version}
	if len(config.Routes) > 0 {
		content.Mark = config.Routes[0].Name
	}
	return content
}

// raw is the configuration as the operator sends it.
func (c Content) raw() json.RawMessage {
	config := model.Configuration{Version: c.Number, Routes: []model.Route{{Name: c.Mark, Host: "h.example", PathPrefix: "/", Kind: model.Streaming, Service: modelService}}}
	raw, err := json.Marshal(config)
	if err != nil {
		panic(err) // there is nothing in it that can't be encoded
	}
	return raw
}

// Orders and questions of operators, and the answer.
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
	getRollout     struct{ Service string }
	retireOrder    struct{ Node string }
	getRetirement  struct{ Node string }
	operatorAnswer struct {
		Status   int
		Location string
		Raw      json.RawMessage
		Target   string
		State    string
	}
)

// Times of operators.
const (
	operatorPatience   = time.Second
	operatorFirstPause = 100 * time.Millisecond
	operatorMostPause  = time.Second
	operatorRedirects  = 2
)

// operator calls the controllers.
type operator struct {
	process    *process
	loseAnswer float64 // share of answers that get lost on their way
	only       []string
	marks      int
}

func (*operator) notice(string, any)     {}
func (*operator) datagram(string, any)   {}
func (*operator) serve(*exchange, any)   {}
func (o *operator) fleet() *Fleet        { return o.process.machine.fleet }
func (o *operator) now() time.Duration   { return o.fleet().loop.now }
func (o *operator) between(most int) int { return o.fleet().loop.random.IntN(most) }

// addresses are the controllers that this operator may call.
func (o *operator) addresses() []string {
	if o.only != nil {
		return o.only
	}
	return o.fleet().controlList()
}

// order is a whole configuration that was sent, with what came of it.
type order struct {
	Operator string
	Base     uint64
	Content  Content
	Started  time.Duration
	Ended    time.Duration // zero: no clear answer yet
	Status   int
}

// put sends a configuration until there is a clear answer, as long as the operator is there.
func (o *operator) put(base, number uint64) *order {
	o.marks++
	return o.putContent(base, Content{Number: number, Mark: fmt.Sprintf("%s-%d", o.process.name, o.marks)})
}

// putContent sends exactly this configuration.
func (o *operator) putContent(base uint64, content Content) *order {
	sent := &order{Operator: o.process.name, Base: base, Content: content, Started: o.now()}
	o.fleet().history.orders = append(o.fleet().history.orders, sent)
	o.insist(putOrder{Base: base, Number: content.Number, Raw: content.raw()}, func(answer operatorAnswer) {
		sent.Ended, sent.Status = o.now(), answer.Status
		o.fleet().trace("%s: PUT %d on %d (%s): %d", o.process.name, content.Number, base, content.Mark, answer.Status)
		if sent.Status == http.StatusOK && o.fleet().onAcknowledged != nil {
			o.fleet().onAcknowledged(sent)
		}
	})
	return sent
}

// readBack is an answer to GET.
type readBack struct {
	Content Content
	Started time.Duration
	Ended   time.Duration // zero: none yet
}

// get asks for the configuration in force until it is answered.
func (o *operator) get() *readBack {
	read := &readBack{Started: o.now()}
	o.insist(getOrder{}, func(answer operatorAnswer) {
		if answer.Status != http.StatusOK {
			return
		}
		var config model.Configuration
		if err := json.Unmarshal(answer.Raw, &config); err != nil {
			o.fleet().report("CONFIG", "what is read back cannot be read: %v", err)
			return
		}
		read.Content, read.Ended = contentOf(&config), o.now()
		o.fleet().history.reads = append(o.fleet().history.reads, read)
	})
	return read
}

// roll is an order of a roll-out.
type roll struct {
	Service, Target string
	Ended           time.Duration
	Status          int
}

func (o *operator) rollOut(service, target string, over time.Duration) *roll {
	sent := &roll{Service: service, Target: target}
	o.insist(rolloutOrder{service, target, over.Milliseconds()}, func(answer operatorAnswer) {
		sent.Ended, sent.Status = o.now(), answer.Status
	})
	return sent
}

// rollState asks for the newest order of a service until it is answered.
func (o *operator) rollState(service string, done func(operatorAnswer)) {
	o.insist(getRollout{service}, done)
}

// retire orders a storage machine to be emptied, and tells done the answer.
func (o *operator) retire(node string, done func(operatorAnswer)) { o.insist(retireOrder{node}, done) }

// retirement asks how far the order about a storage machine is.
func (o *operator) retirement(node string, done func(operatorAnswer)) {
	o.insist(getRetirement{node}, done)
}

// insist calls one controller after the other, with a growing pause, until there is a clear answer.
func (o *operator) insist(request any, done func(operatorAnswer)) {
	pause := operatorFirstPause
	var try func()
	try = func() {
		addresses := o.addresses()
		if len(addresses) == 0 {
			o.process.after(pause, try)
			return
		}
		o.ask(addresses[o.between(len(addresses))], request, operatorRedirects, func(answer operatorAnswer, err error) {
			if err == nil && isClear(answer.Status) {
				done(answer)
				return
			}
			o.process.after(pause, try)
			pause = min(2*pause, operatorMostPause)
		})
	}
	try()
}

// isClear tells whether an answer ends a call.
func isClear(status int) bool {
	return status == http.StatusOK || status/100 == 4 && status != http.StatusRequestTimeout && status != http.StatusTooManyRequests
}

// ask calls one controller and follows it to others.
func (o *operator) ask(address string, request any, redirects int, done func(operatorAnswer, error)) {
	o.fleet().network.ask(o.process, address, request, operatorPatience, func(piece any, err error) {
		answer, _ := piece.(operatorAnswer)
		switch {
		case err == nil && answer.Status == http.StatusTemporaryRedirect && redirects > 0:
			o.ask(answer.Location, request, redirects-1, done)
		case err == nil && o.fleet().loop.chance(o.loseAnswer):
			o.process.after(operatorPatience, func() { done(operatorAnswer{}, errTimeout) })
		default:
			done(answer, err)
		}
	})
}
