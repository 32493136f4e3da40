// Package retry decides when what failed is tried again: pauses that grow and are spread
// (backoff.go), budgets that keep retries from multiplying a load (budget.go), and circuit
// breakers for what does not answer (circuit.go). It makes no calls and reads no clock.
package retry
