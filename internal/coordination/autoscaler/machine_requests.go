package autoscaler

import (
	"fmt"
	"time"

	"micaspindle/internal/coordination/peerapi"
	"micaspindle/internal/protocol/peer"
)

// machineRequestTimeout bounds a request to another controller.
const machineRequestTimeout = 3 * time.Second

// askPartitionLeader starts a task that sends a request to the leader of a partition about one
// of its machines, and calls then if the leader agrees. It is called in the event loop.
func (a *Autoscaler) askPartitionLeader(partition int, request *peer.MachineRequest, then func()) {
	leader := a.Partitions[partition].Leader
	a.loop.Go(func() {
		reply, err := a.sendMachineRequest(leader, request)
		if err != nil || !reply.Ok {
			a.log.Debug("machine request declined", "machine", request.Machine, "controller", leader, "reason", reply.GetReason(), "error", err)
			return
		}
		then()
	})
}

func (a *Autoscaler) sendMachineRequest(controller string, request *peer.MachineRequest) (*peer.MachineReply, error) {
	if controller == a.Settings.Label {
		return a.agents.HandleMachineRequest(request), nil
	}
	target := a.Peers[controller]
	if target == nil {
		return nil, fmt.Errorf("no such controller %q", controller)
	}
	reply := new(peer.MachineReply)
	err := peerapi.Call(a.loop.Context(), a.network, machineRequestTimeout, target.Addr, peerapi.MachineRequestPath, request, reply)
	return reply, err
}
