package fleettest

import (
	"fmt"
	"slices"
	"time"

	"mastusher/internal/tier/membership"
	"mastusher/internal/tier/model"
	"mastusher/internal/tier/storage/memorydisk"
)

// Options describe a fleet. A zero field takes its default.
type Options struct {
	Seed         uint64                                // of all random numbers of a run
	Cores        int                                   // machines with a controller; default 3
	Stores       int                                   // machines with a store; default 4
	Edges        int                                   // machines with an agent and a proxy; default 3
	Endpoints    int                                   // endpoints of the model service, and as many of the tool service; default 3
	Conditions   Conditions                            // of the network; default 0.7 ms delay, 0.3 ms jitter, 0.2 % loss
	SyncTime     time.Duration                         // duration of a sync of a disk; default 2 ms
	CompactBytes int64                                 // length of the log at which a group compacts it into a snapshot; default 16 KiB
	Trace        func(format string, arguments ...any) // called for each event; nil: no trace
}

func (o Options) withDefaults() Options {
	orDefault(&o.Cores, 3)
	orDefault(&o.Stores, 4)
	orDefault(&o.Edges, 3)
	orDefault(&o.Endpoints, 3)
	orDefault(&o.SyncTime, 2*time.Millisecond)
	orDefault(&o.CompactBytes, 16<<10)
	if o.Conditions == (Conditions{}) {
		o.Conditions = Conditions{Delay: 700 * time.Microsecond, Jitter: 300 * time.Microsecond, Loss: 0.002}
	}
	return o
}

func orDefault[T int | int64 | time.Duration](value *T, defaultValue T) {
	if *value == 0 {
		*value = defaultValue
	}
}

// Fleet is the tier with its operators, clients and endpoints. Its methods must be called from one goroutine.
type Fleet struct {
	options          Options
	loop             *loop
	network          *network
	machines         []*Machine
	cores            []*Machine
	stores           []*Machine
	edges            []*Machine
	endpointMachines []*Machine // machines of the endpoints of all services
	initialSeeds     []string
	coreList         []string // addresses of the controllers as operators know them
	operators        []*operator
	clients          *clients
	endpointList     []model.Endpoint // the platform's list
	incarnations     int              // endpoints started so far
	hostCount        int              // machines added so far
	history          *history
	violations       []string
	faultTimes       []time.Duration // when faults began and ended

	onAcknowledged func(*order) // called at each acknowledgement; may be nil
}

const (
	startWindow = 300 * time.Millisecond // within which all machines start
	seedDelay   = 3 * time.Second        // until operators know a replaced controller
)

// New returns a fleet with all its machines; their processes start with Boot.
func New(options Options) *Fleet {
	options = options.withDefaults()
	f := &Fleet{options: options, loop: newLoop(options.Seed), history: newHistory()}
	f.network = newNetwork(f.loop, options.Conditions)
	for i := range options.Cores {
		f.cores = append(f.cores, f.addCore(fmt.Sprintf("core-%d", i+1), i))
	}
	f.coreList = f.currentCores()
	f.initialSeeds = f.coreList[:min(3, len(f.coreList))]
	for i := range options.Stores {
		f.stores = append(f.stores, f.addStore(fmt.Sprintf("store-%d", i+1), i))
	}
	for i := range options.Edges {
		f.edges = append(f.edges, f.addEdge(fmt.Sprintf("edge-%d", i+1), i))
	}
	for i := range options.Endpoints {
		f.endpointMachines = append(f.endpointMachines, f.addEndpoint(fmt.Sprintf("model-%d", i+1), modelService), f.addEndpoint(fmt.Sprintf("tool-%d", i+1), toolService))
	}
	f.addExternals()
	return f
}

// addMachine adds a machine without processes.
func (f *Fleet) addMachine(name string, role membership.Role, zone int) *Machine {
	f.hostCount++
	m := &Machine{fleet: f, name: name, ip: fmt.Sprintf("10.0.0.%d", f.hostCount), zone: fmt.Sprintf("zone-%d", zone), role: role,
		syncTime: f.options.SyncTime, firstBoot: true}
	f.machines = append(f.machines, m)
	return m
}

func (m *Machine) addProcess(name, address string, open func(*process) (handler, error)) *process {
	p := &process{machine: m, name: name, address: address, open: open}
	m.processes = append(m.processes, p)
	m.fleet.network.byAddress[address] = p
	return p
}

func (f *Fleet) addCore(name string, zone int) *Machine {
	m := f.addMachine(name, membership.Controller, zone)
	m.disk = memorydisk.New()
	m.addProcess(name+"/controller", m.ip+":7000", openController)
	return m
}

func (f *Fleet) addStore(name string, zone int) *Machine {
	m := f.addMachine(name, membership.Store, zone)
	m.disk = memorydisk.New()
	m.addProcess(name+"/store", m.ip+":7002", openStore)
	return m
}

func (f *Fleet) addEdge(name string, zone int) *Machine {
	m := f.addMachine(name, membership.Agent, zone)
	agent := m.addProcess(name+"/agent", m.ip+":7001", openAgent)
	m.addProcess(name+"/proxy", m.ip+":8080", openProxy(agent.address))
	return m
}

