package faktory

import (
	"bufio"
	"crypto/sha256"
	"encoding/gob"
	"errors"
	"fmt"
	"net"
	"os"
	"sync"

	"golang.org/x/sys/unix"

	"cobaltflow/internal/config"
	"cobaltflow/internal/core"
	"cobaltflow/internal/jobs"
)

// Two processes of one scheduler may serve the same addresses, but only one of them owns the Faktory front's jobs: the one
// that listens at the owner's socket, a Unix socket in the abstract namespace. Its name exists once in a network namespace,
// as the address of the front does, needs no directory, and is free again however the process ends.

// ownerAddress returns the owner's socket of the scheduler that the configuration describes.
func ownerAddress(conf *config.Config) *net.UnixAddr {
	sum := sha256.Sum256([]byte(conf.Name + "\n" + conf.Faktory.Listen))
	return &net.UnixAddr{Net: "unix", Name: fmt.Sprintf("@cobaltflow-faktory-%x", sum[:16])}
}

// isShareable reports whether another process can listen at the front's address: it names a port.
func isShareable(conf *config.Config) bool {
	_, port, err := net.SplitHostPort(conf.Faktory.Listen)
	return err == nil && port != "0"
}

// listenAsOwner opens the owner's socket. The error is EADDRINUSE while another process owns the jobs.
func listenAsOwner(address *net.UnixAddr) (*net.UnixListener, error) {
	return net.ListenUnix("unix", address)
}

// dialOwner connects to the process that owns the jobs. The error is ECONNREFUSED if there is none.
func dialOwner(address *net.UnixAddr) (*handoverConn, error) {
	nc, err := net.DialUnix("unix", nil, address)
	if err != nil {
		return nil, err
	}
	return newHandoverConn(nc)
}

// handoverMessage is a message between a process and its successor, as package gob encodes it. One of its fields is set, or none
// in the owner's last message.
type handoverMessage struct {
	Hello      *handoverHello
	Registered bool // owner: the answer to Hello, a handover goes to a registered process
	Begin      *handoverBegin
	Accepted   bool // successor: the answer to Begin, it takes over the jobs even if it is about to end
	Jobs       []jobs.Record
	Complete   bool // owner: the successor owns all jobs; the owner's socket comes with the message
	Listening  bool // successor: it accepts connections at the front's address
	Report     *remoteReport
	Outcome    *reportOutcome
}

// handoverVersion is the version of the messages. A process does not hand its jobs over to one of another version.
const handoverVersion = 1

// handoverHello is the successor's first message.
type handoverHello struct{ Version int }

// handoverBegin comes before the jobs.
type handoverBegin struct {
	ClockOffset  core.Time // from the machine's clock to the one of the records' times
	PausedQueues []string
	Classes      []string // by the numbers in the records; the successor's settings may number them otherwise
	// UncertainUntil is when new jobs may be accepted again, on the records' clock; see Front.uncertainUntil.
	UncertainUntil core.Time
}

// remoteReport is a worker's ACK or FAIL that came to the successor.
type remoteReport struct {
	Token        uint64
	Worker, Verb string
	Argument     []byte
}

// reportOutcome is the owner's reply to a remoteReport: whether the worker held that job.
type reportOutcome struct {
	Token   uint64
	IsKnown bool
}

// handoverConn is a connection between a process and its successor. Send may be called from any goroutine; one goroutine
// receives.
type handoverConn struct {
	conn    *net.UnixConn
	decoder *gob.Decoder
	input   *descriptorReader

	mu        sync.Mutex
	outbox    []outgoingHandover
	isWriting bool
	encoder   *gob.Encoder
	output    *descriptorWriter
}

// outgoingHandover is a message to be written.
type outgoingHandover struct {
	message *handoverMessage
	socket  *os.File    // sent with the message; nil: none
	done    func(error) // called from the writer's goroutine; may be nil
}

var errOtherUser = errors.New("the process at the other end belongs to another user")

