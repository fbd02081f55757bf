package model

import "time"

// fast returns the engine figures of the new customer's data sheet: a dense model on one accelerator.
func fast() EngineSpec {
	return EngineSpec{
		TokenTime: 4237, PairTime: 0.138, TransferTime: 109, Step: 637 * time.Microsecond,
		StepPerRequest: 3190 * time.Nanosecond, StepPerContext: 2130 * time.Nanosecond, Chunk: 512, Slots: 64,
		MemoryTokens: 370000, EventTokens: 52, RoleChange: 3 * time.Second,
	}
}

// slow returns the engine figures of the first customers' data sheet: a mixture-of-experts model on eight
// accelerators.
func slow() EngineSpec {
	return EngineSpec{
		TokenTime: 16300, PairTime: 0.525, TransferTime: 760, Overhead: 90 * time.Millisecond, Step: 4550 * time.Microsecond,
		StepPerRequest: 181 * time.Microsecond, StepPerContext: 3660 * time.Nanosecond, Chunk: 1024, Slots: 64,
		MemoryTokens: 467273, EventTokens: 7, RoleChange: 3 * time.Second,
	}
}

// bursts alternates between two factors every 2.8 s, on top of waves of 14 s each.
func bursts(first, second float64, waveFactors ...float64) []Burst {
	const short, wave = 2800 * time.Millisecond, 14 * time.Second
	var list []Burst
	for i, factor := range waveFactors {
		from := 3*time.Second + time.Duration(i)*(wave+time.Second)
		list = append(list, Burst{From: from, Duration: wave, Factor: factor})
	}
	for i := range 11 {
		factor := first
		if i%2 == 1 {
			factor = second
		}
		list = append(list, Burst{From: time.Second + time.Duration(i)*short, Duration: short, Factor: factor})
	}
	return list
}

// alternating is the new customer's load: alternating bursts of long prompts with very short answers, and
// short questions with long answers. The figures come from the data sheet of the deployment tsd-fleet and
// from a day of low traffic there.
func alternating() Pattern {
	return Pattern{
		Name: "alternating bursts of long prompts and long answers", Length: 34 * time.Second,
		Fleet: Fleet{Zones: 3, Instances: 9, Engines: 18, Engine: fast()},
		Class: []Class{
			{
				Name: "summary", Rate: 195, Shared: 6300, Own: 2890, Answer: 78, Spread: 0.7, Parts: 669, Skew: 0.3,
				Objective: 200 * time.Millisecond, MaxGap: 200 * time.Millisecond, WaitBudget: 2 * time.Second,
				Bursts: append(bursts(0.56, 1.65, 0.35, 1.9), Burst{From: 16200 * time.Millisecond, Duration: 5 * time.Second, Factor: 2}),
			},
			{
				Name: "question", Rate: 29, Shared: 79, Own: 141, Answer: 4600, Spread: 0.6, Parts: 222, Skew: 0.3, Priority: 1,
				Objective: 150 * time.Millisecond, MaxGap: 200 * time.Millisecond, WaitBudget: 2 * time.Second,
				Bursts: append(bursts(1.67, 0.56, 1.6, 0.49), Burst{From: 21200 * time.Millisecond, Duration: 5 * time.Second, Factor: 2}),
			},
		},
	}
}

// surge is three times the rate of long prompts for four seconds. Bursts of the customers' traffic reach
// three times the mean.
func surge() Pattern {
	p := alternating()
	p.Name, p.Length = "three times the long prompts for four seconds", 10*time.Second
	p.Class[0].Bursts = []Burst{{From: 3 * time.Second, Duration: 4 * time.Second, Factor: 3}}
	p.Class[1].Bursts = nil
	return p
}

// shortPrompts is a burst of short prompts while a third of the decode engines is missing. On one day, the
// deployment qoton-gabes had four engines scaled in and received 1.9 times the usual number of short prompts.
func shortPrompts() Pattern {
	return Pattern{
		Name: "a burst of short prompts with engines scaled in", Length: 30 * time.Second,
		Fleet: Fleet{Zones: 4, Instances: 9, Engines: 14, Engine: slow()},
		Class: []Class{
			{
				Name: "audit", Rate: 24, Shared: 13300, Own: 3720, Answer: 120, Spread: 0.7, Parts: 80, Skew: 0.5,
				Objective: 800 * time.Millisecond, MaxGap: 300 * time.Millisecond, WaitBudget: 3200 * time.Millisecond,
			},
			{
				Name: "check", Rate: 28, Shared: 350, Own: 1110, Answer: 175, Spread: 0.7, Parts: 100, Skew: 0.5, Priority: 1,
				Objective: 500 * time.Millisecond, MaxGap: 300 * time.Millisecond, WaitBudget: 2400 * time.Millisecond,
				Bursts: []Burst{{From: 5 * time.Second, Duration: 14 * time.Second, Factor: 1.9}},
			},
		},
	}
}
