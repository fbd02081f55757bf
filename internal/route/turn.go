package route

// Turn is when an engine processes a prompt that waits there with others.
type Turn int

const (
	// TurnNext is before those that yield.
	TurnNext Turn = iota
	// TurnYield is after all others: the request is late anyway, or is to make
	// room for others that still can be on time.
	TurnYield
)

// String returns the turn's name in logs.
func (t Turn) String() string {
	if t == TurnYield {
		return "yields"
	}
	return "next"
}

// Turn has prompts processed in the order in which they come.
func (c Costs) Turn(*Request, Start, float64) Turn { return TurnNext }
