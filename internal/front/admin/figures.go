package admin

import (
	"strconv"

	"cobaltflow/internal/core"
	"cobaltflow/internal/link"
)

// Prefix stands before every figure's name.
const MetricPrefix = "edge_relay."

// Figures writes what the scheduler reports, in statsd's form, a figure a line: for each class the jobs
// served (fulfilled), refused (throttled) and failed (faulted) since the start, the attempts written whole to
// the workers (relayed), as counters; the jobs taken and not ended (open_requests), the workers listed
// (registry_entries) and those of them that get nothing new now, by hand or by choice (out_of_rotation), as
// gauges. Where sites are watched, for each its state (0 whole, 1 suspect, 2 lost, 3 cut off, 4 returning) and how many
// of its workers get nothing new for that, as gauges. How often the folder of the operators' directives could not be used
// (directive_failures) is a counter, and so is how many accepts failed (accept_failures). Each is read where it is kept, on the loop, at the moment of the
// call.
func Metrics(c *core.Core, clients ClientFront, directives Directives, classes []string) []byte {
	b := make([]byte, 0, 96*len(classes)+160)
	for i, name := range classes {
		var e core.AnswerCounts
		if i < len(c.AnswersByClass) {
			e = c.AnswersByClass[i]
		}
		b = appendMetric(b, "fulfilled."+name, e.Served, 'c')
		b = appendMetric(b, "throttled."+name, e.Refused, 'c')
		b = appendMetric(b, "faulted."+name, e.Failed, 'c')
	}
	b = appendMetric(b, "relayed", clients.Relayed(), 'c')
	b = appendMetric(b, "directive_failures", directives.Failures(), 'c')
	b = appendMetric(b, "accept_failures", link.AcceptFailures(), 'c')
	b = appendMetric(b, "open_requests", uint64(c.OpenRequests()), 'g')
	b = appendMetric(b, "registry_entries", uint64(c.WorkerCount()), 'g')
	b = appendMetric(b, "out_of_rotation", uint64(c.WorkersOutOfRotation()), 'g')
	for _, s := range c.Sites() {
		b = appendMetric(b, "site_state."+s.Name, uint64(s.State), 'g')
		b = appendMetric(b, "site_out."+s.Name, uint64(s.WorkersOut), 'g')
	}
	if s, divided := c.Ownership(); divided {
		b = appendMetric(b, "ownership_live", uint64(s.LiveSchedulers), 'g')
		b = appendMetric(b, "ownership_held", uint64(s.HeldWorkers), 'g')
		b = appendMetric(b, "ownership_span_percent", uint64(100*s.Span), 'g')
		b = appendMetric(b, "ownership_weight_percent", uint64(100*s.Weight), 'g')
	}
	return b
}

func appendMetric(b []byte, name string, v uint64, kind byte) []byte {
	b = append(append(b, MetricPrefix...), name...)
	b = strconv.AppendUint(append(b, ':'), v, 10)
	return append(append(b, '|', kind), '\n')
}
