// Package config is the one place where configuration is read, checked and given defaults: the
// environment, the platform's JSON file, and the project's own file under deploy/. Every fault
// names the key it was found at.
package config

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"reflect"
	"slices"
	"strconv"
	"strings"

	"cobaltflow/deploy"
	"cobaltflow/internal/log"
	"cobaltflow/internal/ownership"
	"cobaltflow/internal/wire"
	"cobaltflow/rules"
)

// Names of the environment's keys.
const (
	EnvName      = "RELAY_NAME"
	EnvListen    = "RELAY_LISTEN"
	EnvDiscovery = "RELAY_DISCOVERY"
	EnvConfig    = "RELAY_CONFIG"
	EnvAdmin     = "RELAY_ADMIN"
)

// Config is all that a scheduler is told.
type Config struct {
	Name             string
	Listen           string
	Discovery        string
	DiscoveryIsLocal bool   // discovery is an agent on our own machine, which costs nothing to ask
	Admin            string // the operators' address; empty: there is none
	Seed             uint64
	Limits           Limits
	KnownWorkers     json.RawMessage // the last list, in discovery's form
	Peers            Peers
	Settings         rules.Settings
	Names            Names
	Faktory          Faktory
	HTTP2            HTTP2
	Sites            Sites
	Ownership        *ownership.Settings // nil: the fleet is not divided
	Log              log.Settings
	Warnings         []string // what was read otherwise than it may seem; for the log

	// StateFolder is where files stand that this scheduler's processes share; empty: the system's folder for temporary
	// files ($TMPDIR).
	StateDir string

	projectPath string // the project's own
}

// Peers are the other schedulers, and how to send them messages. Listen is empty where that is off.
type Peers struct {
	Listen string
	Group  netip.AddrPort   // reaches all
	ByRank []netip.AddrPort // by rank, our own among them
}

// Limits of the process.
type Limits struct {
	Cores    float64
	MemoryMB int
	Sockets  int
}

// Names turn the words on the sockets into the numbers of the decisions.
type Names struct {
	Classes, Zones, Kinds []string
	ConnIdleTimeout       rules.Time // a worker closes a connection that stood idle for so long

	tenants map[string]int // numbers from 1
}

// Class gives the number of a class by its name; -1: unknown.
func (n *Names) Class(name string) int { return slices.Index(n.Classes, name) }

// Tenant gives the number of a tenant by its name, from 1. 0: the settings know none of that name, and what it asks
// for counts against nobody's share.
func (n *Names) Tenant(name []byte) int { return n.tenants[string(name)] }

// nameTenants takes the tenants' names, in the order of their numbers.
func (n *Names) setTenants(names []string, key string) error {
	n.tenants = make(map[string]int, len(names))
	for i, name := range names {
		if name == "" {
			return newError(fmt.Sprintf("%s.%d.name", key, i), "missing")
		}
		if n.tenants[name] > 0 {
			return newError(fmt.Sprintf("%s.%d.name", key, i), "%q stands twice", name)
		}
		n.tenants[name] = i + 1
	}
	return nil
}

// Error is a fault at a key.
type Error struct{ Key, Text string }

func (e *Error) Error() string { return e.Key + ": " + e.Text }

func newError(key, format string, args ...any) error {
	return &Error{key, fmt.Sprintf(format, args...)}
}

type platformFile struct {
	Name      string          `json:"name"`
	Listen    string          `json:"listen"`
	Discovery string          `json:"discovery"`
	Admin     string          `json:"admin"`
	Seed      string          `json:"seed"`
	Limits    limitsSection   `json:"limits"`
	Known     json.RawMessage `json:"known"`

	PeerListen string          `json:"peer_listen"`
	Peers      []string        `json:"peers"`
	PeersAll   string          `json:"peers_all"`
	Settings   json.RawMessage `json:"settings"`
}

// Load reads the configuration: the platform's file and the project's own, or its embedded example. The
// environment goes first, then the platform's file, then the section scheduler of the project's own.
// own is the path of the project's file; it may be absent where the platform tells the rest, unless
// needed says that somebody named it.
func Load(getenv func(string) string, own string, needed bool) (*Config, error) {
	file, err := readProjectFile(own, needed)
	if err != nil {
		return nil, err
	}
	return load(getenv, file, own, false)
}

