package flood

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"sync/atomic"
	"time"
)

const (
	largestBody       = 64 << 10
	hugeBody          = 60 << 20
	largestJob        = 1 << 20
	slowParts         = 8
	slowWithin        = 1600 * time.Millisecond
	pipelinedRequests = 40
	writeBatch        = 16                     // requests of a full-speed flood in one write
	longestStay       = 32 * time.Millisecond  // before the client of a request that comes again leaves
	writeBufferBytes  = 64 << 10               // of a client's system: what the scheduler does not read waits there
	reconnectPause    = 2 * time.Millisecond   // between the connections of one client
	refusedPause      = 10 * time.Millisecond  // after a connection that could not be opened
	stayPeriod        = 100 * time.Millisecond // between two looks at whether a play has ended
	mixedPeriod       = time.Second
)

// misbehaving are the clients of a flood.
type misbehaving struct {
	address    string
	seed       uint64
	started    time.Time
	departures *departures

	serial  atomic.Int64
	written atomic.Int64 // messages
}

// run plays one client, which connects again and again until the context ends.
func (m *misbehaving) run(ctx context.Context, kind Kind, client int) {
	rng := rand.New(rand.NewPCG(m.seed, uint64(client)+1<<32))
	for ctx.Err() == nil {
		present := kind
		if kind == Mixed {
			turn := int(time.Since(m.started) / mixedPeriod)
			present = mixable[(client+turn+int(m.seed))%len(mixable)]
		}
		conn, err := net.DialTimeout("tcp", m.address, time.Second)
		if err != nil {
			pause(ctx, refusedPause)
			continue
		}
		conn.(*net.TCPConn).SetWriteBuffer(writeBufferBytes)
		stop := context.AfterFunc(ctx, func() { conn.SetDeadline(time.Now()) })
		until := time.Time{}
		if kind == Mixed {
			until = m.started.Add(time.Since(m.started).Truncate(mixedPeriod) + mixedPeriod)
			conn.SetDeadline(until)
		}
		m.play(ctx, present, conn, rng)
		stop()
		conn.Close()
		pause(ctx, reconnectPause)
	}
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// play misbehaves on one connection, until that has ended or the client leaves.
func (m *misbehaving) play(ctx context.Context, kind Kind, conn net.Conn, rng *rand.Rand) {
	switch kind {
	case HalfBody:
		head := m.request(largestBody)
		conn.Write(head[:len(head)-largestBody/2])
		io.Copy(io.Discard, conn) // until the scheduler ends the connection
	case SlowBody:
		m.writeSlowly(ctx, conn)
	case LargeRequests:
		m.writeRepeatedly(conn, func() []byte { return m.request(largestBody) })
	case SmallRequests:
		m.writeRepeatedly(conn, func() []byte { return m.requests(writeBatch) })
	case HugeBody:
		go io.Copy(io.Discard, conn)
		fmt.Fprintf(conn, "POST /move/k HTTP/1.1\r\nHost: x\r\nX-Correlation-Id: %s\r\nX-Time-Left-Ms: 5000\r\nContent-Length: %d\r\n\r\n", m.nextID(), hugeBody)
		io.CopyN(conn, endless{}, hugeBody)
	case Unreadable:
		noise := make([]byte, 4096)
		for i := range noise {
			noise[i] = byte(rng.Uint32())
		}
		m.writeRepeatedly(conn, func() []byte { return noise })
	case ManyFields:
		io.WriteString(conn, "POST /move/k HTTP/1.1\r\nHost: x\r\n")
		fields := bytes.Repeat([]byte("a:b\r\n"), 512)
		m.writeRepeatedly(conn, func() []byte { return fields })
	case Callbacks:
		m.writeRepeatedly(conn, func() []byte {
			text := fmt.Sprintf(`{"id":%q,"from":"table-0","state":"done","result":"r"}`, m.nextID())
			return fmt.Appendf(nil, "POST /v1/job-events HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", len(text), text)
		})
	case UnreadAnswers:
		for {
			if _, err := conn.Write(m.requests(writeBatch)); err != nil {
				return
			}
			m.written.Add(writeBatch)
		}
	case ConnectAndLeave:
	case PipelineAndGo:
		m.pipelineAndGo(conn)
	case FaktoryJobs:
		m.sayHello(conn)
		m.writeRepeatedly(conn, func() []byte {
			var batch []byte
			for range writeBatch {
				id := m.nextID()
				batch = fmt.Appendf(batch, "PUSH {\"jid\":%q,\"jobtype\":\"t%s\",\"queue\":\"q%s\",\"args\":[]}\r\n", id, id, id)
			}
			return batch
		})
	case FaktoryLarge:
		m.sayHello(conn)
		padding := bytes.Repeat([]byte("x"), largestJob)
		m.writeRepeatedly(conn, func() []byte {
			return fmt.Appendf(nil, "PUSH {\"jid\":%q,\"jobtype\":\"t\",\"queue\":\"q\",\"args\":[\"%s\"]}\r\n", m.nextID(), padding)
		})
	case FaktoryEndless:
		m.sayHello(conn)
		part := bytes.Repeat([]byte("x"), largestBody)
		io.WriteString(conn, "PUSH {")
		m.writeRepeatedly(conn, func() []byte { return part })
	case RepeatedIDs:
		m.repeat(ctx, conn, rng)
	}
}

// writeRepeatedly writes messages at full speed and reads what comes back.
func (m *misbehaving) writeRepeatedly(conn net.Conn, next func() []byte) {
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		io.Copy(io.Discard, conn)
	}()
	for {
		if _, err := conn.Write(next()); err != nil {
			break
		}
		m.written.Add(1)
	}
	conn.Close()
	<-ended
}

