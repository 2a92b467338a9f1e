package config

import "encoding/json"

// HTTP2 is the configuration section of the HTTP/2 front, which is off without a listen address. Sizes in MB and KB are
// 2^20 and 2^10 bytes.
type HTTP2 struct {
	Listen            string  `json:"listen"`
	MaxConnections    int     `json:"max_connections"`
	MaxStreams        int     `json:"max_streams"` // concurrent, per connection
	MaxHeaderKB       int     `json:"max_header_kb"`
	HeaderTableBytes  int     `json:"header_table_bytes"`
	MaxBodyKB         int     `json:"max_body_kb"`   // bodies of incomplete requests, per connection
	MaxUnsentKB       int     `json:"max_unsent_kb"` // answers blocked by flow control, per connection
	StallTimeoutMS    int     `json:"stall_ms"`      // how long a client may leave its flow-control windows exhausted
	SettingsTimeoutMS int     `json:"settings_ms"`   // for the client's SETTINGS and for its acknowledgement of ours
	IdleTimeoutS      int     `json:"idle_s"`
	ResetsPerS        int     `json:"resets_per_s"`
	ControlPerS       int     `json:"control_per_s"`
	EmptyPerS         int     `json:"empty_per_s"`
	EndedRetentionS   float64 `json:"kept_s"` // how long GET /jobs/ID finds an ended job
	MaxEndedJobs      int     `json:"kept_jobs"`
	MaxEndedMB        int     `json:"kept_mb"`
}

// IsEnabled reports whether the front listens.
func (h *HTTP2) IsEnabled() bool { return h.Listen != "" }

// DefaultHTTP2 returns the section's defaults, with the front off.
func DefaultHTTP2() HTTP2 {
	return HTTP2{MaxConnections: 64, MaxStreams: 128, MaxHeaderKB: 16, HeaderTableBytes: 4096, MaxBodyKB: 1024, MaxUnsentKB: 1024,
		StallTimeoutMS: 5000, SettingsTimeoutMS: 2000, IdleTimeoutS: 300, ResetsPerS: 50, ControlPerS: 50, EmptyPerS: 20, EndedRetentionS: 60, MaxEndedJobs: 8192, MaxEndedMB: 16}
}

// readHTTP2 reads the section over its defaults.
func (c *Config) readHTTP2(text *json.RawMessage) error {
	c.HTTP2 = DefaultHTTP2()
	if err := readSection("http2", text, &c.HTTP2); err != nil {
		return err
	}
	return c.checkHTTP2()
}

// checkHTTP2 validates the section against the limits.
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
	if maxMB := c.Limits.MemoryMB / 4; h.MaxEndedMB > maxMB {
		return newError("http2.kept_mb", "%d is over %d, a quarter of limits.memory_mb", h.MaxEndedMB, maxMB)
	}
	return nil
}
