package link

// Costs of the messages of a connection that were read and not handled yet, for a front that reads messages in batches.
const (
	MaxBacklogBytes = 256 << 10 // unhandled on one connection; above it nothing more is read from the connection
	MinMessageCost  = 512       // charged for a short message: each takes its part of a turn of the loop
)
