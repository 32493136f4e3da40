package storage

// ChunkTasks is how many tasks share one run record, so that a record stays within the size of a
// value.
const ChunkTasks = 64

// RunRecord is one chunk of a job's run record.
type RunRecord struct {
	// Done holds ranges of done tasks, both ends included.
	Done [][2]int `msgpack:"d"`
	// Live holds the attempts that are not proven over.
	Live []Attempt `msgpack:"l"`
	// Last is the highest attempt number used in the chunk.
	Last uint64 `msgpack:"n"`
}

// Attempt is a recorded attempt of a task in an agent epoch of a machine.
type Attempt struct {
	//lint:ignore U1000 tells the encoder to write a list
	_msgpack struct{} `msgpack:",as_array"`
	Task     int
	Number   uint64
	Machine  string
	Epoch    uint64
}

// The sizes of what makes up a run record, as JSON. Size adds them up, so that a record's size is
// known without making it.
const (
	// RunBaseSize is what a run record takes without tasks: {"d": [], "l": [],
	// "n": 18446744073709551615}.
	RunBaseSize = 48
	// DoneRangeSize is what a range of done tasks takes: [99999, 99999] and a comma.
	DoneRangeSize = 16
	// attemptBase is what a live attempt takes beside its number, machine and epoch:
	// [99999, , "", ] and a comma.
	attemptBase = 17
	// escapeSize is what an escape takes more than the byte that it stands for.
	escapeSize = 5
)

// Size bounds the size of a run record in the form in which the state store counts it, JSON.
func (r *RunRecord) Size() int {
	size := RunBaseSize + len(r.Done)*DoneRangeSize
	for i := range r.Live {
		attempt := &r.Live[i]
		size += AttemptSize(attempt.Number, attempt.Machine, attempt.Epoch)
	}
	return size
}

// AttemptSize bounds what a live attempt takes of a run record: [99999, NUMBER, "MACHINE", EPOCH]
// and a comma.
func AttemptSize(number uint64, machine string, epoch uint64) int {
	size := attemptBase + digits(number) + digits(epoch) + len(machine)
	for i := range len(machine) {
		if mayBeEscaped(machine[i]) {
			size += escapeSize
		}
	}
	return size
}

// mayBeEscaped says whether JSON may show a byte as an escape, or protocol.JSONSize counts it as
// more than one: it takes every colon and comma for one that a space may follow.
func mayBeEscaped(c byte) bool {
	switch c {
	case '"', '\\', '<', '>', '&', ':', ',':
		return true
	}
	return c < ' ' || c >= 0x7f
}

func digits(n uint64) int {
	count := 1
	for ; n >= 10; n /= 10 {
		count++
	}
	return count
}
