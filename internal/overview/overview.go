// Package overview has what a controller tells operators of itself, and formats it for
// a terminal. It does no requests.
package overview

import "micaspindle/internal/telemetry"

// View is what one controller tells of itself and of the partitions that it leads.
type View struct {
	Controller string  `msgpack:"controller" json:"controller"`
	Zone       string  `msgpack:"zone" json:"zone"`
	AtMS       int64   `msgpack:"at_ms" json:"at_ms"`
	UpS        float64 `msgpack:"up_s" json:"up_s"`
	// ClusterLeader: it is the cluster leader.
	ClusterLeader bool `msgpack:"leads" json:"leads"`
	// Ready: it has read the state store and knows the machine types.
	Ready bool `msgpack:"ready" json:"ready"`
	// StateSilenceS is how long ago the state service answered last.
	StateSilenceS float64 `msgpack:"state_silent_s" json:"state_silent_s"`
	// WritesWanted is how many changes of the state store a second it wants, WritesGranted its
	// part of the budget.
	WritesWanted  float64 `msgpack:"writes_wanted" json:"writes_wanted"`
	WritesGranted float64 `msgpack:"writes_granted" json:"writes_granted"`
	// CloudUnavailable: the cloud is not asked for now since it did not answer.
	CloudUnavailable bool `msgpack:"cloud_rests" json:"cloud_rests"`
	// Jobs is how many jobs are unfinished, Ended how many have ended.
	Jobs      int `msgpack:"jobs" json:"jobs"`
	EndedJobs int `msgpack:"ended" json:"ended"`
	// PendingScaleOut is how many scale-out requests are open.
	PendingScaleOut int `msgpack:"renting" json:"renting"`

	// Connected is how many machines keep their connections with this controller, Room for how
	// many it has sockets.
	Connected int `msgpack:"connected" json:"connected"`
	Capacity  int `msgpack:"room" json:"room"`
	// Moves are the last moves of shards, the newest last.
	Moves []ShardMove `msgpack:"moves,omitempty" json:"moves,omitempty"`

	// Replicas are the replicas that it has of other leaders' partitions, as their standby.
	Replicas []Replica `msgpack:"follows,omitempty" json:"follows,omitempty"`

	Partitions []Partition           `msgpack:"parts" json:"parts"`
	Teams      []Team                `msgpack:"teams" json:"teams"`
	Waits      []telemetry.Quantiles `msgpack:"waits" json:"waits"`
}

// Partition is a partition that the controller leads.
type Partition struct {
	Part int `msgpack:"part" json:"part"`
	// Ready: the takeover is complete.
	Ready    bool `msgpack:"ready" json:"ready"`
	Machines int  `msgpack:"machines" json:"machines"`
	Idle     int  `msgpack:"idle" json:"idle"`
	// Starting machines have sent no heartbeat yet.
	Starting int `msgpack:"coming" json:"coming"`
	// Unusable machines are lost or quarantined.
	Unusable int `msgpack:"bad" json:"bad"`
	// Reserved machines are reserved for classes or teams that are starved.
	Reserved int `msgpack:"kept,omitempty" json:"kept,omitempty"`
	// Running and Waiting are tasks; OldestS is how long a job has waited that could start.
	Running int     `msgpack:"running" json:"running"`
	Waiting int     `msgpack:"waiting" json:"waiting"`
	OldestS float64 `msgpack:"oldest_s" json:"oldest_s"`
	// Used is the fraction of the CPUs that is in use.
	Used float64 `msgpack:"used" json:"used"`
	// Delegates are the delegates that have connections of its machines.
	Delegates []Delegate `msgpack:"carried,omitempty" json:"carried,omitempty"`
}

// Delegate is what is delegated of a partition to another controller.
type Delegate struct {
	// Controller is the delegate, Shares how many shards it has.
	Controller string `msgpack:"by" json:"by"`
	Shards     int    `msgpack:"shares" json:"shares"`
	Machines   int    `msgpack:"machines" json:"machines"`
	// Active: it has renewed the delegation of late, so that agents are sent to it.
	Active bool `msgpack:"active" json:"active"`
}

// ShardMove is a shard that changed its delegate; From and To are empty for the partition leader.
type ShardMove struct {
	Part   int     `msgpack:"part" json:"part"`
	Shard  int     `msgpack:"share" json:"share"`
	From   string  `msgpack:"from" json:"from"`
	To     string  `msgpack:"to" json:"to"`
	Reason string  `msgpack:"reason" json:"reason"`
	AgoS   float64 `msgpack:"ago_s" json:"ago_s"`
}

// Replica is a replica of a partition that another controller leads.
type Replica struct {
	Part   int    `msgpack:"part" json:"part"`
	Leader string `msgpack:"owner" json:"owner"`
	// Records is how many run records it has, Told of how many attempts the leader has said when
	// they began.
	Records         int `msgpack:"records" json:"records"`
	ConfirmedStarts int `msgpack:"told" json:"told"`
	// Complete: the state transfer is complete.
	Complete bool `msgpack:"whole" json:"whole"`
	// BehindS is how long ago the update was asked for that was applied last.
	BehindS float64 `msgpack:"behind_s" json:"behind_s"`
}

// Team is a team's use of a partition that the controller leads.
type Team struct {
	Name string  `msgpack:"name" json:"name"`
	Part int     `msgpack:"part" json:"part"`
	CPUs float64 `msgpack:"cpus" json:"cpus"`
	// Guarantee and Limit are in CPUs; a Limit of 0 is none.
	Guarantee float64 `msgpack:"guarantee" json:"guarantee"`
	Limit     float64 `msgpack:"limit" json:"limit"`
	Running   int     `msgpack:"running" json:"running"`
	Waiting   int     `msgpack:"waiting" json:"waiting"`
}

// Row is the answer of a controller: its view, or why there is none.
type Row struct {
	Addr string `json:"addr"`
	View *View  `json:"view,omitempty"`
	Err  string `json:"error,omitempty"`
}
