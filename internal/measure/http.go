package measure

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httputil"
	"net/url"
	"os"
	"os/exec"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"golang.org/x/net/http2"

	"cobaltflow/internal/affinity"
	"cobaltflow/internal/platform"
)

// RunHTTP measures the HTTP fronts and writes tables in Markdown.
func RunHTTP(ctx context.Context, w io.Writer, o Options) error {
	return runParts(ctx, w, &o, []part{
		{"fronts", func() error { return measureFronts(ctx, w, o) }}, {"conns", func() error { return measureConns(ctx, w, o) }},
		{"memory", func() error { return measureStreams(ctx, w, o) }}, {"attacks", func() error { return measureAttacks(ctx, w, o) }}})
}

// deployment is a gateway process with table workers of its own.
type deployment struct {
	*gateway
	tables []*TableWorker
}

// newDeployment starts four table workers and a gateway that sends to them.
func newDeployment(o Options, meanRunTime time.Duration, slots int) (*deployment, error) {
	s := &deployment{}
	var addresses []string
	for i := range 4 {
		t, err := NewTableWorker(fmt.Sprint("table-", i), slots, meanRunTime, nil)
		if err != nil {
			return nil, err
		}
		s.tables = append(s.tables, t)
		addresses = append(addresses, t.Address())
	}
	var err error
	if s.gateway, err = startGateway(gatewayOptions{binary: o.Binary, isEarlier: o.Binary == o.EarlierBinary, core: o.Core, workers: addresses}); err != nil {
		return nil, err
	}
	for _, t := range s.tables {
		t.SendCallbacksTo(s.http)
	}
	return s, nil
}

func (s *deployment) close() {
	s.stop()
	for _, t := range s.tables {
		t.Close()
	}
}

// requester sends one job and waits for its answer.
type requester func() (status int, err error)

// closedLoop runs the requesters in parallel, each with one request at a time. After a warm-up of a quarter of seconds it
// measures the jobs per second, the gateway's CPU time per job and the latencies in microseconds.
func closedLoop(ctx context.Context, g *gateway, requesters []requester, seconds float64) (rate float64, cpu time.Duration, latencies *hdrhistogram.Histogram, err error) {
	runCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	var served, failed atomic.Int64
	var mu sync.Mutex
	latencies = hdrhistogram.New(1, 60_000_000, 3)
	var wg sync.WaitGroup
	isMeasuring := atomic.Bool{}
	for _, request := range requesters {
		wg.Go(func() {
			for runCtx.Err() == nil {
				start := time.Now()
				status, err := request()
				if err != nil || status != 200 {
					failed.Add(1)
					if err != nil {
						time.Sleep(time.Millisecond)
					}
					continue
				}
				served.Add(1)
				if isMeasuring.Load() {
					mu.Lock()
					latencies.RecordValue(max(1, time.Since(start).Microseconds()))
					mu.Unlock()
				}
			}
		})
	}
	sleep(ctx, time.Duration(seconds/4*float64(time.Second)))
	isMeasuring.Store(true)
	n, used, start := served.Load(), g.cpuTime(), time.Now()
	sleep(ctx, time.Duration(seconds*float64(time.Second)))
	n, used = served.Load()-n, g.cpuTime()-used
	rate = float64(n) / time.Since(start).Seconds()
	cancel()
	wg.Wait()
	if n == 0 {
		return 0, 0, latencies, fmt.Errorf("no job was served, %d were not", failed.Load())
	}
	return rate, used / time.Duration(n), latencies, nil
}

// drainBody reads an answer to its end, so that its connection can be reused, and returns the status.
func drainBody(resp *http.Response) (status int) {
	io.Copy(io.Discard, resp.Body)
	resp.Body.Close()
	return resp.StatusCode
}

