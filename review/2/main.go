// Case 2: clients of the HTTP/2 front that read slowly take the scheduler over its memory limit.
package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"review/stand"
)

const (
	memoryMB = 192 // the scheduler's limit
	screens  = 60  // connections to the HTTP/2 front, which takes 64
	lookUps  = 80  // of each screen, which may have 128 streams
	// The windows that a screen gives: for a stream, and for its connection. Its look-ups are of 80 x 60,000 bytes, so that
	// a screen that does not read lets the connection's window fill up.
	streamWindow, connWindow = 1 << 20, 4 << 20
	notReading               = 2500 * time.Millisecond
)

func main() { os.Exit(run(os.Args[1], os.Args[2])) }

func run(root, folder string) int {
	rec, err := stand.NewRecord(folder)
	if err != nil {
		fmt.Println(err)
		return stand.NotRun
	}
	if runtime.NumCPU() < 2 {
		return rec.Abort(errors.New("on one core the clients that read starve too"))
	}
	tmp, err := os.MkdirTemp("", "review-")
	if err != nil {
		return rec.Abort(err)
	}
	defer os.RemoveAll(tmp)
	addresses, err := stand.FreeAddresses(7)
	if err != nil {
		return rec.Abort(err)
	}
	listen, h2, disc := addresses[0], addresses[1], addresses[2]
	config := filepath.Join(tmp, "own.json")
	if err := os.WriteFile(config, fmt.Appendf(nil, `{"http2":{"listen":%q}}`, h2), 0o600); err != nil {
		return rec.Abort(err)
	}

	var entries []stand.Endpoint
	for i, address := range addresses[3:] {
		w := &stand.Worker{Name: fmt.Sprintf("s-%07d", i), Address: address, CallAddress: listen}
		w.Serve = func(a *stand.Attempt) {
			a.Accept()
			go func() {
				run := time.Duration(320+rand.IntN(290)) * time.Millisecond
				if a.Class == "settle" {
					run = time.Duration(1300+rand.IntN(1100)) * time.Millisecond
				}
				time.Sleep(run)
				a.End("done")
				w.Tell(a, "done", strings.Repeat("v", 60_000)) // a board view; bodies have 64 KiB at most
			}()
		}
		if err := stand.StartWorker(rec, w); err != nil {
			return rec.Abort(err)
		}
		defer w.Close()
		entries = append(entries, stand.Endpoint{Name: w.Name, Address: address, Zone: "suva", Type: "gen2", Group: 1, Status: "up", Weight: 1})
	}
	d, err := stand.StartDiscovery(disc, entries)
	if err != nil {
		return rec.Abort(err)
	}
	defer d.Close()
	s, err := stand.StartScheduler(rec, stand.Options{Root: root, Folder: tmp, Name: "n0", Label: "n0", Listen: listen, Discovery: disc,
		TmpDir: filepath.Join(tmp, "tmp"), Settings: stand.Settings(nil), MemoryMB: memoryMB, Sockets: 1024, Extra: " --config " + config,
		Known: map[string]any{"index": 1, "snapshot": true, "endpoints": entries}})
	defer s.Kill()
	if err != nil {
		return rec.Abort(err)
	}

	// The platform: a scheduler over its memory limit is killed. Memory that files back is not counted here.
	var peak, killed atomic.Int64
	stop := make(chan struct{})
	go func() {
		told := 0
		for {
			select {
			case <-stop:
				return
			case <-time.After(10 * time.Millisecond):
			}
			kb := s.AnonymousKB()
			peak.Store(max(peak.Load(), int64(kb)))
			if kb > told+16<<10 || kb < told-16<<10 {
				told = kb
				rec.Add("platform: the scheduler has %d KB of memory", kb)
			}
			if kb > memoryMB<<10 && killed.CompareAndSwap(0, 1) {
				rec.Break("the scheduler has %d KB of memory, over its limit of %d KB: the platform kills it", kb, memoryMB<<10)
				s.Signal(9)
			}
		}
	}()

	// Ordinary clients: a settle each 0.2 s, for 12 s.
	var clients sync.WaitGroup
	var asked, answered atomic.Int64
	ordinary := func() {
		defer clients.Done()
		for range 60 {
			if killed.Load() > 0 {
				return
			}
			clients.Add(1)
			go func() {
				defer clients.Done()
				asked.Add(1)
				id := fmt.Sprintf("%016x", rand.Uint64())
				if answer := stand.Post(rec, listen, "settle", fmt.Sprintf("match%d", rand.IntN(40)), id, 20*time.Second); answer.Err != nil {
					rec.Break("settle %s got no answer: %v", id, answer.Err)
				} else {
					answered.Add(1)
				}
			}()
			time.Sleep(200 * time.Millisecond)
		}
	}
	clients.Add(1)
	go ordinary()

	// A board view comes in by HTTP/2, and is served.
	view := fmt.Sprintf("%016x", rand.Uint64())
	if err := submit(rec, h2, view); err != nil {
		return rec.Abort(err)
	}
	// The screens look it up, one screen after another within 1.8 s.
	var all sync.WaitGroup
	var got atomic.Int64
	for i := range screens {
		all.Add(1)
		go func() {
			defer all.Done()
			time.Sleep(time.Duration(i) * 30 * time.Millisecond)
			n, err := screen(h2, view)
			got.Add(int64(n))
			rec.Add("screen %d: %d of %d look-ups answered whole, %v", i, n, lookUps, err)
		}()
	}
	all.Wait()
	clients.Wait()
	close(stop)
	return rec.Finish(fmt.Sprintf("peak of %d KB, limit %d KB; %d of %d settles answered; %d look-ups answered", peak.Load(), memoryMB<<10,
		answered.Load(), asked.Load(), got.Load()))
}

