//go:build measure

package test

import (
	"fmt"
	"os"
	"strconv"
	"strings"
)

const (
	pageBytes    = 4096
	ticksPerSec  = 100
	statUserTime = 13 // index of utime in /proc/pid/stat, counted from 0
)

// residentMB returns a process's resident memory in MiB, or 0 if it is not running.
func residentMB(pid int) int {
	raw, _ := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	fields := strings.Fields(string(raw))
	if len(fields) < 2 {
		return 0
	}
	pages, _ := strconv.Atoi(fields[1])
	return pages * pageBytes >> 20
}

// cpuSeconds returns the user and system CPU time a process has used.
func cpuSeconds(pid int) float64 {
	raw, _ := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	rest := string(raw)
	// Skip pid and comm, which may contain spaces; rest starts at index 2.
	rest = rest[strings.LastIndexByte(rest, ')')+2:]
	fields := strings.Fields(rest)
	user, _ := strconv.Atoi(fields[statUserTime-2])
	sys, _ := strconv.Atoi(fields[statUserTime-1])
	return float64(user+sys) / ticksPerSec
}
