// Package config is the one place where the relay's configuration is read, checked and given defaults.
package config

import (
	"encoding/hex"
	"errors"
	"fmt"
	"hash/fnv"
	"net"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/tidwall/gjson"

	"mastusher/control"
	"mastusher/internal/relay/wire"
)

// Limits holds every limit on sizes, counts and times outside the module. It is filled once, at start, and
// handed down.
type Limits struct {
	Cores       int
	MemoryBytes int64 // bytes
	DiskBytes   int64 // bytes in the folder that lasts
	Sockets     int   // descriptors of the process
	HeadSize    int   // bytes of a request's or answer's first line and headers
	BodySize    int   // bytes of a body
	NameSize    int   // bytes of an id or key

	ClientConnections int // at once
	Queue             int // events on their way to the core
	IdleEndpoints     int // connections kept to endpoints, in all
	IdlePerEndpoint   int

	Round             time.Duration // from one turn of the core to the next
	AnswerWithin      time.Duration // an arrival older than this is refused: its client is about to leave
	BusyRetry         time.Duration // told with a refusal that the module had no part in
	ConnectTimeout    time.Duration
	IdleSocket        time.Duration // a pooled connection is retired after this
	IdleTrustMin      time.Duration // one that stood idle for less is always used again
	IdleTrustDoubling time.Duration // after a loss on an idle connection, so long until twice the time is trusted
	AnswerRead        time.Duration // an answer must be whole within this, from its first byte
	MaxInterim        int           // answers to one call, of which all but the last are 1xx
	FrontIdle         time.Duration // a client's connection may stand idle for this long
	FrontRead         time.Duration // a request must be whole within this, from its first byte; the first of a connection, from its start
	FrontWrite        time.Duration // a client takes its answer within this
	ErrorDelay        time.Duration // what follows a request that was turned away is not read before
	FrontLinger       time.Duration // how long what follows a faulty request is still read
	WatchTimeout      time.Duration // a watch that says nothing for so long is dead
	WatchRetry        time.Duration // before a watch that did not come up is tried again
	WatchSpread       time.Duration // over which all relays open theirs anew that fell silent together
	EndedRetention    time.Duration // how long the id of a message that is over is known
	MaxEnded          int           // and of how many
	NoticeTimeout     time.Duration
	NoticeRetry       time.Duration // doubles with each try in a row that fails
	NoticeRetryMax    time.Duration
	ParallelNotices   int // calls, where each notice is one
	MaxRemembered     int // messages that have ended, to answer for when they come again
	NoticesPerCall    int
	WindowMargin      time.Duration // no repeat of a keyed message is begun in this last part of its window
	DrainSends        time.Duration // after SIGTERM, attempts are still begun for so long
	DrainExit         time.Duration // and the core ends within this
	DrainLinger       time.Duration // clients are still answered for so long
	DrainClose        time.Duration // then their connections end within this

	CaptureQueue  int           // batches on their way to a capture's writer
	CaptureChunk  int           // bytes of records, about, that make a chunk
	CaptureWithin time.Duration // after which what there is makes one

	PluginStart            time.Duration // for an instance's start
	PluginBudget           time.Duration // for all plug-ins that see a message arrive, of the 400 ms that its client waits
	PluginGrace            time.Duration // after its deadline a call that can't be stopped is left to itself
	PluginMemory           int64         // bytes, of all instances together
	PluginStack            int           // values of eight bytes that the open calls in an instance may take
	PluginCopyBytes        int           // bytes that a call may have the relay copy out of its memory
	PluginThreads          int           // that run plug-ins at once
	PluginYields           bool          // those give way to the relay's own threads
	PluginBurst            time.Duration // processor time that a plug-in may use at once beyond its share
	PluginBreakerThreshold float64       // failures that open a circuit breaker, less a part of the good calls
	PluginBreakerOpen      time.Duration // how long it stays open at first
	PluginBreakerOpenMax   time.Duration // and at most
	PluginBreakerTrials    int           // good calls in a row that close it
	PluginBreakers         int           // that a plug-in keeps breakers for
	PluginEndQueue         int           // calls after the fact that wait for a plug-in
	PluginLines            int           // log lines a second, and in one call
	PluginReason           int           // bytes of a log line or reason
	PluginHeaders          int           // set on one message
	PluginValue            int           // bytes of a header's value
	PluginHeaderSize       int           // bytes of all headers set on one message
	PluginSample           int           // bytes of an answer that plug-ins may see
	PluginRetryAfterMax    time.Duration // that a plug-in may ask for
	PluginSave             time.Duration // from one saving of the stores to the next
	PluginCache            int64         // bytes of compiled modules that are kept
}

