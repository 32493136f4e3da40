package api

import (
	"fmt"
	"strconv"

	"micaspindle/internal/overview"
	"micaspindle/internal/telemetry"
)

// gauges returns the overview as Prometheus gauges.
func gauges(view *overview.View) []telemetry.Gauge {
	list := controllerGauges(view)
	for i := range view.Replicas {
		list = append(list, replicaGauges(&view.Replicas[i])...)
	}
	for i := range view.Partitions {
		list = append(list, partitionGauges(&view.Partitions[i])...)
	}
	return list
}

func controllerGauges(view *overview.View) []telemetry.Gauge {
	return []telemetry.Gauge{
		{Name: "leads", Value: boolGauge(view.ClusterLeader)},
		{Name: "ready", Value: boolGauge(view.Ready)},
		{Name: "up_seconds", Value: view.UptimeS},
		{Name: "state_silent_seconds", Value: view.StateSilenceS},
		{Name: "writes_wanted", Value: view.WritesWanted},
		{Name: "writes_granted", Value: view.WritesGranted},
		{Name: "cloud_rests", Value: boolGauge(view.CloudUnavailable)},
		{Name: "jobs", Value: float64(view.UnfinishedJobs)},
		{Name: "jobs_ended", Value: float64(view.EndedJobs)},
		{Name: "rentals_open", Value: float64(view.PendingScaleOuts)},
		{Name: "machines_connected", Value: float64(view.ConnectedMachines)},
		{Name: "machines_room", Value: float64(view.Capacity)},
	}
}

func replicaGauges(replica *overview.Replica) []telemetry.Gauge {
	labels := partitionLabels(replica.Partition)
	return []telemetry.Gauge{
		{Name: "copy_behind_seconds", Labels: labels, Value: replica.BehindS},
		{Name: "copy_records", Labels: labels, Value: float64(replica.Records)},
	}
}

func partitionGauges(partition *overview.Partition) []telemetry.Gauge {
	delegated := 0
	for _, delegation := range partition.Delegates {
		delegated += delegation.Machines
	}
	labels := partitionLabels(partition.Index)
	return []telemetry.Gauge{
		{Name: "part_machines_carried", Labels: labels, Value: float64(delegated)},
		{Name: "part_machines", Labels: labels, Value: float64(partition.Machines)},
		{Name: "part_machines_idle", Labels: labels, Value: float64(partition.Idle)},
		{Name: "part_machines_coming", Labels: labels, Value: float64(partition.Starting)},
		{Name: "part_machines_bad", Labels: labels, Value: float64(partition.Unusable)},
		{Name: "part_machines_kept", Labels: labels, Value: float64(partition.Reserved)},
		{Name: "part_cpus_used_ratio", Labels: labels, Value: partition.CPUUtilization},
		{Name: "part_tasks_running", Labels: labels, Value: float64(partition.Running)},
		{Name: "part_machines_unfenced", Labels: labels, Value: float64(partition.Unfenced)},
		{Name: "part_former_leaders_answer_seconds", Labels: labels, Value: partition.FormerLeadersAnswerS},
		{Name: "part_attempts_forgetting", Labels: labels, Value: float64(partition.Forgetting)},
		{Name: "part_tasks_waiting", Labels: labels, Value: float64(partition.Waiting)},
		{Name: "part_oldest_wait_seconds", Labels: labels, Value: partition.OldestWaitS},
		{Name: "part_jobs_waiting_long", Labels: labels, Value: float64(partition.LongWaitingJobs)},
		{Name: "part_jobs_excluded_from_room", Labels: labels, Value: float64(partition.JobsExcludedFromRoom)},
	}
}

func partitionLabels(partition int) string { return fmt.Sprintf("{part=%q}", strconv.Itoa(partition)) }

// boolGauge returns 1 if the condition is true, and 0 otherwise.
func boolGauge(condition bool) float64 {
	if condition {
		return 1
	}
	return 0
}
