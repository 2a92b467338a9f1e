package config

// Shares of limits.memory_mb that the fronts may hold for slow clients, all together.
const (
	clientBufferShare    = 4  // a quarter of what is not set aside for jobs
	minClientBufferShare = 16 // at least a sixteenth of all
)

// ClientBufferBytes returns how many bytes the fronts together may hold for their clients' connections: answers that are not
// read, and input that is not complete or not handled. memoryMB is this process's part of limits.memory_mb. What is set
// aside for pushed and for ended jobs is not available.
func (c *Config) ClientBufferBytes(memoryMB int) int64 {
	forJobsMB := 0
	if f := &c.Faktory; f.IsEnabled() {
		forJobsMB += f.MaxHeldMB + f.MaxDeadMB + f.MaxEndedMB
	}
	if c.HTTP2.IsEnabled() {
		forJobsMB += c.HTTP2.MaxEndedMB
	}
	memory := int64(memoryMB) << 20
	free := memory - int64(forJobsMB)<<20
	return max(free/clientBufferShare, memory/minClientBufferShare)
}