// http1Requesters opens n HTTP/1.1 connections and returns a requester for each, and a function that closes them. A
// connection that can't be opened is left out.
func http1Requesters(address, path string, n int) ([]requester, func()) {
	var conns []net.Conn
	var out []requester
	for range n {
		nc, err := net.Dial("tcp", address)
		if err != nil {
			continue
		}
		conns = append(conns, nc)
		r := bufio.NewReader(nc)
		out = append(out, func() (int, error) {
			_, err := fmt.Fprintf(nc, "POST %s HTTP/1.1\r\nHost: x\r\n%s: m-%d\r\n%s: 5000\r\nContent-Length: 4\r\n\r\nbody", path, platform.HeaderID, nextID.Add(1), platform.HeaderTimeLeft)
			if err != nil {
				return 0, err
			}
			resp, err := http.ReadResponse(r, nil)
			if err != nil {
				return 0, err
			}
			return drainBody(resp), nil
		})
	}
	return out, func() {
		for _, c := range conns {
			c.Close()
		}
	}
}

// http2Requesters returns requesters for conns HTTP/2 connections with streams requesters on each, and a function that
// closes the connections.
func http2Requesters(address, path string, conns, streams int) ([]requester, func()) {
	var out []requester
	var transports []*http.Transport
	var clearText http.Protocols
	clearText.SetUnencryptedHTTP2(true)
	for range conns {
		t := &http.Transport{Protocols: &clearText, MaxConnsPerHost: 1, HTTP2: &http.HTTP2Config{StrictMaxConcurrentRequests: true}}
		transports = append(transports, t)
		for range streams {
			out = append(out, func() (int, error) {
				req, _ := http.NewRequest("POST", "http://"+address+path, strings.NewReader("body"))
				req.Header.Set(platform.HeaderID, fmt.Sprint("m-", nextID.Add(1)))
				req.Header.Set(platform.HeaderTimeLeft, "5000")
				resp, err := t.RoundTrip(req)
				if err != nil {
					return 0, err
				}
				return drainBody(resp), nil
			})
		}
	}
	return out, func() {
		for _, t := range transports {
			t.CloseIdleConnections()
		}
	}
}

// jobPath is the request path of the jobs that the requesters send.
const jobPath = "/board-view/k"

// measureFronts compares the HTTP/1.1 and the HTTP/2 front with a hundred jobs in flight.
func measureFronts(ctx context.Context, w io.Writer, o Options) error {
	fmt.Fprint(w, "### A hundred jobs in flight, on one core\n\n| clients | jobs/s | CPU µs/job | p50 ms | p99 ms |\n| --- | ---: | ---: | ---: | ---: |\n")
	for range 2 {
		for _, kind := range []string{"100 HTTP/1.1 connections", "1 HTTP/2 connection, 100 streams", "10 HTTP/2 connections, 10 streams"} {
			s, err := newDeployment(o, 0, 64)
			if err != nil {
				return err
			}
			var requesters []requester
			var done func()
			switch kind[:2] {
			case "1 ":
				requesters, done = http2Requesters(s.http2, jobPath, 1, 100)
			case "10":
				if requesters, done = http2Requesters(s.http2, jobPath, 10, 10); strings.Contains(kind, "/1.1") {
					done()
					requesters, done = http1Requesters(s.http, jobPath, 100)
				}
			}
			rate, cpu, latencies, err := closedLoop(ctx, s.gateway, requesters, o.Seconds)
			done()
			s.close()
			if err != nil {
				return err
			}
			fmt.Fprintf(w, "| %s | %.0f | %.1f | %.2f | %.2f |\n", kind, rate, float64(cpu.Nanoseconds())/1000,
				float64(latencies.ValueAtQuantile(50))/1000, float64(latencies.ValueAtQuantile(99))/1000)
		}
	}
	return nil
}

// measureConns measures HTTP/1.1 by the number of connections, and compares it with an earlier build and with the standard
// library's reverse proxy.
func measureConns(ctx context.Context, w io.Writer, o Options) error {
	fmt.Fprint(w, "### HTTP/1.1 by connections, on one core\n\n| connections | jobs/s | CPU µs/job | p99 ms | earlier build, jobs/s | CPU µs/job | httputil.ReverseProxy, requests/s |\n| ---: | ---: | ---: | ---: | ---: | ---: | ---: |\n")
	backend, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	plain := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		io.Copy(io.Discard, r.Body)
		io.WriteString(w, "result of this job")
	})}
	go plain.Serve(backend)
	defer plain.Close()
	for _, n := range []int{8, 32, 64, 128, 256} {
		rate, cpu, latencies, err := measureConnCount(ctx, o, n)
		if err != nil {
			return err
		}
		earlierRate, earlierCPU := 0.0, time.Duration(0)
		if o.EarlierBinary != "" {
			earlier := o
			earlier.Binary = o.EarlierBinary
			if earlierRate, earlierCPU, _, err = measureConnCount(ctx, earlier, n); err != nil {
				return err
			}
		}
		proxy, err := startProxy(o, backend.Addr().String())
		if err != nil {
			return err
		}
		requesters, done := http1Requesters(proxy.http, jobPath, n)
		proxyRate, _, _, err := closedLoop(ctx, proxy, requesters, o.Seconds)
		done()
		proxy.stop()
		if err != nil {
			return err
		}
		fmt.Fprintf(w, "| %d | %.0f | %.1f | %.2f | %.0f | %.1f | %.0f |\n", n, rate, float64(cpu.Nanoseconds())/1000,
			float64(latencies.ValueAtQuantile(99))/1000, earlierRate, float64(earlierCPU.Nanoseconds())/1000, proxyRate)
	}
	return nil
}