// LoadExample gives the configuration of the embedded example.
func LoadExample() (*Config, error) {
	file := &projectFile{}
	if err := file.parse(deploy.Example); err != nil {
		return nil, err
	}
	return load(func(string) string { return "" }, file, "", false)
}

func load(getenv func(string) string, file *projectFile, own string, again bool) (*Config, error) {
	c, err := read(getenv, file.Scheduler, again)
	if err != nil {
		return nil, err
	}
	c.Log, c.Sites, c.projectPath = file.Log, file.Sites, own
	if err := c.readOwnership(file.Ownership); err != nil {
		return nil, err
	}
	if err := c.readHTTP2(file.HTTP2); err != nil {
		return nil, err
	}
	return c, c.readFaktory(file.Faktory)
}

// Reload reads the files again for a program that runs. What the environment says of discovery is from
// the start: the new file goes before it. The other fronts' parts are kept as they are.
func (c *Config) Reload(getenv func(string) string) (*Config, error) {
	file, err := readProjectFile(c.projectPath, false)
	if err != nil {
		return nil, err
	}
	next, err := load(getenv, file, c.projectPath, true)
	if err != nil {
		return nil, err
	}
	next.Faktory, next.HTTP2 = c.Faktory, c.HTTP2
	if err := errors.Join(next.checkFaktory(), next.checkHTTP2()); err != nil { // by the new limits
		return nil, err
	}
	return next, nil
}

// Unchangeable names the keys in which next differs but which a running program keeps.
func (c *Config) RestartRequired(next *Config) (keys []string) {
	for _, k := range []struct {
		key     string
		differs bool
	}{
		{"name", c.Name != next.Name},
		{"listen", c.Listen != next.Listen},
		{"admin", c.Admin != next.Admin},
		{"settings", !reflect.DeepEqual(c.Settings, next.Settings) || !reflect.DeepEqual(c.Names, next.Names)},
	} {
		if k.differs {
			keys = append(keys, k.key)
		}
	}
	return keys
}

// read takes the platform's file, or where there is none the scheduler section of the project's own.
func read(getenv func(string) string, section *schedulerSection, again bool) (*Config, error) {
	var doc platformFile
	prefix := ""
	if getenv(EnvConfig) != "" {
		section = nil
	}
	if section != nil {
		prefix = "scheduler."
		doc = platformFile{Name: section.Name, Listen: section.Listen, Discovery: section.Discovery, Admin: section.Admin, Seed: section.Seed,
			Limits: section.Limits}
	}
	if path := getenv(EnvConfig); path != "" {
		if err := readPlatformFile(path, &doc); err != nil {
			return nil, err
		}
	}
	c := &Config{
		Name:         firstNonEmpty(getenv(EnvName), doc.Name),
		Listen:       firstNonEmpty(getenv(EnvListen), doc.Listen),
		Discovery:    firstNonEmpty(getenv(EnvDiscovery), doc.Discovery),
		Admin:        firstNonEmpty(getenv(EnvAdmin), doc.Admin),
		Limits:       Limits{Cores: 1, MemoryMB: 192, Sockets: 1024},
		KnownWorkers: doc.Known,
	}
	if again {
		c.Discovery = firstNonEmpty(doc.Discovery, c.Discovery)
	}
	if c.Name == "" {
		return nil, newError(prefix+"name", "missing (or %s); without a platform's file the section \"scheduler\" of --config tells it", EnvName)
	}
	if err := c.checkAddresses(prefix, section == nil); err != nil {
		return nil, err
	}
	if doc.Seed != "" {
		n, err := strconv.ParseUint(doc.Seed, 16, 64)
		if err != nil {
			return nil, newError(prefix+"seed", "%q is not up to 16 hexadecimal digits", doc.Seed)
		}
		c.Seed = n
	}
	if err := c.readLimits(prefix, &doc); err != nil {
		return nil, err
	}
	if section != nil {
		return c, c.readScheduler(section)
	}
	if err := c.readSettings(doc.Settings); err != nil {
		return nil, err
	}
	if err := c.readPeers(&doc); err != nil {
		return nil, err
	}
	if c.Settings.SlowStartWindow == 0 {
		c.Warnings = append(c.Warnings, "settings.rules.warmWithinUs is absent: a new worker counts as cold for 30 s, and its first jobs wait")
	}
	return c, nil
}

