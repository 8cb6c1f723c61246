package nodeconfig

// How a node divides its memory limit. All processes of a node share the limit.
const (
	// programMB is the resident memory of the pages of the program's file and its libraries. The processes of a node
	// share these pages.
	programMB = 16
	// processesMB is the memory for the runtimes of two processes, and for the garbage of many short connections.
	processesMB = 12
	// memoryPerDescriptor is half of what an established connection needs with the longest opening line, in bytes. Such
	// a connection has two descriptors.
	memoryPerDescriptor = 9 << 10

	// unmanagedDivisor sets aside a part of the memory without programMB for what the Go runtime does not count.
	unmanagedDivisor = 8
	// minHeapDivisor is the smallest part of the memory limit that the heap gets. With less, the garbage collector would
	// run all the time.
	minHeapDivisor = 4
)

// HeapLimit returns the soft memory limit of the Go runtime in bytes, for each of several processes of a node.
func HeapLimit(memoryMB, processes int) int64 {
	total := int64(memoryMB) << 20
	left := total - programMB<<20
	left -= left / unmanagedDivisor
	return max(left, total/minHeapDivisor) / int64(processes)
}

// DescriptorLimit returns how many descriptors the node may use: the limit of the platform, or fewer if its memory does
// not hold the connections of so many.
func (c Config) DescriptorLimit() int {
	affordable := int64(c.MemoryMB-programMB-processesMB) << 20 / memoryPerDescriptor
	return min(c.Sockets, max(int(affordable), minSockets))
}
