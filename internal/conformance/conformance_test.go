package conformance_test

import (
	"bytes"
	"testing"

	"github.com/stretchr/testify/assert"

	"cobaltflow/internal/config"
	"cobaltflow/internal/conformance"
	"cobaltflow/internal/standin"
)

// The project's Faktory front has to pass the whole suite, with a password and FLUSH enabled.
func TestFaktoryFrontConforms(t *testing.T) {
	n := standin.Start(t, func(c *config.Config) {
		c.Faktory.Listen, c.Faktory.Password, c.Faktory.AllowFlush, c.Faktory.DefaultClass = "127.0.0.1:0", "pw", true, "board-view"
		c.Settings.SlowStartWindow, c.Settings.OverloadWindow = 1, 1
	})
	var out bytes.Buffer
	passed, failed := conformance.Report(&out, conformance.RunFaktory(conformance.FaktoryServer{Address: n.Faktory.Address(), Password: "pw", AllowsFlush: true}))
	assert.Zero(t, failed, out.String())
	assert.Equal(t, conformance.FaktoryCaseCount()+1, passed)
}

// Against a server of another protocol every case has to fail. A case that passes there checks nothing.
func TestSuiteFailsAgainstAnotherProtocol(t *testing.T) {
	n := standin.Start(t, nil)
	var out bytes.Buffer
	passed, _ := conformance.Report(&out, conformance.RunFaktory(conformance.FaktoryServer{Address: n.Front.Address()}))
	assert.Zero(t, passed, out.String())
	assert.Contains(t, out.String(), "0 passed")
}

// The project's HTTP/2 front has to pass the whole suite.
func TestHTTP2FrontConforms(t *testing.T) {
	n := standin.Start(t, func(c *config.Config) { c.HTTP2.Listen = "127.0.0.1:0" })
	var out bytes.Buffer
	passed, failed := conformance.Report(&out, conformance.RunHTTP2(conformance.HTTP2Server{Address: n.HTTP2.Address()}))
	assert.Zero(t, failed, out.String())
	assert.Equal(t, conformance.HTTP2CaseCount(), passed)
}