// readDocument reads the platform's file.
func readPlatformFile(path string, doc *platformFile) error {
	text, err := os.ReadFile(path)
	if err != nil {
		return newError(EnvConfig, "%v", err)
	}
	if err := json.Unmarshal(text, doc); err != nil {
		var typed *json.UnmarshalTypeError
		if errors.As(err, &typed) {
			return newError(typed.Field, "a %s can't stand here", typed.Value)
		}
		return newError(EnvConfig, "%v", err)
	}
	return nil
}

// checkAddresses checks the addresses; prefix stands before the keys that its errors name. discovered tells that the
// workers come from discovery, which needs an address then.
func (c *Config) checkAddresses(prefix string, discovered bool) error {
	for _, a := range []struct{ key, env, value string }{
		{"listen", EnvListen, c.Listen}, {"discovery", EnvDiscovery, c.Discovery},
	} {
		if a.value == "" && a.key == "discovery" && !discovered {
			continue // the workers that the section names are all there are
		}
		if a.value == "" {
			return newError(prefix+a.key, "missing (or %s)", a.env)
		}
		if err := checkAddress(a.value); err != nil {
			return newError(prefix+a.key, "%v", err)
		}
	}
	if c.Admin != "" {
		if err := checkAddress(c.Admin); err != nil {
			return newError(prefix+"admin", "%v", err)
		}
		if c.Admin == c.Listen {
			return newError(prefix+"admin", "%s is the clients' address too; the operators' must be another", c.Admin)
		}
	}
	return nil
}

// readLimits takes the limits of a document over.
func (c *Config) readLimits(prefix string, doc *platformFile) error {
	if v := doc.Limits.Cores; v != nil {
		if c.Limits.Cores = *v; *v <= 0 {
			return newError(prefix+"limits.cores", "%v is not above 0", *v)
		}
	}
	if v := doc.Limits.MemoryMB; v != nil {
		if c.Limits.MemoryMB = *v; *v < 32 {
			return newError(prefix+"limits.memory_mb", "%d is under 32", *v)
		}
	}
	if v := doc.Limits.Sockets; v != nil {
		if c.Limits.Sockets = *v; *v < 64 {
			return newError(prefix+"limits.sockets", "%d is under 64", *v)
		}
	}
	return nil
}

// peers reads how to reach the other schedulers. Without addresses nothing is told, and a note says so.
func (c *Config) readPeers(doc *platformFile) error {
	s := &c.Settings
	if !s.MayBroadcast || s.GroupSize < 2 {
		s.MayBroadcast = false
		return nil
	}
	if doc.PeerListen == "" || doc.PeersAll == "" || len(doc.Peers) == 0 {
		s.MayBroadcast = false
		c.Warnings = append(c.Warnings, "peer_listen, peers or peers_all is absent: nothing is told to the other schedulers, nor heard of them")
		return nil
	}
	if len(doc.Peers) != s.GroupSize {
		return newError("peers", "%d addresses, but settings.groupSize is %d", len(doc.Peers), s.GroupSize)
	}
	if s.Rank < 0 || s.Rank >= s.GroupSize {
		return newError("settings.rank", "%d is not from 0 to %d, one under settings.groupSize", s.Rank, s.GroupSize-1)
	}
	var err error
	for i, text := range doc.Peers {
		a, err := netip.ParseAddrPort(text)
		if err != nil {
			return newError(fmt.Sprintf("peers.%d", i), "%q is not address:port", text)
		}
		if slices.Contains(c.Peers.ByRank, a) {
			return newError(fmt.Sprintf("peers.%d", i), "%s stands twice", text)
		}
		c.Peers.ByRank = append(c.Peers.ByRank, a)
	}
	if c.Peers.Group, err = netip.ParseAddrPort(doc.PeersAll); err != nil {
		return newError("peers_all", "%q is not address:port", doc.PeersAll)
	}
	if err := checkAddress(doc.PeerListen); err != nil {
		return newError("peer_listen", "%v", err)
	}
	c.Peers.Listen = doc.PeerListen
	return nil
}