// Config is all that a relay is told at its start.
type Config struct {
	Name, Listen, Discovery, State string
	Seed                           uint64
	Known                          gjson.Result // the endpoint list as this relay last had it
	Settings                       wire.Settings
	Limits                         Limits
	ActivityPub                    *ActivityPub // nil: off
	VRRP                           *VRRP        // nil: off
	Plugins                        []Plugin     // in the order in which they are called
	PluginHost                     PluginHost
	Capture                        Capture
	Peers                          *Peers // nil: the relay stands alone
}

// Capture is where decisions are recorded.
type Capture struct {
	Dir      string // "": nowhere
	On       bool   // from the start
	FileSize int64  // bytes from which on the next file begins
	DirSize  int64  // bytes of all files together
}

// ActivityPub sets up the second front.
type ActivityPub struct {
	Listen   string // address of the inboxes
	Actor    string // this relay's actor id, a URL
	KeyID    string
	KeyFile  string // PEM, PKCS #8 private key; made at first start if it is missing
	Skew     time.Duration
	Partners []Partner         // whom it delivers to
	Clients  []Client          // who may post to it
	Classes  map[string]string // name of the class, by the activity's type
}

// Partner is a partner system with inboxes.
type Partner struct {
	Name        string
	Destination int
	Kind        string
	Zone        string
	Inboxes     []string // URLs
	Tenant      int      // whose its messages are, by its place in the settings; -1: nobody's
}

// Client is an actor that may hand in activities.
type Client struct {
	Actor   string
	KeyID   string
	KeyFile string // PEM, public key
	Inbox   string // URL for its final answers
}

// VRRP sets up the virtual router whose state opens or shuts the ActivityPub front.
type VRRP struct {
	Listen     string // UDP address
	Peers      []string
	VRID       uint8
	Priority   uint8
	Advertise  time.Duration
	Preempt    bool
	Address    net.IP   // this router's own, for ties
	Virtual    []net.IP // the addresses that it stands for
	AcceptMode bool
}

// Plugin is one WebAssembly plug-in.
type Plugin struct {
	Key        string // where it stands in the configuration
	Name, File string
	Fronts     []string      // names; none: all
	Partners   []int         // none: all
	Classes    []int         // none: all
	Phases     []string      // arrival, answer, end; none: all that it takes part in
	Timeout    time.Duration // of one call
	MemoryMB   int           // of one instance
	Instances  int
	Share      float64 // of one core
	Reject     bool    // a message is turned away when the plug-in fails; otherwise it passes
	StoreKB    int
	Config     string // JSON, handed to the plug-in as it is
}

// PluginHost is what all plug-ins share.
type PluginHost struct {
	On    bool   // there are plug-ins, or may be after a reload
	Cache string // folder for compiled modules; "": none
	Store string // folder for the plug-ins' stores; "": they are not kept
}

// KeyError names the key of the configuration that is at fault.
type KeyError struct{ Key, Reason string }

func (e *KeyError) Error() string { return fmt.Sprintf("config: key %s: %s", e.Key, e.Reason) }

// Load reads the file that RELAY_CONFIG names, or file if that is not empty; RELAY_NAME, RELAY_LISTEN and
// RELAY_STATE from the environment go before the file. RELAY_DISCOVERY goes after it: a file can be replaced
// while the process runs, its environment can't, so where the two differ the file is the newer.
func Load(file string, env func(string) string) (*Config, error) {
	if file == "" {
		file = env("RELAY_CONFIG")
	}
	if file == "" {
		return nil, &KeyError{"RELAY_CONFIG", "not set, and no --config given"}
	}
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, &KeyError{"RELAY_CONFIG", err.Error()}
	}
	return Parse(text, env)
}

