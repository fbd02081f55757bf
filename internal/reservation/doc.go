// Package reservation decides which engine of a zone processes a prompt next. A Ledger holds the prompts in
// progress on each engine, predicts when the engine will have processed them, and learns the speed of each
// engine from the times at which prompts were placed and completed. One instance of a zone keeps the ledger and
// the others ask it, so two instances never choose the same engine without knowing of each other.
//
// An engine is taken to process prompts one at a time, approximately in the order in which they were placed.
//
// The package is pure: the time is passed in, as the time since any fixed moment. A Ledger isn't safe for
// concurrent use.
package reservation
