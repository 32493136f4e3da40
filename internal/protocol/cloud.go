package protocol

// Catalog is the response to the cloud's GET /catalog.
type Catalog struct {
	Types []MachineType `msgpack:"shapes_of_box"`
}

// MachineType is a machine type that the cloud offers.
type MachineType struct {
	Name        string   `msgpack:"label"`
	CPUs        float64  `msgpack:"vcpus"`
	GPUs        float64  `msgpack:"gpus"`
	MemGB       float64  `msgpack:"mem_gb"`
	CacheGB     float64  `msgpack:"cache_gb"`
	FetchGBPerS float64  `msgpack:"pull_gb_per_s"`
	Price       float64  `msgpack:"price"`
	SpotPrice   float64  `msgpack:"spot_price"`
	BootS       float64  `msgpack:"startup_s"`
	Zones       []string `msgpack:"locales"`
}

// CreateMachinesRequest is the body of the cloud's POST /machines. Request is an idempotency key:
// repeating a request creates no more machines.
type CreateMachinesRequest struct {
	Request string `msgpack:"rental"`
	Type    string `msgpack:"box"`
	Zone    string `msgpack:"locale"`
	Spot    bool   `msgpack:"loaners"`
	Count   int    `msgpack:"count"`
}

// MachineNames is the response to a CreateMachinesRequest and the body of POST /machines/delete.
type MachineNames struct {
	Machines []string `msgpack:"hosts"`
}

// MachineList is one page of the response to the cloud's GET /machines. More is true unless the
// page is the last one.
type MachineList struct {
	Machines []ListedMachine `msgpack:"hosts"`
	More     bool            `msgpack:"more"`
}

// ListedMachine is a machine in a MachineList.
type ListedMachine struct {
	Name  string  `msgpack:"name_id"`
	Addr  string  `msgpack:"endpoint"`
	Type  string  `msgpack:"box"`
	Zone  string  `msgpack:"locale"`
	Spot  bool    `msgpack:"loaners"`
	State string  `msgpack:"status"`
	AgeS  float64 `msgpack:"held_s"`
}

// The states of a ListedMachine.
const (
	MachineStarting = "starting"
	MachineRunning  = "running"
	MachineFailed   = "failed"
)
