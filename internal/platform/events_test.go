package platform

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"cobaltflow/rules"
)

func TestParseLoad(t *testing.T) {
	want := rules.Load{Has: rules.HasQueue | rules.HasInFlight | rules.HasFreeSlots, Queue: 2, InFlight: 7, FreeSlots: 0.5}
	for text, load := range map[string]rules.Load{
		"TEXT inflight=7, queue=2, x0=0.5":                want,
		"TEXT waiting=2, avg_ms=310, active=7, x0=0.5":    want,
		"waiting=2,active=7,x0=0.5,unknown=4":             want,
		`{"queue":2,"inflight":7,"x0":0.5,"mood":"good"}`: want,
		`JSON {"queue":2,"inflight":7,"x0":0.5}`:          want,
		"":                                                {},
		"TEXT ":                                           {},
		"TEXT queue=NaN, x0=-1":                           {},
		"TEXT queue, x0=, =3":                             {},
		`{"queue":"many"}`:                                {},
		`{"queue":`:                                       {},
		"TEXT util=0.61, x1=3":                            {Has: rules.HasUtil | rules.HasFreeMem, Util: 0.61, FreeMem: 3},
		`{"queue":-4,"inflight":1e300,"x0":3}`:            {Has: rules.HasFreeSlots, FreeSlots: 3},
		"TEXT queue=1e99, util=0.5":                       {Has: rules.HasUtil, Util: 0.5},
	} {
		assert.Equal(t, load, parseLoad([]byte(text)), text)
	}
}