func firstNonEmpty(values ...string) string {
	for _, v := range values {
		if v != "" {
			return v
		}
	}
	return ""
}

func checkAddress(s string) error {
	a, err := netip.ParseAddrPort(s)
	if err != nil {
		return fmt.Errorf("%q is not address:port", s)
	}
	if !a.Addr().IsValid() {
		return fmt.Errorf("%q has no address", s)
	}
	return nil
}

// settings flattens the nested object into the simulator's path=value and has it read as there.
func (c *Config) readSettings(text json.RawMessage) error {
	if len(text) == 0 || string(text) == "null" {
		return newError("settings", "missing")
	}
	var tree any
	d := json.NewDecoder(bytes.NewReader(text))
	d.UseNumber()
	if err := d.Decode(&tree); err != nil {
		return newError("settings", "%v", err)
	}
	root, ok := tree.(map[string]any)
	if !ok {
		return newError("settings", "not an object")
	}
	var fields []string
	flatten("", root, &fields)
	s, err := wire.ParseSettings(fields)
	if err != nil {
		// The reader's words are "setting PATH: what is wrong".
		path, text, _ := strings.Cut(strings.TrimPrefix(err.Error(), "setting "), ": ")
		return newError("settings."+path, "%s", text)
	}
	c.Settings, c.DiscoveryIsLocal = s, root["discovery"] == "push"
	c.Names.Zones, c.Names.Kinds = stringList(root["dcs"]), stringList(root["kinds"])
	if err := c.readNames(root); err != nil {
		return err
	}
	for i, class := range s.Classes {
		if class.Deadline <= 0 {
			return newError(fmt.Sprintf("settings.classes.%d.deadlineUs", i), "missing or not above 0")
		}
	}
	return c.readConnIdle(root)
}

// readNames reads the names of tenants and classes.
func (c *Config) readNames(root map[string]any) error {
	var tenants []string
	list, _ := root["tenants"].([]any)
	for _, item := range list {
		tenants = append(tenants, itemName(item))
	}
	if err := c.Names.setTenants(tenants, "settings.tenants"); err != nil {
		return err
	}
	classes, _ := root["classes"].([]any)
	for i, item := range classes {
		name := itemName(item)
		if name == "" {
			return newError(fmt.Sprintf("settings.classes.%d.name", i), "missing")
		}
		if c.Names.Class(name) >= 0 {
			return newError(fmt.Sprintf("settings.classes.%d.name", i), "%q stands twice", name)
		}
		c.Names.Classes = append(c.Names.Classes, name)
	}
	if len(c.Names.Classes) == 0 {
		return newError("settings.classes", "none are given")
	}
	return nil
}

// readConnIdle reads for how long a worker keeps an idle connection.
func (c *Config) readConnIdle(root map[string]any) error {
	c.Names.ConnIdleTimeout = 60_000_000
	if caps, ok := root["caps"].(map[string]any); ok {
		if n, ok := caps["connIdleUs"].(json.Number); ok {
			v, err := n.Int64()
			if err != nil || v <= 0 {
				return newError("settings.caps.connIdleUs", "%q is no length of time", n)
			}
			c.Names.ConnIdleTimeout = v
		}
	}
	return nil
}

// nameOf gives the name of an item of a list of objects.
func itemName(item any) string {
	m, _ := item.(map[string]any)
	name, _ := m["name"].(string)
	return name
}

func stringList(v any) (out []string) {
	list, _ := v.([]any)
	for _, item := range list {
		out = append(out, fmt.Sprint(item))
	}
	return out
}

func flatten(path string, v any, out *[]string) {
	switch v := v.(type) {
	case map[string]any:
		for key, item := range v {
			if path != "" {
				key = path + "." + key
			}
			flatten(key, item, out)
		}
	case []any:
		nested := slices.ContainsFunc(v, func(x any) bool { _, ok := x.(map[string]any); return ok })
		if !nested {
			*out = append(*out, path+"="+strings.Join(stringList(v), ","))
			return
		}
		*out = append(*out, path+".count="+strconv.Itoa(len(v)))
		for i, item := range v {
			flatten(path+"."+strconv.Itoa(i), item, out)
		}
	case nil:
		*out = append(*out, path+"=-")
	default:
		*out = append(*out, path+"="+fmt.Sprint(v))
	}
}
