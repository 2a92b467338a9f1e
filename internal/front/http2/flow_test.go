package http2_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	xhttp2 "golang.org/x/net/http2"

	"cobaltflow/internal/config"
	"cobaltflow/internal/standin"
)

// A client that leaves its window full has its streams reset and its connection closed after a named time; others
// are served meanwhile, and the answers it did not read stand in the ledger.
func TestSlowReaderWhoseWindowFills(t *testing.T) {
	large := standin.NewWorker(t, "s-1", func(w *standin.Worker, id string, rw http.ResponseWriter, _ *http.Request) {
		rw.WriteHeader(202)
		go w.Call(id, "done", map[string]any{"result": strings.Repeat("r", 20_000)})
	})
	n := start(t, func(c *config.Config) { c.HTTP2.StallTimeoutMS, c.HTTP2.MaxUnsentKB = 400, 64 }, large)
	slow := dial(n, xhttp2.Setting{ID: xhttp2.SettingInitialWindowSize, Val: 1000})
	for i := range 8 {
		slow.post("move", fmt.Sprint("slow-", i), 9000, true)
	}
	c := client(n)
	for i := range 20 {
		status, body, err := ask(c, request(context.Background(), n, "move", fmt.Sprint("id-", i), 9000, ""))
		require.NoError(t, err)
		assert.Equal(t, []int{200, 20_000}, []int{status, len(body)})
	}
	codes := map[xhttp2.ErrCode]int{}
	slow.until(t, func(f xhttp2.Frame) bool {
		if s, yes := f.(*xhttp2.RSTStreamFrame); yes {
			codes[s.ErrCode]++
		}
		return goAway(f)
	})
	assert.Positive(t, codes[xhttp2.ErrCodeCancel], "those that waited for the window")
	assert.Positive(t, codes[xhttp2.ErrCodeEnhanceYourCalm], "those beyond max_unsent_kb")
	n.Eventually(func() bool { return n.Logged("reason=window-full") })
	for i := range 8 {
		s := state(n, c, fmt.Sprint("slow-", i))
		assert.Equal(t, "served", s.State)
		assert.Len(t, s.Result, 20_000)
	}
}

// A window that opens slowly is used as far as it goes, and the answer is whole.
func TestSmallWindows(t *testing.T) {
	n := start(t, nil, standin.NewWorker(t, "s-1", nil))
	r := dial(n, xhttp2.Setting{ID: xhttp2.SettingInitialWindowSize, Val: 3})
	id := r.post("move", "id-1", 9000, true)
	body := ""
	r.until(t, func(f xhttp2.Frame) bool {
		d, yes := f.(*xhttp2.DataFrame)
		if !yes {
			return false
		}
		assert.LessOrEqual(t, len(d.Data()), 3)
		body += string(d.Data())
		r.WriteWindowUpdate(id, 2)
		return d.StreamEnded()
	})
	assert.Equal(t, "s-1 did id-1", body)
}

// Each kind of flood ends its connection with its reason, and a usual client is served all the while.
func TestFloods(t *testing.T) {
	n := start(t, func(c *config.Config) { c.HTTP2.SettingsTimeoutMS, c.HTTP2.MaxStreams = 500, 16 }, standin.NewWorker(t, "s-1", nil))
	c := client(n)
	for reason, flood := range map[string]func(r *raw) error{
		"reset-flood": func(r *raw) error {
			return r.WriteRSTStream(r.post("move", fmt.Sprint("reset-", r.next), 3000, false), xhttp2.ErrCodeCancel)
		},
		"control-flood": func(r *raw) error { return r.WritePing(false, [8]byte{}) },
		"empty-flood": func(r *raw) error {
			if r.next == 1 {
				r.post("move", "empty", 3000, false)
			}
			return r.WriteData(1, false, nil)
		},
		"stream-flood": func(r *raw) error {
			r.post("move", fmt.Sprint("many-", r.next), 3000, false)
			return r.WriteData(r.next-2, false, []byte("x"))
		},
		"header-flood":  func(r *raw) error { return r.WriteRawFrame(xhttp2.FrameHeaders, 0, r.next, []byte{0x82}) },
		"no-settings":   nil,
		"window-update": func(r *raw) error { return r.WriteWindowUpdate(0, 1) },
	} {
		t.Run(reason, func(t *testing.T) {
			if flood == nil {
				nc, err := net.Dial("tcp", n.HTTP2.Address())
				require.NoError(t, err)
				defer nc.Close()
				io.WriteString(nc, xhttp2.ClientPreface[:10])
				n.Eventually(func() bool { return n.Logged("reason=no-settings") })
				return
			}
			n.ClearLog()
			r := dial(n)
			if reason == "header-flood" {
				r.WriteRawFrame(xhttp2.FrameHeaders, 0, 1, []byte{0x82})
				flood = func(r *raw) error { return r.WriteRawFrame(xhttp2.FrameContinuation, 0, 1, nil) }
			}
			done := make(chan struct{})
			go func() {
				defer close(done)
				for i := range 20_000 {
					if flood(r) != nil {
						return
					}
					if i%64 == 0 {
						r.nc.SetWriteDeadline(time.Now().Add(standin.Patience))
					}
				}
			}()
			go io.Copy(io.Discard, r.nc)
			status, _, err := ask(c, request(context.Background(), n, "move", "usual-"+reason, 5000, ""))
			assert.NoError(t, err)
			assert.Equal(t, 200, status)
			want := reason
			if reason == "window-update" {
				want = "control-flood"
			}
			n.Eventually(func() bool { return n.Logged("reason=" + want) })
			r.nc.Close()
			<-done
		})
	}
}
