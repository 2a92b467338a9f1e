package config

import "encoding/json"

// HTTP2 is the section of the HTTP/2 front; without a listen address the front is off.
type HTTP2 struct {
	Listen            string  `json:"listen"`
	MaxConnections    int     `json:"max_connections"`
	MaxStreams        int     `json:"max_streams"` // at once, of a connection
	MaxHeaderKB       int     `json:"max_header_kb"`
	HeaderTableBytes  int     `json:"header_table_bytes"`
	MaxBodyKB         int     `json:"max_body_kb"`   // of requests that are not whole, of a connection
	MaxUnsentKB       int     `json:"max_unsent_kb"` // of answers that a connection's windows hold back
	StallTimeoutMS    int     `json:"stall_ms"`      // for which a client may leave its windows full
	SettingsTimeoutMS int     `json:"settings_ms"`   // within which its SETTINGS and its acknowledgement have to come
	IdleTimeoutS      int     `json:"idle_s"`
	ResetsPerS        int     `json:"resets_per_s"`
	ControlPerS       int     `json:"control_per_s"`
	EmptyPerS         int     `json:"empty_per_s"`
	EndedRetentionS   float64 `json:"kept_s"` // for which GET /jobs/ID tells of an ended job
	MaxEndedJobs      int     `json:"kept_jobs"`
	MaxEndedMB        int     `json:"kept_mb"`
}

// On tells whether the front listens at all.
func (h *HTTP2) IsEnabled() bool { return h.Listen != "" }

// DefaultHTTP2 is the section of a file that says nothing: off.
func DefaultHTTP2() HTTP2 {
	return HTTP2{MaxConnections: 64, MaxStreams: 128, MaxHeaderKB: 16, HeaderTableBytes: 4096, MaxBodyKB: 1024, MaxUnsentKB: 1024,
		StallTimeoutMS: 5000, SettingsTimeoutMS: 2000, IdleTimeoutS: 300, ResetsPerS: 50, ControlPerS: 50, EmptyPerS: 20, EndedRetentionS: 60, MaxEndedJobs: 8192, MaxEndedMB: 16}
}

// http2 takes the section over.
func (c *Config) readHTTP2(text *json.RawMessage) error {
	c.HTTP2 = DefaultHTTP2()
	if err := readSection("http2", text, &c.HTTP2); err != nil {
		return err
	}
	return c.checkHTTP2()
}

func (c *Config) checkHTTP2() error {
	h := &c.HTTP2
	if !h.IsEnabled() {
		return nil
	}
	if err := checkAddress(h.Listen); err != nil {
		return newError("http2.listen", "%v", err)
	}
	if h.MaxConnections > c.Limits.Sockets/4 {
		return newError("http2.max_connections", "%d is over %d, a quarter of limits.sockets", h.MaxConnections, c.Limits.Sockets/4)
	}
	if most := c.Limits.MemoryMB / 4; h.MaxEndedMB > most {
		return newError("http2.kept_mb", "%d is over %d, a quarter of limits.memory_mb", h.MaxEndedMB, most)
	}
	return nil
}