// Parse checks the text of a configuration and fills in the defaults.
func Parse(text []byte, env func(string) string) (*Config, error) {
	if !gjson.ValidBytes(text) {
		return nil, &KeyError{"(whole file)", "not valid JSON"}
	}
	p := &parser{root: gjson.ParseBytes(text)}
	or := func(name, key string) string {
		if v := env(name); v != "" {
			return v
		}
		return p.text(key, "")
	}
	c := &Config{Name: or("RELAY_NAME", "name"), Listen: or("RELAY_LISTEN", "listen"),
		Discovery: p.text("discovery", env("RELAY_DISCOVERY")), State: or("RELAY_STATE", "state"), Known: p.root.Get("known")}
	p.need("state", c.State != "", "missing, and RELAY_STATE is not set")
	c.Seed = seed(p.text("seed", ""))
	raw := p.root.Get("settings")
	p.need("settings", raw.IsObject(), "missing or not an object")
	if raw.IsObject() {
		set, err := wire.ParseSettings([]byte(raw.Raw))
		var word *wire.KeyError
		if errors.As(err, &word) {
			p.fail("settings."+word.Key, word.Why)
		} else if err != nil {
			p.fail("settings", err.Error())
		}
		if _, err := control.New(set.Settings, 0); err == nil || len(set.Classes) == 0 || set.Slots < 1 || set.MaxAttempts < 1 {
			c.Settings = set // the keys checked below have messages of their own
		} else {
			p.fail("settings", err.Error())
		}
	}
	p.need("settings.lanes", len(c.Settings.Classes) > 0, "no class of message")
	p.need("settings.family_info.workers", c.Settings.Slots > 0, "at least 1 slot is needed")
	p.need("settings.allowed.max_attempts", c.Settings.MaxAttempts > 0, "at least 1 attempt is needed")
	c.Limits = p.limits(&c.Settings)
	p.optional(c)
	p.need("listen", c.Listen != "" || c.ActivityPub != nil, "missing, and RELAY_LISTEN is not set")
	if p.err != nil {
		return nil, p.err
	}
	return c, nil
}

func seed(s string) uint64 {
	if b, err := hex.DecodeString(s); err == nil && len(b) == 8 {
		var v uint64
		for _, x := range b {
			v = v<<8 | uint64(x)
		}
		return v
	}
	h := fnv.New64a()
	h.Write([]byte(s))
	return h.Sum64()
}

// limits gives each limit its default, from what the platform grants.
func (p *parser) limits(set *wire.Settings) Limits {
	l := Limits{
		Cores:       max(1, int(p.number("limits.cores", 1, 0.01, 1024))),
		MemoryBytes: int64(p.number("limits.memory_mb", 192, 16, 1<<20)) << 20,
		DiskBytes:   int64(p.number("limits.disk_mb", 3, 0.5, 1<<20) * (1 << 20)),
		Sockets:     int(p.number("limits.sockets", 1024, 64, 1<<20)),
		HeadSize:    16 << 10, BodySize: 64 << 10, NameSize: 256,
		Queue: 4096, IdlePerEndpoint: 16,
		AnswerWithin: 300 * time.Millisecond, BusyRetry: 500 * time.Millisecond,
		FrontIdle: 2 * time.Second, FrontRead: 2500 * time.Millisecond, FrontWrite: 2 * time.Second,
		IdleTrustMin: 100 * time.Millisecond, IdleTrustDoubling: 10 * time.Second,
		AnswerRead: 500 * time.Millisecond, MaxInterim: 64, ErrorDelay: 50 * time.Millisecond, FrontLinger: 400 * time.Millisecond,
		// A watch says something every 2 s: two of those are missing. What it misses counts as told 6 s after it fell silent.
		WatchTimeout: 4400 * time.Millisecond, WatchSpread: 800 * time.Millisecond, WatchRetry: 250 * time.Millisecond,
		EndedRetention: 5 * time.Second, MaxEnded: 4096,
		NoticeTimeout: time.Second, NoticeRetry: 100 * time.Millisecond, NoticesPerCall: 200,
		NoticeRetryMax: time.Second, ParallelNotices: 16, MaxRemembered: 20000,
		DrainSends: 2500 * time.Millisecond, DrainExit: 3200 * time.Millisecond,
		DrainLinger: time.Second, DrainClose: 250 * time.Millisecond, WindowMargin: 250 * time.Millisecond,
		CaptureQueue: 8, CaptureChunk: 16 << 10, CaptureWithin: 2 * time.Second,
		PluginStart: time.Second, PluginBudget: 60 * time.Millisecond, PluginGrace: 5 * time.Millisecond,
		PluginStack: 128 << 10, PluginCopyBytes: 256 << 10, PluginThreads: 16, PluginYields: true, PluginBurst: 50 * time.Millisecond, PluginBreakerThreshold: 3,
		PluginBreakerOpen: 500 * time.Millisecond, PluginBreakerOpenMax: time.Minute, PluginBreakerTrials: 5, PluginBreakers: 1024,
		PluginEndQueue: 1024, PluginLines: 10, PluginReason: 256, PluginHeaders: 16, PluginValue: 1024,
		PluginHeaderSize: 4 << 10, PluginSample: 512, PluginRetryAfterMax: time.Minute, PluginSave: 5 * time.Second,
		PluginMemory: int64(p.number("plugin_host.memory_mb", 16, 1, 1<<12)) << 20,
		PluginCache:  int64(p.number("plugin_host.cache_mb", 64, 1, 1<<12)) << 20,
		Round:        set.Round, ConnectTimeout: set.ConnectTimeout,
	}
	// Half of the descriptors are the clients', and what the calls that are out, the journal, the watch and the
	// listeners leave of the rest is for idle ones to endpoints, a quarter at most.
	l.ClientConnections = l.Sockets / 2
	l.IdleEndpoints = max(0, min(l.Sockets/4, l.Sockets-l.ClientConnections-set.Slots-16))
	if l.Round <= 0 {
		l.Round = 5 * time.Millisecond
	}
	if l.ConnectTimeout <= 0 {
		l.ConnectTimeout = 1500 * time.Millisecond
	}
	// A tenth before the other side would close it, so that no request crosses the close; a second where there is as much.
	if l.IdleSocket = set.ConnIdle - max(set.ConnIdle/10, min(time.Second, set.ConnIdle/3)); set.ConnIdle == 0 {
		l.IdleSocket = 10 * time.Second
	}
	// Where the list is pushed, what discovery has to tell at its return counts as told at once: the watch is to be back well
	// within the grace for drains.
	if !set.MustSubscribe && set.DrainGrace > 0 {
		l.WatchRetry = min(l.WatchRetry, set.DrainGrace/4)
	}
	return l
}