// measureConnCount runs the closed loop over n HTTP/1.1 connections to a new deployment.
func measureConnCount(ctx context.Context, o Options, n int) (rate float64, cpu time.Duration, latencies *hdrhistogram.Histogram, err error) {
	s, err := newDeployment(o, 0, 64)
	if err != nil {
		return 0, 0, nil, err
	}
	defer s.close()
	requesters, done := http1Requesters(s.http, jobPath, n)
	defer done()
	return closedLoop(ctx, s.gateway, requesters, o.Seconds)
}

// startProxy runs ServeReverseProxy to a backend's address as a process on the measured core.
func startProxy(o Options, backend string) (*gateway, error) {
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	address, err := freeAddress()
	if err != nil {
		return nil, err
	}
	g := &gateway{http: address, cmd: exec.Command(self, "measure", "reverse-proxy", address, backend)}
	g.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := affinity.StartOnCore(g.cmd, o.Core); err != nil {
		return nil, err
	}
	return g, waitReachable(address)
}

// ServeReverseProxy serves the standard library's reverse proxy to a backend at an address, as a baseline. It returns only on
// an error.
func ServeReverseProxy(address, backend string) error {
	p := httputil.NewSingleHostReverseProxy(&url.URL{Scheme: "http", Host: backend})
	p.Transport = &http.Transport{MaxIdleConnsPerHost: 512}
	return http.ListenAndServe(address, p)
}

// measureStreams measures the memory of idle HTTP/2 connections and of open streams.
func measureStreams(_ context.Context, w io.Writer, o Options) error {
	s, err := newDeployment(o, time.Hour, 4096)
	if err != nil {
		return err
	}
	defer s.close()
	fmt.Fprint(w, "### Memory of HTTP/2 connections and streams\n\n| what | number | resident MB | bytes each |\n| --- | ---: | ---: | ---: |\n")
	empty := s.memory("VmRSS")
	var framers []*http2.Framer
	const idle, streams = 500, 20
	for range idle {
		nc, err := net.Dial("tcp", s.http2)
		if err != nil {
			return err
		}
		defer nc.Close()
		fr := http2.NewFramer(nc, nc)
		io.WriteString(nc, http2.ClientPreface)
		fr.WriteSettings()
		fr.WriteSettingsAck()
		framers = append(framers, fr)
		if f, err := fr.ReadFrame(); err != nil {
			return fmt.Errorf("%v %w", f, err)
		}
	}
	time.Sleep(300 * time.Millisecond)
	afterConns := s.memory("VmRSS")
	fmt.Fprintf(w, "| idle connections | %d | %.1f | %d |\n", idle, float64(afterConns)/(1<<20), (afterConns-empty)/idle)
	for i, fr := range framers[:100] {
		for k := range streams {
			// HPACK literal fields without indexing need no encoder state.
			block := []byte{0x83, 0x86}
			for _, f := range [][2]string{{":path", jobPath}, {"x-correlation-id", fmt.Sprintf("open-%d-%d", i, k)}, {"x-time-left-ms", "60000"}} {
				block = append(append(append(append(block, 0, byte(len(f[0]))), f[0]...), byte(len(f[1]))), f[1]...)
			}
			if err := fr.WriteHeaders(http2.HeadersFrameParam{StreamID: uint32(2*k + 1), BlockFragment: block, EndHeaders: true, EndStream: true}); err != nil {
				return err
			}
		}
	}
	time.Sleep(time.Second)
	afterStreams := s.memory("VmRSS")
	fmt.Fprintf(w, "| open streams, each with its job at a worker | %d | %.1f | %d |\n", 100*streams, float64(afterStreams)/(1<<20), (afterStreams-afterConns)/(100*streams))
	return nil
}

