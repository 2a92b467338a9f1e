package ownership

import (
	"encoding/binary"
	"errors"
	"math"
)

// HeartbeatSize is the length of an encoded heartbeat, in bytes. It is no multiple of the length of a record of package
// rules, so that neither can be taken for the other.
const HeartbeatSize = 6

const (
	heartbeatVersion   = 0xb2
	weightStepsPerUnit = 40 // steps of a weight's logarithm in an encoded heartbeat, for each whole
	weightOffset       = 128
	utilizationSteps   = 64 // the same of the part of slots that is taken
	encodedUnknownZone = math.MaxUint16
	flagLeaving        = 1
)

// ErrHeartbeat tells of bytes that are no heartbeat of a known version.
var ErrHeartbeat = errors.New("not a heartbeat")

// Heartbeat tells the other members that one is alive, and what they need to know of it.
type Heartbeat struct {
	Zone        int     // AnyZone: none
	Weight      float64 // natural logarithm of the member's weight, to a fortieth, from -3 to 3
	Utilization float64 // part of its share's slots that its jobs take, to a 64th, up to 3.9
	// Leaving tells that the member ends in order: its workers are the others' at once.
	IsLeaving bool
}

// IsHeartbeat tells whether a message of a peer is one.
func IsHeartbeat(data []byte) bool { return len(data) == HeartbeatSize && data[0] == heartbeatVersion }

// Append adds the encoded heartbeat.
func (h Heartbeat) Append(to []byte) []byte {
	zone := uint16(encodedUnknownZone)
	if h.Zone >= 0 && h.Zone < encodedUnknownZone {
		zone = uint16(h.Zone)
	}
	to = append(to, heartbeatVersion)
	to = binary.BigEndian.AppendUint16(to, zone)
	flags := byte(0)
	if h.IsLeaving {
		flags |= flagLeaving
	}
	weight := math.Round(quantizeWeight(h.Weight)*weightStepsPerUnit) + weightOffset
	occupied := math.Round(min(max(0, h.Utilization)*utilizationSteps, math.MaxUint8))
	return append(to, byte(weight), byte(occupied), flags)
}

// ParseHeartbeat decodes a heartbeat.
func ParseHeartbeat(data []byte) (Heartbeat, error) {
	if !IsHeartbeat(data) {
		return Heartbeat{}, ErrHeartbeat
	}
	h := Heartbeat{Zone: int(binary.BigEndian.Uint16(data[1:])), IsLeaving: data[5]&flagLeaving != 0,
		Weight:      min(max(-maxLogWeight, (float64(data[3])-weightOffset)/weightStepsPerUnit), maxLogWeight),
		Utilization: float64(data[4]) / utilizationSteps}
	if h.Zone == encodedUnknownZone {
		h.Zone = UnknownZone
	}
	return h, nil
}