// optional reads what is off unless an operator's file sets it up.
func (p *parser) optional(c *Config) {
	if p.root.Get("activitypub").Exists() {
		a := &ActivityPub{Listen: p.must("activitypub.listen"), Actor: p.must("activitypub.actor"),
			KeyFile: p.must("activitypub.key_file"),
			Skew:    p.duration("activitypub.date_skew", 5*time.Minute)}
		a.KeyID = p.text("activitypub.key_id", a.Actor+"#main-key")
		seen := map[int]bool{}
		p.each("activitypub.partners", func(at string) {
			q := Partner{Name: p.must(at + ".name"), Destination: int(p.number(at+".dest", -1, 0, 65535)),
				Kind: p.text(at+".kind", ""), Zone: p.text(at+".zone", ""), Tenant: -1}
			if name := p.text(at+".tenant", ""); name != "" {
				q.Tenant = slices.Index(c.Settings.TenantNames, name)
				p.need(at+".tenant", q.Tenant >= 0, "not a tenant of the settings")
			}
			p.each(at+".inboxes", func(in string) { q.Inboxes = append(q.Inboxes, p.url(in)) })
			p.need(at+".inboxes", len(q.Inboxes) > 0, "no inbox")
			if k := slices.Index(c.Settings.KindNames, q.Kind); k >= 0 && k < len(c.Settings.Kinds) {
				p.need(at+".kind", c.Settings.Kinds[k].PerCall <= 1, "its calls carry several messages; an inbox takes one")
			}
			p.need(at+".dest", !seen[q.Destination], "given to two partners")
			seen[q.Destination] = true
			a.Partners = append(a.Partners, q)
		})
		p.each("activitypub.clients", func(at string) {
			k := Client{Actor: p.must(at + ".actor"), KeyFile: p.must(at + ".key_file"), Inbox: p.url(at + ".inbox")}
			k.KeyID = p.text(at+".key_id", k.Actor+"#main-key")
			a.Clients = append(a.Clients, k)
		})
		p.need("activitypub.partners", len(a.Partners) > 0, "none")
		p.need("activitypub.clients", len(a.Clients) > 0, "none")
		a.Classes = map[string]string{}
		for kind, class := range p.root.Get("activitypub.classes").Map() {
			key := "activitypub.classes." + kind
			a.Classes[kind] = class.String()
			p.need(key, slices.ContainsFunc(c.Settings.Classes, func(k control.Class) bool { return k.Name == class.String() }),
				"no class of that name in settings.lanes")
		}
		p.need("activitypub.classes", len(a.Classes) > 0, "missing: which type of activity is which class")
		c.ActivityPub = a
	}
	if p.root.Get("vrrp").Exists() {
		v := &VRRP{Listen: p.must("vrrp.listen"), VRID: uint8(p.number("vrrp.vrid", -1, 1, 255)),
			Priority:  uint8(p.number("vrrp.priority", 100, 1, 255)),
			Advertise: p.duration("vrrp.advertise", time.Second),
			Preempt:   p.flag("vrrp.preempt", true), Address: p.ip("vrrp.address")}
		p.need("vrrp.advertise", v.Advertise >= 10*time.Millisecond && v.Advertise <= 40950*time.Millisecond,
			"want 10ms to 40.95s")
		p.each("vrrp.peers", func(at string) { v.Peers = append(v.Peers, p.must(at)) })
		p.each("vrrp.virtual", func(at string) { v.Virtual = append(v.Virtual, p.ip(at)) })
		p.need("vrrp", c.ActivityPub != nil, "it opens and shuts the activitypub front, which is off")
		p.need("vrrp.virtual", len(v.Virtual) > 0 && len(v.Virtual) < 256, "want 1 to 255 addresses")
		c.VRRP = v
	}
	p.plugins(c)
	p.peers(c)
	c.Capture = Capture{Dir: p.text("capture.dir", ""), On: p.flag("capture.on", false),
		FileSize: int64(p.number("capture.file_kb", 4096, 64, 1<<20)) << 10,
		DirSize:  int64(p.number("capture.total_mb", 64, 0.25, 1<<20) * (1 << 20))}
	p.need("capture.dir", c.Capture.Dir != "" || !c.Capture.On, "missing: where captures go")
	p.need("capture.total_mb", c.Capture.DirSize >= 2*c.Capture.FileSize, "less than two files of capture.file_kb")
}

