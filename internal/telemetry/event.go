package telemetry

// Event is something that is counted.
type Event int

// The events.
const (
	RequestRefused        Event = iota // users' requests that were refused
	JobLate                            // jobs that ended after their deadline
	AttemptFailed                      // attempts that ended without a result
	AttemptPreempted                   // attempts that were preempted
	MachineLeaseExpired                // machines whose lease expired
	MachineRequested                   // machines that were requested
	MachineRequestRefused              // requests for machines that the cloud refused
	CommitConflict                     // transactions that found a key changed
	CommitUnanswered                   // transactions without an answer
	LeaseRevoked                       // leases of controllers that were gone, revoked early
	TakeoverWarm                       // takeovers of a partition from a replica
	TakeoverCold                       // takeovers of a partition from the state store
	ReplicaDiffers                     // replicas that differed from the state store
	PartitionHandedOver                // partitions handed over at a planned end
	ShardMoved                         // shards of machines that changed their delegate
	eventCount
)

// eventNames are the middles of the counters' names.
var eventNames = [eventCount]string{"requests_refused", "jobs_late", "attempts_failed", "attempts_stopped", "machines_lost", "machines_asked",
	"rentals_refused", "commits_conflicting", "commits_unanswered", "leases_ended",
	"takeovers_warm", "takeovers_cold", "copies_differing", "parts_handed_over", "shares_moved"}

// metricName is the name of an event's counter.
func (e Event) metricName() string { return "micaspindle_" + eventNames[e] + "_total" }