// submit sends a board view by HTTP/2 and waits until it is served.
func submit(rec *stand.Record, address, id string) error {
	c, err := stand.DialH2(address, streamWindow, connWindow)
	if err != nil {
		return err
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(6 * time.Second))
	if _, err := c.Request([]byte("work"), ":method", "POST", ":scheme", "http", ":path", "/board-view/table1", ":authority", "api.internal",
		"x-correlation-id", id, "x-service-class", "board-view", "x-time-left-ms", "5000"); err != nil {
		return err
	}
	for size := 0; ; {
		f, err := c.ReadFrame()
		if err != nil {
			return fmt.Errorf("the board view was not answered: %w", err)
		}
		if f.Kind == stand.H2Data {
			size += len(f.Payload)
		}
		if f.Stream == 1 && f.Flags&1 != 0 {
			rec.Add("client: board-view %s answered by HTTP/2, %d bytes", id, size)
			return nil
		}
	}
}

// screen looks a job up many times at once, on one connection, and returns how many answers came whole. With the
// disruption it does not read for a while first.
func screen(address, id string) (whole int, err error) {
	c, err := stand.DialH2(address, streamWindow, connWindow)
	if err != nil {
		return 0, err
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(15 * time.Second))
	asked := make(chan error, 1)
	go func() {
		for range lookUps {
			if _, err := c.Request(nil, ":method", "GET", ":scheme", "http", ":path", "/jobs/"+id, ":authority", "api.internal"); err != nil {
				asked <- err
				return
			}
		}
		asked <- nil
	}()
	if stand.Trouble() {
		time.Sleep(notReading)
	}
	ended, unread := 0, 0
	for ended < lookUps {
		f, err := c.ReadFrame()
		if err != nil {
			return whole, err
		}
		switch f.Kind {
		case stand.H2Data:
			if unread += len(f.Payload); unread > connWindow/4 {
				if err := c.Update(uint32(unread)); err != nil {
					return whole, err
				}
				unread = 0
			}
			if f.Flags&1 != 0 {
				ended++
				whole++
			}
		case stand.H2Reset:
			ended++
		case stand.H2GoAway:
			return whole, fmt.Errorf("GOAWAY")
		}
	}
	return whole, <-asked
}
