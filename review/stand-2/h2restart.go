package main

import (
	"fmt"
	"strings"
	"syscall"
	"time"
)

func init() { cases["h2-restart"] = h2Restart }

// h2Restart: a planned restart while a client's job runs, and while a second request of the same client comes in slowly on the same
// connection.
func h2Restart(r *run) (int, error) {
	s := fijiTables()
	listen, listenH2 := freeAddress(), freeAddress()
	f := newFleet(r.record, listen)
	var list []endpoint
	for i := range 4 {
		w, err := startWorker(fmt.Sprintf("s-%08x", i+1), f)
		if err != nil {
			return cantRun, err
		}
		w.runTime = func(j *job) (time.Duration, string) {
			if j.key == "t1" {
				return 3000 * time.Millisecond, "result-" + j.id
			}
			return 300 * time.Millisecond, "result-" + j.id
		}
		w.serve()
		list = append(list, w.endpoint("suva"))
	}
	d, err := startDiscovery(list)
	if err != nil {
		return cantRun, err
	}
	p, err := startScheduler(r.root, r.dir, listen, d.address, s, list, `{"http2": {"listen": "`+listenH2+`"}}`)
	if err != nil {
		return cantRun, err
	}
	defer p.kill()

	path, err := startRelay(listenH2) // the slow path of the client
	if err != nil {
		return cantRun, err
	}
	lost, restarts := 0, 4
	for round := range restarts {
		if round > 0 {
			if p, err = startScheduler(r.root, r.dir, listen, d.address, s, list, `{"http2": {"listen": "`+listenH2+`"}}`); err != nil {
				return cantRun, err
			}
		}
		result, err := h2RestartOnce(r, p, path)
		p.kill()
		if err != nil {
			return cantRun, err
		}
		if result == broken {
			lost++
		}
	}
	if lost > 0 {
		r.record.say("rule broken: %d of %d jobs lost", lost, restarts)
		return broken, nil
	}
	r.record.say("rule held in %d rounds", restarts)
	return held, nil
}

func h2RestartOnce(r *run, p *scheduler, path *relay) (int, error) {
	c, err := dialH2(path.address(), r.record.line)
	if err != nil {
		return cantRun, err
	}
	defer c.conn.Close()
	time.Sleep(200 * time.Millisecond)
	body := []byte(strings.Repeat("x", 212))
	first, second := newID(), newID()
	sent := time.Now()
	r.record.line("client: sends settle %s on stream 1", first)
	if _, err := c.conn.Write(h2Request(1, first, "settle", "t1", 20*time.Second, body)); err != nil {
		return cantRun, err
	}
	time.Sleep(600 * time.Millisecond)
	r.record.line("client: sends board-view %s on stream 3; its path brings that in pieces over 1.8 s", second)
	path.slow.Store(int64(1800 * time.Millisecond))
	defer path.slow.Store(0)
	if _, err := c.conn.Write(h2Request(3, second, "board-view", "t2", 5*time.Second, body[:60])); err != nil {
		return cantRun, err
	}
	time.Sleep(100 * time.Millisecond)
	if r.trouble {
		r.record.line("SIGTERM to the scheduler")
		p.signal(syscall.SIGTERM)
	}
	terminated := time.Now()
	kill := terminated.Add(3700 * time.Millisecond) // the platform kills at the earliest then
	if !c.await(kill, func() bool { return c.answered[1] != "" && c.ended[1] }) {
		h2LookUp(r, path, first, kill)
	}
	for r.trouble && !p.hasEnded() && time.Now().Before(kill) {
		time.Sleep(20 * time.Millisecond)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if status := c.answered[1]; status != "" {
		r.record.say("settle %s: answered %s after %.2f s", first, status, time.Since(sent).Seconds())
		return held, nil
	}
	if _, wasReset := c.resets[1]; wasReset {
		r.record.say("settle %s: its stream was reset", first)
	}
	r.record.say("LOST: settle %s on stream 1 got no answer; the connection ended: %v; %v", first, c.closed, c.goAways)
	return broken, nil
}

// h2LookUp asks for the state of a job on new connections, as README has it for a client that lost its connection, until the kill.
func h2LookUp(r *run, path *relay, id string, kill time.Time) {
	path.slow.Store(0)
	for ; time.Now().Before(kill); time.Sleep(300 * time.Millisecond) {
		c, err := dialH2(path.address(), func(format string, args ...any) { r.record.line("look-up: "+format, args...) })
		if err != nil {
			r.record.line("look-up: %v", err)
			continue
		}
		c.conn.Write(h2Get(1, "/jobs/"+id))
		c.await(time.Now().Add(300*time.Millisecond), func() bool { return c.answered[1] != "" })
		c.conn.Close()
	}
}
