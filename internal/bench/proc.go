package bench

import (
	"fmt"
	"os"
	"strconv"
	"strings"
)

// ticksPerSecond is the unit of processor times in /proc (USER_HZ).
const ticksPerSecond = 100

// processUsage is the resource usage of a process.
type processUsage struct {
	// cpu is the processor time in seconds.
	cpu float64
	// resident is the resident memory in bytes.
	resident int64
}

// usageOf reads the usage of a process. It returns zeros if the process does not exist any more.
func usageOf(pid int) processUsage {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return processUsage{}
	}
	// The second field is the program name in parentheses and may contain spaces.
	_, rest, _ := strings.Cut(string(data), ") ")
	fields := strings.Fields(rest)
	const user, system, pages = 11, 12, 21
	if len(fields) <= pages {
		return processUsage{}
	}
	number := func(i int) int64 {
		n, _ := strconv.ParseInt(fields[i], 10, 64) // the kernel always writes numbers
		return n
	}
	return processUsage{
		cpu:      float64(number(user)+number(system)) / ticksPerSecond,
		resident: number(pages) * int64(os.Getpagesize()),
	}
}

// machineTimes are the processor times of the whole machine, in ticks.
type machineTimes struct {
	total, idle float64
}

// readMachine reads the processor times of the machine so far.
func readMachine() machineTimes {
	data, err := os.ReadFile("/proc/stat")
	if err != nil {
		return machineTimes{}
	}
	line, _, _ := strings.Cut(string(data), "\n")
	const idle, waiting = 4, 5
	var m machineTimes
	for i, field := range strings.Fields(line) {
		ticks, err := strconv.ParseFloat(field, 64)
		if err != nil {
			continue // the first field is a name
		}
		m.total += ticks
		if i == idle || i == waiting {
			m.idle += ticks
		}
	}
	return m
}

// busySince returns the fraction of processor time in use since an earlier reading.
func (m machineTimes) busySince(before machineTimes) float64 {
	if m.total <= before.total {
		return 0
	}
	return 1 - (m.idle-before.idle)/(m.total-before.total)
}
