package discovery

import "fmt"

// Limits bound what a decoder holds of one list.
type Limits struct {
	Endpoints   int // entries of a list
	EntryBytes  int // text of one entry
	FieldsBytes int // text of a list outside its entries, or of a line that holds none
	ListBytes   int // estimated memory of the decoded entries
}

// DefaultLimits are those of a scheduler: six times the largest fleet that is planned for, and a third of the memory
// that a scheduler is given by default.
var DefaultLimits = Limits{Endpoints: 200_000, EntryBytes: 16 << 10, FieldsBytes: 64 << 10, ListBytes: 64 << 20}

// endpointBytes is what a decoded entry takes beside its name and address: core.FarmWorker, and the headers of its
// strings, with the spare capacity of slices that grow.
const endpointOverheadBytes = 256

// LimitError is a list over one of the limits. What follows of it is of no use, so its connection has to be closed.
type LimitError struct {
	Endpoint int    // number of the entry at which it was seen, from 1; 0: outside the entries
	What     string // what is too much
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