// parser reads keys by path and keeps the first error.
type parser struct {
	root gjson.Result
	err  error
}

func (p *parser) fail(key, why string) {
	if p.err == nil {
		p.err = &KeyError{key, why}
	}
}

func (p *parser) need(key string, ok bool, why string) {
	if !ok {
		p.fail(key, why)
	}
}

func (p *parser) text(key, def string) string {
	v := p.root.Get(key)
	if !v.Exists() {
		return def
	}
	p.need(key, v.Type == gjson.String, "want a string")
	return v.String()
}

func (p *parser) must(key string) string {
	v := p.text(key, "")
	p.need(key, v != "", "missing or empty")
	return v
}

func (p *parser) url(key string) string {
	v := p.must(key)
	p.need(key, strings.HasPrefix(v, "http://"), "want a URL with http://")
	return v
}

func (p *parser) ip(key string) net.IP {
	ip := net.ParseIP(p.must(key))
	p.need(key, ip != nil, "want an IP address")
	return ip
}

func (p *parser) flag(key string, def bool) bool {
	v := p.root.Get(key)
	if !v.Exists() {
		return def
	}
	p.need(key, v.IsBool(), "want true or false")
	return v.Bool()
}

func (p *parser) number(key string, def, least, most float64) float64 {
	v := p.root.Get(key)
	if !v.Exists() {
		p.need(key, def >= least, "missing")
		return def
	}
	p.need(key, v.Type == gjson.Number && v.Num >= least && v.Num <= most,
		fmt.Sprintf("want a number from %v to %v", least, most))
	return v.Num
}

func (p *parser) duration(key string, def time.Duration) time.Duration {
	v := p.root.Get(key)
	if !v.Exists() {
		return def
	}
	d, err := time.ParseDuration(v.String())
	p.need(key, err == nil && d > 0, `want a duration such as "250ms"`)
	return d
}

func (p *parser) each(key string, do func(at string)) {
	v := p.root.Get(key)
	p.need(key, !v.Exists() || v.IsArray(), "want a list")
	for i := range v.Array() {
		do(fmt.Sprintf("%s.%d", key, i))
	}
}
