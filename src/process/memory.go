package process

import "runtime/debug"

// heapShare is the part of a process's memory that the Go runtime keeps to, by collecting garbage
// more often. The rest is for the program itself and what the kernel counts besides.
const heapShare = 0.8

// LimitMemory makes the runtime keep to the memory that the process may use, in bytes; 0 means that
// there is no limit. What is in use counts, whether or not it can be collected: see package memory.
func LimitMemory(bytes int64) {
	if bytes > 0 {
		debug.SetMemoryLimit(int64(heapShare * float64(bytes)))
	}
}
