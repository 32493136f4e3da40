package autoscaler

import (
	"fmt"
	"time"

	"micaspindle/internal/coordination/cloudclient"
	"micaspindle/internal/coordination/cluster"
	"micaspindle/internal/coordination/scaling"
	"micaspindle/internal/eventloop"
	"micaspindle/internal/protocol"
	"micaspindle/internal/retry"
	"micaspindle/internal/storage"
	"micaspindle/internal/telemetry"
)

const (
	// maxScaleOut is the maximum number of machines in one request.
	maxScaleOut = 50
	// refusedCapacityTTL is the time for which capacity that the cloud refused is not requested
	// again.
	refusedCapacityTTL = 15 * time.Second
)

// scaleOutBackoff is the pause, before jitter, until an unanswered request is repeated.
var scaleOutBackoff = retry.Backoff{First: 1333 * time.Millisecond, Max: 1333 * time.Millisecond}

// startScaleOut starts a request for machines. Its name consists of the revision of the leader's
// lease and a counter, so that it is unique.
func (a *Autoscaler) startScaleOut(plan scaling.ScaleOut) {
	leadership := &a.Leadership
	leadership.RequestCount++
	name := fmt.Sprintf("r-%d-%d", leadership.Revision, leadership.RequestCount)
	request := &cluster.ScaleOutRequest{Kind: plan.Kind, Partition: plan.Partition, Count: min(plan.Count, maxScaleOut)}
	leadership.PendingScaleOuts[name] = request
	a.metrics.Count(telemetry.MachineRequested, request.Count)
	a.log.Info("scale-out started", "request", name, "type", plan.Kind.Type, "zone", plan.Kind.Zone, "spot", plan.Kind.Spot, "count", request.Count, "wanted", plan.Count, "partition", request.Partition)
	a.runScaleOut(name, request, leadership.Revision)
}

// runScaleOut starts a goroutine that completes a scale-out request.
func (a *Autoscaler) runScaleOut(name string, request *cluster.ScaleOutRequest, leaseRevision uint64) {
	a.loop.Go(func() { a.finishScaleOut(name, request, leaseRevision) })
}

// finishScaleOut repeats a request under its name until it is answered or this controller no longer
// leads under the given lease revision. In the latter case, the next leader continues the request.
func (a *Autoscaler) finishScaleOut(name string, request *cluster.ScaleOutRequest, leaseRevision uint64) {
	kind := request.Kind
	body := protocol.CreateMachinesRequest{Request: name, Type: kind.Type, Zone: kind.Zone, Spot: kind.Spot, Count: request.Count}
	retries := a.loop.NewRetryCounter(name, scaleOutBackoff)
	for {
		machines, err := a.cloud.CreateMachines(body)
		if err == nil {
			a.completeScaleOut(name, request, machines)
			return
		}
		if cloudclient.CapacityRefused(err) {
			a.handleRefusal(name, request, err)
			return
		}
		a.log.Debug("scale-out request unanswered", "request", name, "error", err)
		if revision, leading := a.leads(); !leading || revision != leaseRevision {
			return
		}
		if !a.loop.Sleep(retries.Failed()) {
			return
		}
	}
}

// completeScaleOut writes the records of the machines that the cloud has created.
func (a *Autoscaler) completeScaleOut(name string, request *cluster.ScaleOutRequest, machines []string) {
	if len(machines) < request.Count {
		a.loop.Do(func() { a.avoidCapacity(request) })
		a.log.Info("scale-out partly fulfilled", "request", name, "count", len(machines), "wanted", request.Count)
	}
	a.recordMachines(machines, storage.Machine{
		Partition: request.Partition,
		Type:      request.Kind.Type,
		Zone:      request.Kind.Zone,
		Spot:      request.Kind.Spot,
		CreatedMS: time.Now().UnixMilli(),
	})
	a.loop.Do(func() {
		delete(a.Leadership.PendingScaleOuts, name)
		a.Leadership.MachineAssignedAt[request.Partition] = time.Now()
	})
}

// handleRefusal ends a request that the cloud refused, and triggers a round of scaling to request
// other capacity.
func (a *Autoscaler) handleRefusal(name string, request *cluster.ScaleOutRequest, err error) {
	a.metrics.Count(telemetry.MachineRequestRefused, 1)
	a.log.Info("scale-out refused", "request", name, "type", request.Kind.Type, "zone", request.Kind.Zone, "spot", request.Kind.Spot, "error", err)
	a.loop.Do(func() {
		a.avoidCapacity(request)
		delete(a.Leadership.PendingScaleOuts, name)
	})
	eventloop.Signal(a.Leadership.Wakeup)
}

// avoidCapacity excludes the kind of machine of a request from scale-outs for a while.
func (a *Autoscaler) avoidCapacity(request *cluster.ScaleOutRequest) {
	a.Leadership.CapacityRefusedUntil[request.Kind] = time.Now().Add(refusedCapacityTTL)
}
