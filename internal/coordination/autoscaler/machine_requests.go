package autoscaler

import (
	"fmt"
	"time"

	"micaspindle/internal/coordination/peerapi"
	"micaspindle/internal/protocol/peer"
)

// machineRequestTimeout is the timeout of a request to another controller.
const machineRequestTimeout = 3 * time.Second

// askPartitionLeader starts a goroutine that sends the leader of a partition a request about one of
// the partition's machines, and calls onAccepted if the leader accepts the request. It must be
// called in the event loop.
func (a *Autoscaler) askPartitionLeader(partition int, request *peer.MachineRequest, onAccepted func()) {
	leader := a.Partitions[partition].Leader
	a.loop.Go(func() {
		reply, err := a.sendMachineRequest(leader, request)
		if err != nil || !reply.Ok {
			a.log.Debug("machine request failed or refused", "machine", request.Machine, "controller", leader, "reason", reply.GetReason(), "error", err)
			return
		}
		onAccepted()
	})
}

func (a *Autoscaler) sendMachineRequest(controller string, request *peer.MachineRequest) (*peer.MachineReply, error) {
	if controller == a.Settings.Label {
		return a.agents.HandleMachineRequest(request), nil
	}
	target := a.Peers[controller]
	if target == nil {
		return nil, fmt.Errorf("unknown controller %q", controller)
	}
	reply := new(peer.MachineReply)
	err := peerapi.Call(a.loop.Context(), a.network, machineRequestTimeout, target.Addr, peerapi.MachineRequestPath, request, reply)
	return reply, err
}
