package discovery

import "fmt"

// Limits bounds the memory that a decoder uses for one list.
type Limits struct {
	Endpoints   int // entries of one list
	EntryBytes  int // bytes of text of one entry
	FieldsBytes int // bytes of text of a list outside its entries, or of any other line
	ListBytes   int // estimated bytes of memory of the decoded entries
}

// DefaultLimits are the limits of a scheduler: six times the largest planned number of workers, and a third of the memory that
// a scheduler has by default.
var DefaultLimits = Limits{Endpoints: 200_000, EntryBytes: 16 << 10, FieldsBytes: 64 << 10, ListBytes: 64 << 20}

// endpointOverheadBytes estimates the memory of a decoded entry beside its name and address: core.ListedWorker, the string
// headers, and the spare capacity of growing slices.
const endpointOverheadBytes = 256

// LimitError reports a list that exceeds one of the limits. The rest of the list can't be decoded, so the connection has to
// be closed.
type LimitError struct {
	Endpoint int    // number of the entry that exceeds the limit, from 1; 0: outside the entries
	What     string // what exceeds the limit
	Limit    int
	Unit     string
}

func (e *LimitError) Error() string {
	place := "outside its endpoints"
	if e.Endpoint > 0 {
		place = fmt.Sprintf("at endpoint %d", e.Endpoint)
	}
	return fmt.Sprintf("list refused %s: %s over %d %s", place, e.What, e.Limit, e.Unit)
}