// newHandoverConn returns a connection, or closes it if the process at its other end belongs to another user.
func newHandoverConn(nc *net.UnixConn) (*handoverConn, error) {
	if err := checkPeerUser(nc); err != nil {
		nc.Close()
		return nil, err
	}
	c := &handoverConn{conn: nc, input: &descriptorReader{conn: nc}, output: &descriptorWriter{conn: nc}}
	c.decoder = gob.NewDecoder(bufio.NewReader(c.input))
	c.encoder = gob.NewEncoder(c.output)
	return c, nil
}

// checkPeerUser returns an error unless the process at the other end belongs to the same user as this one.
func checkPeerUser(nc *net.UnixConn) error {
	raw, err := nc.SyscallConn()
	if err != nil {
		return err
	}
	var peer *unix.Ucred
	var optionErr error
	if err := raw.Control(func(fd uintptr) {
		peer, optionErr = unix.GetsockoptUcred(int(fd), unix.SOL_SOCKET, unix.SO_PEERCRED)
	}); err != nil {
		return err
	}
	if optionErr == nil && int(peer.Uid) != os.Getuid() {
		return errOtherUser
	}
	return optionErr
}

// send queues a message and never blocks: a goroutine writes it.
func (c *handoverConn) send(o outgoingHandover) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.outbox = append(c.outbox, o)
	if !c.isWriting {
		c.isWriting = true
		go c.write()
	}
}

func (c *handoverConn) write() {
	for {
		c.mu.Lock()
		if len(c.outbox) == 0 {
			c.isWriting = false
			c.mu.Unlock()
			return
		}
		next := c.outbox[0]
		c.outbox = c.outbox[1:]
		c.mu.Unlock()
		c.output.socket = next.socket
		err := c.encoder.Encode(next.message)
		if next.socket != nil {
			next.socket.Close()
		}
		if next.done != nil {
			next.done(err)
		}
	}
}

// isIdle reports whether all messages are written.
func (c *handoverConn) isIdle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.isWriting
}

// receive waits for the next message.
func (c *handoverConn) receive() (*handoverMessage, error) {
	m := &handoverMessage{}
	if err := c.decoder.Decode(m); err != nil {
		return nil, err
	}
	return m, nil
}

// takeSocket returns the listening socket that has come with a message.
func (c *handoverConn) takeSocket() (*net.UnixListener, error) {
	if len(c.input.descriptors) == 0 {
		return nil, errors.New("the message came without the owner's socket")
	}
	file := os.NewFile(uintptr(c.input.descriptors[0]), "owner's socket")
	c.input.descriptors = c.input.descriptors[1:]
	defer file.Close()
	listener, err := net.FileListener(file)
	if err != nil {
		return nil, err
	}
	return listener.(*net.UnixListener), nil
}

func (c *handoverConn) close() { c.conn.Close() }

// descriptorReader reads from a Unix socket and keeps the descriptors that come with the bytes.
type descriptorReader struct {
	conn        *net.UnixConn
	descriptors []int
}

func (r *descriptorReader) Read(p []byte) (int, error) {
	control := make([]byte, unix.CmsgSpace(4))
	n, controlLen, _, _, err := r.conn.ReadMsgUnix(p, control)
	if controlLen > 0 {
		messages, parseErr := unix.ParseSocketControlMessage(control[:controlLen])
		for i := 0; i < len(messages) && parseErr == nil; i++ {
			var descriptors []int
			descriptors, parseErr = unix.ParseUnixRights(&messages[i])
			r.descriptors = append(r.descriptors, descriptors...)
		}
		err = errors.Join(err, parseErr)
	}
	return max(n, 0), err // after an error n may be negative
}

// descriptorWriter writes to a Unix socket, and sends a descriptor with the next bytes.
type descriptorWriter struct {
	conn   *net.UnixConn
	socket *os.File
}

func (w *descriptorWriter) Write(p []byte) (int, error) {
	if w.socket == nil {
		return w.conn.Write(p)
	}
	raw, err := w.socket.SyscallConn()
	if err != nil {
		return 0, err
	}
	var rights []byte
	if err := raw.Control(func(fd uintptr) { rights = unix.UnixRights(int(fd)) }); err != nil {
		return 0, err
	}
	n, _, err := w.conn.WriteMsgUnix(p, rights, nil)
	w.socket = nil
	if err != nil || n == len(p) {
		return n, err
	}
	rest, err := w.conn.Write(p[n:])
	return n + rest, err
}
