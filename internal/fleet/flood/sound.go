package flood

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"
)

// soundPrefix begins the IDs of the well-behaved clients' requests.
const soundPrefix = "5000d"

// soundLoad sends the requests of clients that behave, each at a steady rate. A client keeps its connections and opens another one
// when all are busy.
type soundLoad struct {
	address string
	seed    uint64

	mu       sync.Mutex
	outcomes Outcomes
	serial   int
}

// connection is one connection of a client.
type connection struct {
	net.Conn
	answers *bufio.Reader
	isUsed  bool // a request was answered on it
}

// run sends until the context ends, and waits for the answers.
func (l *soundLoad) run(ctx context.Context) {
	var all sync.WaitGroup
	for i := range soundClients {
		all.Go(func() { l.runClient(ctx, i) })
	}
	all.Wait()
}

func (l *soundLoad) runClient(ctx context.Context, client int) {
	const interval = time.Second / soundRatePerS
	idle := make(chan *connection, 64)
	rng := rand.New(rand.NewPCG(l.seed, uint64(client)))
	tick := time.NewTicker(interval)
	defer tick.Stop()
	var pending sync.WaitGroup
	time.Sleep(time.Duration(rng.Int64N(int64(interval))))
	for {
		select {
		case <-ctx.Done():
			pending.Wait()
			for len(idle) > 0 {
				(<-idle).Close()
			}
			return
		case <-tick.C:
			key := rng.IntN(40)
			pending.Go(func() { l.send(idle, key) })
		}
	}
}

// send sends one request. If the connection ended before it was read, it is sent once more on a new one, as the protocol allows.
func (l *soundLoad) send(idle chan *connection, key int) {
	l.mu.Lock()
	l.serial++
	l.outcomes.Sent++
	id := fmt.Sprintf("%s%04x%08x", soundPrefix, l.seed&0xffff, l.serial)
	l.mu.Unlock()
	began := time.Now()
	status, err := 0, errStale
	for try := 0; try < 2 && errors.Is(err, errStale); try++ {
		var c *connection
		if c, err = l.acquire(idle, try > 0); err == nil {
			status, err = c.exchange(id, key, began)
			if err == nil {
				select {
				case idle <- c:
				default:
					c.Close()
				}
			} else {
				c.Close()
			}
		}
	}
	l.record(status, err, interval{began, time.Now()})
}

// errStale says that a kept connection ended before a request on it was read.
var errStale = errors.New("the connection had ended")

// errEnding says that the answer was whole and announced the end of its connection.
var errEnding = errors.New("the connection ends behind its answer")

func (l *soundLoad) acquire(idle chan *connection, wantsNew bool) (*connection, error) {
	if !wantsNew {
		select {
		case c := <-idle:
			return c, nil
		default:
		}
	}
	conn, err := net.DialTimeout("tcp", l.address, soundTimeoutMS*time.Millisecond)
	if err != nil {
		return nil, err
	}
	return &connection{Conn: conn, answers: bufio.NewReader(conn)}, nil
}

// exchange sends a request and reads its answer.
func (c *connection) exchange(id string, key int, began time.Time) (status int, err error) {
	c.SetDeadline(began.Add(soundTimeoutMS*time.Millisecond + answerTolerance))
	left := soundTimeoutMS - time.Since(began).Milliseconds()
	_, err = fmt.Fprintf(c, "POST /move/key%d HTTP/1.1\r\nHost: x\r\nX-Correlation-Id: %s\r\nX-Service-Class: move\r\nX-Time-Left-Ms: %d\r\nContent-Length: 4\r\n\r\nbody",
		key, id, left)
	if err == nil {
		var r *http.Response
		if r, err = http.ReadResponse(c.answers, nil); err == nil {
			_, err = io.Copy(io.Discard, r.Body)
			if c.isUsed = true; err == nil && r.Close {
				return r.StatusCode, errEnding
			}
			return r.StatusCode, err
		}
	}
	if timeout := net.Error(nil); c.isUsed && !(errors.As(err, &timeout) && timeout.Timeout()) {
		return 0, errStale
	}
	return 0, err
}

// record counts how a request ended.
func (l *soundLoad) record(status int, err error, took interval) {
	l.mu.Lock()
	defer l.mu.Unlock()
	o := &l.outcomes
	switch {
	case err != nil && !errors.Is(err, errEnding):
		o.Unanswered++
		o.unanswered = append(o.unanswered, took)
	case status == http.StatusOK:
		o.Served++
		o.latencies = append(o.latencies, took.to.Sub(took.from))
	case status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable:
		o.Refused++
	default:
		o.Failed++
	}
}