// measureAttacks compares the value that regular HTTP/1.1 clients earn under each attack with their value without one.
func measureAttacks(ctx context.Context, w io.Writer, o Options) error {
	fmt.Fprint(w, "### HTTP/1.1 jobs, 200 a second, while an HTTP/2 client attacks, on one core\n\n| attack | worth served | p50 ms | p99 ms |\n| --- | ---: | ---: | ---: |\n")
	write := func(kind http2.FrameType, flags http2.Flags, payload ...byte) func(*http2.Framer, uint32) error {
		return func(fr *http2.Framer, id uint32) error { return fr.WriteRawFrame(kind, flags, 0, payload) }
	}
	head := append([]byte{0x83, 0x86, 0, 5}, ":path\x0d/board-view/k"...)
	for _, a := range []struct {
		name string
		do   func(fr *http2.Framer, id uint32) error
	}{
		{"none", nil},
		{"PING flood", write(http2.FramePing, 0, make([]byte, 8)...)},
		{"SETTINGS flood", write(http2.FrameSettings, 0)},
		{"window updates", write(http2.FrameWindowUpdate, 0, 0, 0, 0, 1)},
		{"rapid resets", func(fr *http2.Framer, id uint32) error {
			fr.WriteRawFrame(http2.FrameHeaders, 4, id, head)
			return fr.WriteRSTStream(id, http2.ErrCodeCancel)
		}},
		{"empty DATA", func(fr *http2.Framer, id uint32) error {
			if id == 1 {
				fr.WriteRawFrame(http2.FrameHeaders, 4, 1, head)
			}
			return fr.WriteRawFrame(http2.FrameData, 0, 1, nil)
		}},
		{"CONTINUATION flood", func(fr *http2.Framer, id uint32) error {
			if id == 1 {
				return fr.WriteRawFrame(http2.FrameHeaders, 0, 1, head)
			}
			return fr.WriteRawFrame(http2.FrameContinuation, 0, 1, nil)
		}},
		{"streams that stay open", func(fr *http2.Framer, id uint32) error { return fr.WriteRawFrame(http2.FrameHeaders, 4, id, head) }},
		{"none again", nil},
	} {
		s, err := newDeployment(o, 40*time.Millisecond, 4)
		if err != nil {
			return err
		}
		runCtx, cancel := context.WithTimeout(ctx, time.Duration(o.Seconds*float64(time.Second)))
		var wg sync.WaitGroup
		if a.do != nil {
			for range 4 {
				wg.Go(func() { attack(runCtx, s.http2, a.do) })
			}
		}
		h := &httpLoad{address: s.http, rate: 200}
		h.run(runCtx)
		cancel()
		wg.Wait()
		s.close()
		latencyMS := h.quantiles()
		fmt.Fprintf(w, "| %s | %.3f | %.1f | %.1f |\n", a.name, h.earnedValue/h.offeredValue, latencyMS[0], latencyMS[1])
	}
	return nil
}

// attack connects repeatedly until the context ends, and sends an attack's frames as fast as the server accepts them.
func attack(ctx context.Context, address string, do func(*http2.Framer, uint32) error) {
	for ctx.Err() == nil {
		nc, err := net.DialTimeout("tcp", address, time.Second)
		if err != nil {
			if !errors.Is(err, context.Canceled) {
				sleep(ctx, 10*time.Millisecond)
			}
			continue
		}
		stopClosing := context.AfterFunc(ctx, func() { nc.Close() })
		go io.Copy(io.Discard, nc)
		fr := http2.NewFramer(nc, nc)
		fr.AllowIllegalWrites = true
		io.WriteString(nc, http2.ClientPreface)
		fr.WriteSettings()
		fr.WriteSettingsAck()
		for id := uint32(1); do(fr, id) == nil && id < 1<<30; id += 2 {
		}
		stopClosing()
		nc.Close()
	}
}
