package bench

import (
	"fmt"
	"os"
	"strconv"
	"strings"
)

// ticksPerSecond is the unit of processor time in /proc (USER_HZ).
const ticksPerSecond = 100

// usage is what a process has used.
type usage struct {
	// cpu is processor time in seconds.
	cpu float64
	// resident is memory in bytes.
	resident int64
}

// usageOf reads the usage of a process; zero when it has ended.
func usageOf(pid int) usage {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return usage{}
	}
	// The second field is the program's name in brackets and may have spaces.
	_, rest, _ := strings.Cut(string(data), ") ")
	fields := strings.Fields(rest)
	const user, system, pages = 11, 12, 21
	if len(fields) <= pages {
		return usage{}
	}
	number := func(i int) int64 {
		n, _ := strconv.ParseInt(fields[i], 10, 64) // the kernel writes numbers
		return n
	}
	return usage{
		cpu:      float64(number(user)+number(system)) / ticksPerSecond,
		resident: number(pages) * int64(os.Getpagesize()),
	}
}

// machine is the processor time of the whole machine, in ticks.
type machine struct {
	total, idle float64
}

// readMachine reads the machine's processor time so far.
func readMachine() machine {
	data, err := os.ReadFile("/proc/stat")
	if err != nil {
		return machine{}
	}
	line, _, _ := strings.Cut(string(data), "\n")
	const idle, waiting = 4, 5
	var m machine
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

// busySince is the share of the processors in use since an earlier reading.
func (m machine) busySince(before machine) float64 {
	if m.total <= before.total {
		return 0
	}
	return 1 - (m.idle-before.idle)/(m.total-before.total)
}
