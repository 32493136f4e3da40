package protocol

// Catalog is the answer of the cloud's GET /catalog.
type Catalog struct {
	Types []MachineType `msgpack:"shapes_of_box"`
}

// MachineType is a type of machine that the cloud rents out.
type MachineType struct {
	Name         string   `msgpack:"label"`
	CPUs         float64  `msgpack:"vcpus"`
	GPUs         float64  `msgpack:"gpus"`
	MemGB        float64  `msgpack:"mem_gb"`
	CacheGB      float64  `msgpack:"cache_gb"`
	FetchGBPerS  float64  `msgpack:"pull_gb_per_s"`
	Price        float64  `msgpack:"price"`
	SpotPrice    float64  `msgpack:"spot_price"`
	BootS        float64  `msgpack:"startup_s"`
	ZonesOffered []string `msgpack:"locales"`
}

// CreateMachinesRequest is the body of the cloud's POST /machines. Request identifies it: a repeated one rents
// nothing twice.
type CreateMachinesRequest struct {
	Request string `msgpack:"rental"`
	Type    string `msgpack:"box"`
	Zone    string `msgpack:"locale"`
	Spot    bool   `msgpack:"loaners"`
	Count   int    `msgpack:"count"`
}

// MachineNames is the answer to a rental and the body of a deletion.
type MachineNames struct {
	Machines []string `msgpack:"hosts"`
}

// MachineList is the answer of the cloud's GET /machines.
type MachineList struct {
	Machines []ListedMachine `msgpack:"hosts"`
	More     bool            `msgpack:"more"`
}

// ListedMachine is one machine in the cloud's list.
type ListedMachine struct {
	Name  string  `msgpack:"name_id"`
	Addr  string  `msgpack:"endpoint"`
	Type  string  `msgpack:"box"`
	Zone  string  `msgpack:"locale"`
	Spot  bool    `msgpack:"loaners"`
	State string  `msgpack:"status"`
	AgeS  float64 `msgpack:"held_s"`
}

// The states of a listed machine.
const (
	MachineStarting = "starting"
	MachineRunning  = "running"
	MachineFailed   = "failed"
)
