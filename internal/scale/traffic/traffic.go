// Package traffic counts the bytes, messages and connections between schedulers and their surroundings by what they
// are for, at the ends outside the schedulers. It counts payload of sockets alone: no headers of TCP, UDP or IP.
package traffic

import (
	"net"
	"sync/atomic"
)

// Kind is what a byte was sent for.
type Kind uint8

// The kinds of traffic. The first four are control; the others are the payload of jobs.
const (
	List          Kind = iota // the worker list, between discovery and a scheduler
	Probe                     // probes of workers and the load reports in their answers
	Peer                      // messages between schedulers
	Configuration             // configuration files, read by a scheduler
	Job                       // jobs sent to workers, and their withdrawals
	Callback                  // what workers tell of jobs
	Client                    // clients' requests and their answers
	KindCount
)

// Control lists the kinds that are no payload of jobs.
func ControlKinds() []Kind { return []Kind{List, Probe, Peer, Configuration} }

var kindNames = [KindCount]string{"list", "probe", "peer", "configuration", "job", "callback", "client"}

// String is the kind's name in results.
func (k Kind) String() string { return kindNames[k] }

// Amount is what has passed of one kind, as the schedulers see it.
type Amount struct {
	BytesIn     uint64 // to the schedulers
	BytesOut    uint64 // from the schedulers
	Messages    uint64 // requests, datagrams or lines
	Connections uint64 // opened
}

// Totals is what has passed, by kind.
type Totals [KindCount]Amount

// Since is what has passed after an earlier reading.
func (t Totals) Sub(before Totals) Totals {
	for k := range t {
		t[k].BytesIn -= before[k].BytesIn
		t[k].BytesOut -= before[k].BytesOut
		t[k].Messages -= before[k].Messages
		t[k].Connections -= before[k].Connections
	}
	return t
}

// Counter counts by kind. Its methods may be called from any goroutine.
type Counter struct{ kinds [KindCount]counts }

type counts struct{ in, out, messages, connections atomic.Uint64 }

// Totals reads the counter.
func (c *Counter) Totals() (t Totals) {
	for k := range c.kinds {
		n := &c.kinds[k]
		t[k] = Amount{BytesIn: n.in.Load(), BytesOut: n.out.Load(), Messages: n.messages.Load(), Connections: n.connections.Load()}
	}
	return t
}

// In counts bytes to a scheduler.
func (c *Counter) AddIn(k Kind, bytes int) { c.kinds[k].in.Add(uint64(bytes)) }

// Out counts bytes from a scheduler.
func (c *Counter) AddOut(k Kind, bytes int) { c.kinds[k].out.Add(uint64(bytes)) }

// Message counts a message in either direction.
func (c *Counter) AddMessage(k Kind) { c.kinds[k].messages.Add(1) }

// Connection counts a connection that was opened.
func (c *Counter) AddConnection(k Kind) { c.kinds[k].connections.Add(1) }

// Conn counts what passes on a connection whose other end is a scheduler.
type Conn struct {
	net.Conn
	counter      *Counter
	kindKnown    atomic.Bool   // the kind of what is read next is known
	connCounted  atomic.Bool   // the connection itself is
	kind         atomic.Uint32 // of what is written, and of what is read while sorted
	pendingBytes atomic.Int64  // bytes read whose kind is not known yet
}

// Of counts a connection that serves one kind alone.
func (c *Counter) WrapConn(nc net.Conn, k Kind) *Conn {
	conn := &Conn{Conn: nc, counter: c}
	conn.kind.Store(uint32(k))
	conn.kindKnown.Store(true)
	conn.connCounted.Store(true)
	c.AddConnection(k)
	return conn
}

// Mixed counts a connection that takes requests of several kinds, one after another; Begin tells of which kind each is.
func (c *Counter) WrapMixedConn(nc net.Conn) *Conn { return &Conn{Conn: nc, counter: c} }

// Begin gives the kind of the request whose head has been read, and of the answer to it. The connection counts to the
// kind of its first request.
func (c *Conn) BeginRequest(k Kind) {
	c.kind.Store(uint32(k))
	c.counter.AddOut(k, int(c.pendingBytes.Swap(0)))
	c.counter.AddMessage(k)
	if !c.connCounted.Swap(true) {
		c.counter.AddConnection(k)
	}
}

// End counts the rest of the request's bytes to its kind, once its body has been read.
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
