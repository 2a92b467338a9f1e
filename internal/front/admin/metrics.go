package admin

import (
	"runtime/metrics"
	"strconv"

	"cobaltflow/internal/core"
	"cobaltflow/internal/link"
	"cobaltflow/internal/reactor"
)

// MetricPrefix precedes the name of every metric.
const MetricPrefix = "edge_relay."

// Metrics returns the scheduler's metrics in statsd format, one a line. It is called on the loop and reads the current values.
//
// Counters, since the start:
//   - fulfilled.CLASS, throttled.CLASS, faulted.CLASS: jobs of a class that were served, refused and failed
//   - relayed: attempts written completely to workers
//   - directive_failures: failures to read or write the operators' directives
//   - accept_failures: connections that could not be accepted
//   - refused_for_memory: messages that were refused unread, since there was no memory for them
//   - conn_ended.REASON: connections that ended, by the reason in their log line
//
// Gauges:
//   - input_bytes: large messages that were read and not released
//   - unhandled_messages: messages that were read and wait for the event loop
//   - heap_bytes, runtime_bytes: what the last collection left, and what the Go runtime has from the system
//   - open_requests: accepted jobs without a final answer
//   - registry_entries: listed workers
//   - out_of_rotation: listed workers that get no new jobs, disabled by an operator or avoided by the rules
//   - site_state.SITE: 0 whole, 1 suspect, 2 lost, 3 cut off, 4 returning; only if sites are watched
//   - site_out.SITE: workers of the site that get no new jobs because of its state; only if sites are watched
//   - ownership_live, ownership_held, ownership_span_percent, ownership_weight_percent: schedulers that count as alive,
//     workers in this scheduler's share, how far the share exceeds what it owns (100: not at all), and its weight against
//     other schedulers (100: equal); only if the worker list is divided among schedulers
func Metrics(c *core.Core, clients ClientFront, directives Directives, poller *reactor.Poller, classes []string) []byte {
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
	b = appendMetric(b, "refused_for_memory", poller.Buffers.Refused(), 'c')
	for _, ended := range link.EndedConnections() {
		b = appendMetric(b, "conn_ended."+ended.Reason, ended.Count, 'c')
	}
	b = appendMetric(b, "input_bytes", uint64(poller.Buffers.Used()), 'g')
	b = appendMetric(b, "unhandled_messages", uint64(max(0, poller.Unhandled())), 'g')
	memory := []metrics.Sample{{Name: "/gc/heap/live:bytes"}, {Name: "/memory/classes/total:bytes"}}
	metrics.Read(memory)
	b = appendMetric(b, "heap_bytes", memory[0].Value.Uint64(), 'g')
	b = appendMetric(b, "runtime_bytes", memory[1].Value.Uint64(), 'g')
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

// appendMetric appends one line; kind is c for a counter and g for a gauge.
func appendMetric(b []byte, name string, v uint64, kind byte) []byte {
	b = append(append(b, MetricPrefix...), name...)
	b = strconv.AppendUint(append(b, ':'), v, 10)
	return append(append(b, '|', kind), '\n')
}
