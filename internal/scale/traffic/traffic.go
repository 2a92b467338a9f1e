// Package traffic counts bytes, messages and connections between schedulers and their environment by purpose, at the
// ends outside the schedulers. It counts socket payload only, without TCP, UDP or IP headers; the packages of the scale
// measurements use it.
package traffic

import (
	"net"
	"sync/atomic"
)

// Kind is the purpose of traffic.
type Kind uint8

// Kinds of traffic. The first four are control traffic; the others belong to jobs.
const (
	List          Kind = iota // the worker list, from discovery to a scheduler
	Probe                     // probes of workers and the load reports in their responses
	Peer                      // messages between schedulers
	Configuration             // configuration files that a scheduler reads
	Job                       // jobs sent to workers, and their cancellations
	Callback                  // callbacks of workers about jobs
	Client                    // requests of clients and their answers
	KindCount                 // number of kinds
)

// ControlKinds returns the kinds of control traffic.
func ControlKinds() []Kind { return []Kind{List, Probe, Peer, Configuration} }

var kindNames = [KindCount]string{"list", "probe", "peer", "configuration", "job", "callback", "client"}

// String returns the kind's name in results.
func (k Kind) String() string { return kindNames[k] }

// Amount is the traffic of one kind, from the schedulers' point of view.
type Amount struct {
	BytesIn     uint64 // to the schedulers
	BytesOut    uint64 // from the schedulers
	Messages    uint64 // requests, datagrams or lines
	Connections uint64 // opened
}

// Totals holds the traffic so far by kind.
type Totals [KindCount]Amount

// Sub returns the traffic since an earlier reading.
func (t Totals) Sub(before Totals) Totals {
	for k := range t {
		t[k].BytesIn -= before[k].BytesIn
		t[k].BytesOut -= before[k].BytesOut
		t[k].Messages -= before[k].Messages
		t[k].Connections -= before[k].Connections
	}
	return t
}

// Counter counts traffic by kind. Its methods may be called from any goroutine.
type Counter struct{ kinds [KindCount]counts }

type counts struct{ in, out, messages, connections atomic.Uint64 }

// Totals returns the traffic counted so far.
func (c *Counter) Totals() (t Totals) {
	for k := range c.kinds {
		n := &c.kinds[k]
		t[k] = Amount{BytesIn: n.in.Load(), BytesOut: n.out.Load(), Messages: n.messages.Load(), Connections: n.connections.Load()}
	}
	return t
}

// AddIn counts bytes to a scheduler.
func (c *Counter) AddIn(k Kind, bytes int) { c.kinds[k].in.Add(uint64(bytes)) }

// AddOut counts bytes from a scheduler.
func (c *Counter) AddOut(k Kind, bytes int) { c.kinds[k].out.Add(uint64(bytes)) }

// AddMessage counts a message in either direction.
func (c *Counter) AddMessage(k Kind) { c.kinds[k].messages.Add(1) }

// AddConnection counts an opened connection.
func (c *Counter) AddConnection(k Kind) { c.kinds[k].connections.Add(1) }

// Conn counts the traffic on a connection whose other end is a scheduler.
type Conn struct {
	net.Conn
	counter      *Counter
	kindKnown    atomic.Bool   // all bytes read are of one kind
	connCounted  atomic.Bool   // the connection itself has been counted
	kind         atomic.Uint32 // of bytes written, and of bytes read if kindKnown
	pendingBytes atomic.Int64  // bytes read whose kind is not known yet
}

// WrapConn counts a connection whose traffic is all of one kind.
func (c *Counter) WrapConn(nc net.Conn, k Kind) *Conn {
	conn := &Conn{Conn: nc, counter: c}
	conn.kind.Store(uint32(k))
	conn.kindKnown.Store(true)
	conn.connCounted.Store(true)
	c.AddConnection(k)
	return conn
}

// WrapMixedConn counts a connection that receives requests of several kinds, one after another. BeginRequest sets the
// kind of each.
func (c *Counter) WrapMixedConn(nc net.Conn) *Conn { return &Conn{Conn: nc, counter: c} }

// BeginRequest sets the kind of the request whose head has been read and of its response. The connection counts for the
// kind of its first request.
func (c *Conn) BeginRequest(k Kind) {
	c.kind.Store(uint32(k))
	c.counter.AddOut(k, int(c.pendingBytes.Swap(0)))
	c.counter.AddMessage(k)
	if !c.connCounted.Swap(true) {
		c.counter.AddConnection(k)
	}
}

// EndRequest counts the rest of the request's bytes, after its body has been read.
func (c *Conn) EndRequest() { c.counter.AddOut(Kind(c.kind.Load()), int(c.pendingBytes.Swap(0))) }

// Read implements net.Conn.
func (c *Conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if c.kindKnown.Load() {
		c.counter.AddOut(Kind(c.kind.Load()), n)
	} else {
		c.pendingBytes.Add(int64(n))
	}
	return n, err
}

// Write implements net.Conn.
func (c *Conn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.counter.AddIn(Kind(c.kind.Load()), n)
	return n, err
}
