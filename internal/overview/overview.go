// Package overview defines the status that a controller reports to operators and formats it for a
// terminal. It sends no requests.
package overview

import "micaspindle/internal/telemetry"

// View is the status of one controller and of the partitions that it leads.
type View struct {
	Controller  string  `msgpack:"controller" json:"controller"`
	Zone        string  `msgpack:"zone" json:"zone"`
	TimestampMS int64   `msgpack:"at_ms" json:"at_ms"`
	UptimeS     float64 `msgpack:"up_s" json:"up_s"`
	// ClusterLeader is true if the controller is the cluster leader.
	ClusterLeader bool `msgpack:"leads" json:"leads"`
	// Ready is true once the controller has read the state store and has the machine types.
	Ready bool `msgpack:"ready" json:"ready"`
	// StateSilenceS is the time since the last answer of the state store, in seconds.
	StateSilenceS float64 `msgpack:"state_silent_s" json:"state_silent_s"`
	// WritesWanted is the rate of state store writes that the controller needs, WritesGranted the
	// rate that it may use, both in writes per second.
	WritesWanted  float64 `msgpack:"writes_wanted" json:"writes_wanted"`
	WritesGranted float64 `msgpack:"writes_granted" json:"writes_granted"`
	// CloudUnavailable is true while requests to the cloud are paused because it did not answer.
	CloudUnavailable bool `msgpack:"cloud_rests" json:"cloud_rests"`
	// UnfinishedJobs is the number of unfinished jobs, EndedJobs the number of ended ones.
	UnfinishedJobs int `msgpack:"jobs" json:"jobs"`
	EndedJobs      int `msgpack:"ended" json:"ended"`
	// PendingScaleOuts is the number of open scale-out requests.
	PendingScaleOuts int `msgpack:"renting" json:"renting"`

	// ConnectedMachines is the number of machines that are connected to the controller, Capacity the
	// number for which it has sockets.
	ConnectedMachines int `msgpack:"connected" json:"connected"`
	Capacity          int `msgpack:"room" json:"room"`
	// Moves are the most recent moves of shards, the newest last.
	Moves []ShardMove `msgpack:"moves,omitempty" json:"moves,omitempty"`

	// Replicas are the replicas of the partitions for which the controller is the standby.
	Replicas []Replica `msgpack:"follows,omitempty" json:"follows,omitempty"`

	Partitions []Partition           `msgpack:"parts" json:"parts"`
	Teams      []Team                `msgpack:"teams" json:"teams"`
	Waits      []telemetry.Quantiles `msgpack:"waits" json:"waits"`
}

// Partition is a partition that the controller leads.
type Partition struct {
	Index int `msgpack:"part" json:"part"`
	// Ready is true once the takeover is complete.
	Ready    bool `msgpack:"ready" json:"ready"`
	Machines int  `msgpack:"machines" json:"machines"`
	Idle     int  `msgpack:"idle" json:"idle"`
	// Starting machines have sent no heartbeat yet.
	Starting int `msgpack:"coming" json:"coming"`
	// Unusable machines are lost or quarantined.
	Unusable int `msgpack:"bad" json:"bad"`
	// Reserved machines are reserved for classes or teams that are starved.
	Reserved int `msgpack:"kept,omitempty" json:"kept,omitempty"`
	// Running and Waiting are numbers of tasks. OldestWaitS is the longest time that a job that could
	// start has waited, in seconds.
	Running     int     `msgpack:"running" json:"running"`
	Waiting     int     `msgpack:"waiting" json:"waiting"`
	OldestWaitS float64 `msgpack:"oldest_s" json:"oldest_s"`
	// LongWaitingJobs is the number of jobs of which no task was placed for long, and
	// JobsExcludedFromRoom the number of those that their own failures keep from a machine with room.
	LongWaitingJobs      int `msgpack:"waiting_long,omitempty" json:"waiting_long,omitempty"`
	JobsExcludedFromRoom int `msgpack:"excluded_from_room,omitempty" json:"excluded_from_room,omitempty"`
	// Unfenced is the number of machines with an expected agent that has not confirmed the leader's
	// fencing token. FormerLeadersAnswerS is the time, in seconds, for which former leaders may
	// still answer heartbeats of the partition's machines.
	Unfenced             int     `msgpack:"unfenced,omitempty" json:"unfenced,omitempty"`
	FormerLeadersAnswerS float64 `msgpack:"former_leaders_answer_s,omitempty" json:"former_leaders_answer_s,omitempty"`
	// Forgetting is the number of ended attempts that the agents have not forgotten yet.
	Forgetting int `msgpack:"forgetting,omitempty" json:"forgetting,omitempty"`
	// CPUUtilization is the fraction of CPUs in use.
	CPUUtilization float64 `msgpack:"used" json:"used"`
	// Delegates are the controllers to which shards of the partition are delegated.
	Delegates []Delegate `msgpack:"carried,omitempty" json:"carried,omitempty"`
}

// Delegate is a controller to which a partition leader has delegated shards.
type Delegate struct {
	// Shards and Machines are the numbers of shards and machines delegated to the controller.
	Controller string `msgpack:"by" json:"by"`
	Shards     int    `msgpack:"shares" json:"shares"`
	Machines   int    `msgpack:"machines" json:"machines"`
	// Active is true if the delegate has renewed the delegation recently. Agents are directed only
	// to active delegates.
	Active bool `msgpack:"active" json:"active"`
}

// ShardMove is the move of a shard from one controller to another. An empty From or To means the
// partition leader.
type ShardMove struct {
	Partition int     `msgpack:"part" json:"part"`
	Shard     int     `msgpack:"share" json:"share"`
	From      string  `msgpack:"from" json:"from"`
	To        string  `msgpack:"to" json:"to"`
	Reason    string  `msgpack:"reason" json:"reason"`
	AgoS      float64 `msgpack:"ago_s" json:"ago_s"`
}

// Replica is a replica of a partition that another controller leads.
type Replica struct {
	Partition int    `msgpack:"part" json:"part"`
	Leader    string `msgpack:"owner" json:"owner"`
	// Records is the number of run records in the replica, ConfirmedStarts the number of attempts
	// whose start time the leader has sent.
	Records         int `msgpack:"records" json:"records"`
	ConfirmedStarts int `msgpack:"told" json:"told"`
	// Complete is true once the state transfer is complete.
	Complete bool `msgpack:"whole" json:"whole"`
	// BehindS is the time since the last applied update was requested, in seconds.
	BehindS float64 `msgpack:"behind_s" json:"behind_s"`
}

// Team is a team's usage of a partition that the controller leads.
type Team struct {
	Name      string  `msgpack:"name" json:"name"`
	Partition int     `msgpack:"part" json:"part"`
	CPUs      float64 `msgpack:"cpus" json:"cpus"`
	// Guarantee and Limit are numbers of CPUs; a Limit of 0 means no limit.
	Guarantee float64 `msgpack:"guarantee" json:"guarantee"`
	Limit     float64 `msgpack:"limit" json:"limit"`
	Running   int     `msgpack:"running" json:"running"`
	Waiting   int     `msgpack:"waiting" json:"waiting"`
}

// Row is the response of one controller: its View, or an error if there is none.
type Row struct {
	Addr string `json:"addr"`
	View *View  `json:"view,omitempty"`
	Err  string `json:"error,omitempty"`
}
