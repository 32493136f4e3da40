package telemetry

// Event is a kind of event that is counted.
type Event int

// The events, with what each of them counts.
const (
	RequestRefused        Event = iota // requests of users that were refused
	JobLate                            // jobs that ended after their deadline
	AttemptFailed                      // attempts that ended without a result
	AttemptPreempted                   // attempts that were preempted
	MachineLeaseExpired                // machines whose lease expired
	MachineRequested                   // machines that were requested
	MachineRequestRefused              // requests for machines that the cloud refused
	CommitConflict                     // transactions that failed because a key had changed
	CommitUnanswered                   // transactions without an answer
	LeaseRevoked                       // leases of lost controllers that were revoked before their expiry
	TakeoverWarm                       // takeovers of a partition with a replica
	TakeoverCold                       // takeovers of a partition that read the state store
	ReplicaDiffers                     // replicas that differed from the state store
	PartitionHandedOver                // partitions handed over at a planned shutdown
	ShardMoved                         // shards that moved to another controller
	MachineTokenRaised                 // writes of machine records that raised the machine's token
	PartitionTokenRaised               // writes of token records, which raised the tokens of a partition's machines
	MachineQuarantined                 // machines that were quarantined
	HeartbeatOlderToken                // heartbeats answered whose agent had not received the leader's token
	FenceUnanswered                    // messages with a new token that an agent did not answer
	eventCount
)

// eventNames are the names of the counters without prefix and suffix.
var eventNames = [eventCount]string{"requests_refused", "jobs_late", "attempts_failed", "attempts_stopped", "machines_lost", "machines_asked",
	"rentals_refused", "commits_conflicting", "commits_unanswered", "leases_ended",
	"takeovers_warm", "takeovers_cold", "copies_differing", "parts_handed_over", "shares_moved",
	"machine_tokens_raised", "part_tokens_raised", "machines_quarantined", "heartbeats_older_token", "fences_unanswered"}

// metricName returns the name of an event's counter.
func (e Event) metricName() string { return "micaspindle_" + eventNames[e] + "_total" }
