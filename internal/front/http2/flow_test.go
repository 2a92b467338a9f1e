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

// A client that leaves its window full has its streams reset and its connection closed after the stall timeout. Others
// are served meanwhile, and the ledger has the answers that the client did not read.
func TestFullWindowClosesTheConnection(t *testing.T) {
	large := standin.NewWorker(t, "s-1", func(w *standin.Worker, id string, rw http.ResponseWriter, _ *http.Request) {
		rw.WriteHeader(202)
		go w.SendCallback(id, "done", map[string]any{"result": strings.Repeat("r", 20_000)})
	})
	n := start(t, func(c *config.Config) { c.HTTP2.StallTimeoutMS, c.HTTP2.MaxUnsentKB = 400, 64 }, large)
	slow := dial(n, xhttp2.Setting{ID: xhttp2.SettingInitialWindowSize, Val: 1000})
	for i := range 8 {
		slow.sendRequest("move", fmt.Sprint("slow-", i), 9000, true)
	}
	c := newClient(n)
	for i := range 20 {
		status, body, err := send(c, newRequest(context.Background(), n, "move", fmt.Sprint("id-", i), 9000, ""))
		require.NoError(t, err)
		assert.Equal(t, []int{200, 20_000}, []int{status, len(body)})
	}
	codes := map[xhttp2.ErrCode]int{}
	slow.readUntil(t, func(f xhttp2.Frame) bool {
		if s, yes := f.(*xhttp2.RSTStreamFrame); yes {
			codes[s.ErrCode]++
		}
		return isGoAway(f)
	})
	assert.Positive(t, codes[xhttp2.ErrCodeCancel], "streams that waited for the window")
	assert.Positive(t, codes[xhttp2.ErrCodeEnhanceYourCalm], "streams beyond max_unsent_kb")
	n.Eventually(func() bool { return n.HasLogged("reason=window-full") })
	for i := range 8 {
		s := jobState(n, c, fmt.Sprint("slow-", i))
		assert.Equal(t, "served", s.State)
		assert.Len(t, s.Result, 20_000)
	}
}

// Small window updates are used up to their size, and the answer arrives complete.
func TestSmallWindowUpdatesDeliverTheWholeAnswer(t *testing.T) {
	n := start(t, nil, standin.NewWorker(t, "s-1", nil))
	r := dial(n, xhttp2.Setting{ID: xhttp2.SettingInitialWindowSize, Val: 3})
	id := r.sendRequest("move", "id-1", 9000, true)
	body := ""
	r.readUntil(t, func(f xhttp2.Frame) bool {
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

// Each kind of flood closes its connection with its reason, and another client is served meanwhile.
func TestFloodsCloseTheirConnectionOnly(t *testing.T) {
	n := start(t, func(c *config.Config) { c.HTTP2.SettingsTimeoutMS, c.HTTP2.MaxStreams = 500, 16 }, standin.NewWorker(t, "s-1", nil))
	c := newClient(n)
	for reason, flood := range map[string]func(r *rawConn) error{
		"reset-flood": func(r *rawConn) error {
			return r.WriteRSTStream(r.sendRequest("move", fmt.Sprint("reset-", r.next), 3000, false), xhttp2.ErrCodeCancel)
		},
		"control-flood": func(r *rawConn) error { return r.WritePing(false, [8]byte{}) },
		"empty-flood": func(r *rawConn) error {
			if r.next == 1 {
				r.sendRequest("move", "empty", 3000, false)
			}
			return r.WriteData(1, false, nil)
		},
		"stream-flood": func(r *rawConn) error {
			r.sendRequest("move", fmt.Sprint("many-", r.next), 3000, false)
			return r.WriteData(r.next-2, false, []byte("x"))
		},
		"header-flood":  func(r *rawConn) error { return r.WriteRawFrame(xhttp2.FrameHeaders, 0, r.next, []byte{0x82}) },
		"no-settings":   nil,
		"window-update": func(r *rawConn) error { return r.WriteWindowUpdate(0, 1) },
	} {
		t.Run(reason, func(t *testing.T) {
			if flood == nil {
				nc, err := net.Dial("tcp", n.HTTP2.Address())
				require.NoError(t, err)
				defer nc.Close()
				io.WriteString(nc, xhttp2.ClientPreface[:10])
				n.Eventually(func() bool { return n.HasLogged("reason=no-settings") })
				return
			}
			n.ClearLog()
			r := dial(n)
			if reason == "header-flood" {
				r.WriteRawFrame(xhttp2.FrameHeaders, 0, 1, []byte{0x82})
				flood = func(r *rawConn) error { return r.WriteRawFrame(xhttp2.FrameContinuation, 0, 1, nil) }
			}
			done := make(chan struct{})
			go func() {
				defer close(done)
				for i := range 20_000 {
					if flood(r) != nil {
						return
					}
					if i%64 == 0 {
						r.nc.SetWriteDeadline(time.Now().Add(standin.WaitTimeout))
					}
				}
			}()
			go io.Copy(io.Discard, r.nc)
			status, _, err := send(c, newRequest(context.Background(), n, "move", "usual-"+reason, 5000, ""))
			assert.NoError(t, err)
			assert.Equal(t, 200, status)
			want := reason
			if reason == "window-update" {
				want = "control-flood"
			}
			n.Eventually(func() bool { return n.HasLogged("reason=" + want) })
			r.nc.Close()
			<-done
		})
	}
}