func (f *Fleet) addEndpoint(name, service string) *Machine {
	m := f.addMachine(name, "", 0)
	m.addProcess(name, m.ip+":9000", openEndpoint(&service))
	return m
}

// addExternals adds the platform, two operators and the clients.
func (f *Fleet) addExternals() {
	m := f.addMachine("platform", "", 0)
	p := m.addProcess("platform", platformAddress, nil)
	p.handler = &platform{process: p}
	for i := range 2 {
		name := fmt.Sprintf("operator-%d", i+1)
		o := &operator{process: f.addMachine(name, "", 0).addProcess(name, name, nil)}
		o.process.handler = o
		f.operators = append(f.operators, o)
	}
	p = f.addMachine("clients", "", 0).addProcess("clients", "clients", nil)
	f.clients = &clients{process: p}
	p.handler = f.clients
}

// tier returns the machines of the tier.
func (f *Fleet) tier() []*Machine { return slices.Concat(f.cores, f.stores, f.edges) }

// Boot starts the endpoints, and the machines of the tier in a random sequence within startWindow.
func (f *Fleet) Boot() {
	for _, m := range f.endpointMachines {
		m.start()
	}
	for _, m := range f.tier() {
		f.loop.After(f.loop.between(0, startWindow), m.start)
	}
}

// RunFor runs the events of a span of virtual time.
func (f *Fleet) RunFor(span time.Duration) { f.loop.RunFor(span) }

// Until runs events until a condition holds or the timeout is over, and reports whether it holds.
func (f *Fleet) Until(timeout time.Duration, condition func() bool) bool {
	return f.loop.RunUntil(timeout, condition)
}

// Now returns the virtual time since the start of the run.
func (f *Fleet) Now() time.Duration { return f.loop.Now() }

func (f *Fleet) trace(format string, arguments ...any) {
	if f.options.Trace != nil {
		f.options.Trace("%10v "+format, append([]any{f.loop.Now()}, arguments...)...)
	}
}

// report records a violation of a rule.
func (f *Fleet) report(rule, format string, arguments ...any) {
	f.violations = append(f.violations, rule+": "+fmt.Sprintf(format, arguments...))
}

// Violations checks the run so far and returns all violations, sorted.
func (f *Fleet) Violations() []string {
	found := slices.Clone(f.violations)
	report := func(rule, format string, arguments ...any) {
		found = append(found, rule+": "+fmt.Sprintf(format, arguments...))
	}
	checkConfiguration(f.history, report)
	checkRequests(f.history, f.withoutFaults, report)
	slices.Sort(found)
	return found
}

// recordFault records that a fault begins or ends now.
func (f *Fleet) recordFault() { f.faultTimes = append(f.faultTimes, f.loop.Now()) }

// withoutFaults reports whether no fault began or ended in a span.
func (f *Fleet) withoutFaults(from, to time.Duration) bool {
	return !slices.ContainsFunc(f.faultTimes, func(at time.Duration) bool { return at >= from && at <= to })
}

func (f *Fleet) currentCores() []string {
	var addresses []string
	for _, m := range f.cores {
		addresses = append(addresses, m.processes[0].address)
	}
	return addresses
}

// controlList returns the addresses of the controllers that operators know.
func (f *Fleet) controlList() []string { return f.coreList }

// seeds returns the addresses of controllers that a settings file would name if it were written now.
func (f *Fleet) seeds() []string { return f.coreList[:min(3, len(f.coreList))] }

func (f *Fleet) proxyAddresses() []string {
	var addresses []string
	for _, m := range f.edges {
		addresses = append(addresses, m.processes[1].address)
	}
	return addresses
}

// readyProxies returns the addresses of the proxies that are ready.
func (f *Fleet) readyProxies() []string {
	var addresses []string
	for _, m := range f.edges {
		if serving, ok := m.processes[1].handler.(*proxy); ok && serving.ready() {
			addresses = append(addresses, m.processes[1].address)
		}
	}
	return addresses
}

// CoreLeader returns the controller that believes that it leads the configuration's group, in the highest term; nil: none.
func (f *Fleet) CoreLeader() *Machine {
	var leader *Machine
	var term uint64
	for _, m := range f.cores {
		running, ok := m.processes[0].handler.(*controller)
		if !ok {
			continue
		}
		if status := running.replica.group.Status(); status.IsLeader && status.Term >= term {
			leader, term = m, status.Term
		}
	}
	return leader
}

// ShardLeader returns the store that believes that it leads a shard's group, in the highest term; nil: none.
func (f *Fleet) ShardLeader(shard int) *Machine {
	var leader *Machine
	var term uint64
	for _, m := range f.stores {
		running, ok := m.processes[0].handler.(*store)
		if !ok || running.shards[shard] == nil {
			continue
		}
		if status := running.shards[shard].replica.group.Status(); status.IsLeader && status.Term >= term {
			leader, term = m, status.Term
		}
	}
	return leader
}