// writeSlowly writes a body in parts, within the time that a message has, and waits for the answer.
func (m *misbehaving) writeSlowly(ctx context.Context, conn net.Conn) {
	request := m.request(largestBody)
	part := (len(request) + slowParts - 1) / slowParts
	for len(request) > 0 {
		n := min(part, len(request))
		if _, err := conn.Write(request[:n]); err != nil {
			return
		}
		if request = request[n:]; len(request) > 0 {
			pause(ctx, slowWithin/slowParts)
		}
	}
	m.written.Add(1)
	conn.Read(make([]byte, 512))
}

// pipelineAndGo writes many small requests and closes the connection at once.
func (m *misbehaving) pipelineAndGo(conn net.Conn) {
	var ids []string
	var message []byte
	for range pipelinedRequests {
		id := m.nextID()
		ids = append(ids, id)
		message = appendRequest(message, id, 4)
	}
	conn.Write(message)
	m.written.Add(pipelinedRequests)
	conn.Close()
	m.departures.clientLeft(ids, time.Now())
}

// sayHello begins a session of the Faktory protocol. The answers are read with those to what follows.
func (m *misbehaving) sayHello(conn net.Conn) { io.WriteString(conn, "HELLO {\"v\":2}\r\n") }

// repeat sends a request, closes the connection some milliseconds later and sends the same request on a new one.
func (m *misbehaving) repeat(ctx context.Context, conn net.Conn, rng *rand.Rand) {
	request := m.request(4)
	conn.Write(request)
	pause(ctx, time.Duration(rng.Int64N(int64(longestStay))))
	conn.Close()
	m.written.Add(1)
	again, err := net.DialTimeout("tcp", m.address, time.Second)
	if err != nil {
		return
	}
	defer again.Close()
	again.SetDeadline(time.Now().Add(time.Second))
	again.Write(request)
	again.Read(make([]byte, 512))
}

func (m *misbehaving) nextID() string {
	return fmt.Sprintf("bad%05x%08x", m.seed&0xfffff, m.serial.Add(1))
}

func (m *misbehaving) request(body int) []byte { return appendRequest(nil, m.nextID(), body) }

func (m *misbehaving) requests(n int) (message []byte) {
	for range n {
		message = appendRequest(message, m.nextID(), 4)
	}
	return message
}

// appendRequest appends a request whose key no other request has.
func appendRequest(b []byte, id string, body int) []byte {
	b = fmt.Appendf(b, "POST /move/%s HTTP/1.1\r\nHost: x\r\nX-Correlation-Id: %s\r\nX-Service-Class: move\r\nX-Time-Left-Ms: 5000\r\nContent-Length: %d\r\n\r\n",
		id, id, body)
	return append(b, bytes.Repeat([]byte("x"), body)...)
}

// endless reads zero bytes without an end.
type endless struct{}

// Read implements io.Reader.
func (endless) Read(p []byte) (int, error) { return len(p), nil }
