// Package retry provides policies for retries: exponential backoff with jitter (backoff.go), budgets
// that limit the load from retries (budget.go), and circuit breakers for targets that do not answer
// (circuit.go). It makes no calls and reads no clock.
package retry
