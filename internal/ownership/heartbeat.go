package ownership

import (
	"encoding/binary"
	"errors"
	"math"
)

// HeartbeatSize is the length of an encoded heartbeat, in bytes. It is not a multiple of the record length of package
// rules' peer messages, so that neither can be mistaken for the other.
const HeartbeatSize = 6

const (
	heartbeatVersion   = 0xb2
	weightStepsPerUnit = 40 // encoding steps per unit of the weight's logarithm
	weightOffset       = 128
	utilizationSteps   = 64 // encoding steps per unit of utilization
	encodedUnknownZone = math.MaxUint16
	flagLeaving        = 1
)

// ErrHeartbeat reports data that is not a heartbeat of a known version.
var ErrHeartbeat = errors.New("not a heartbeat")

// Heartbeat reports to the other members that a member is alive, with its zone, weight and load.
type Heartbeat struct {
	Zone        int     // or UnknownZone
	Weight      float64 // natural logarithm of the member's weight, -3 to 3; encoded in steps of 1/40
	Utilization float64 // of its share's slots by its own jobs, 0 to 3.9; encoded in steps of 1/64
	// IsLeaving reports an orderly shutdown: the other members own its workers immediately.
	IsLeaving bool
}

// IsHeartbeat reports whether a peer message is a heartbeat.
func IsHeartbeat(data []byte) bool { return len(data) == HeartbeatSize && data[0] == heartbeatVersion }

// Append appends the encoded heartbeat to b.
func (h Heartbeat) Append(b []byte) []byte {
	zone := uint16(encodedUnknownZone)
	if h.Zone >= 0 && h.Zone < encodedUnknownZone {
		zone = uint16(h.Zone)
	}
	b = append(b, heartbeatVersion)
	b = binary.BigEndian.AppendUint16(b, zone)
	flags := byte(0)
	if h.IsLeaving {
		flags |= flagLeaving
	}
	weight := math.Round(quantizeWeight(h.Weight)*weightStepsPerUnit) + weightOffset
	utilization := math.Round(min(max(0, h.Utilization)*utilizationSteps, math.MaxUint8))
	return append(b, byte(weight), byte(utilization), flags)
}

// ParseHeartbeat decodes a heartbeat, or returns ErrHeartbeat.
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
