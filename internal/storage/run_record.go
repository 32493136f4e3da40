package storage

// ChunkTasks is the number of tasks in one run record. It keeps a record within the state store's
// limit for the size of a value.
const ChunkTasks = 64

// RunRecord is one chunk of a job's run record.
type RunRecord struct {
	// Done holds ranges of done tasks, both ends included.
	Done [][2]int `msgpack:"d"`
	// Live holds the attempts that may still be running.
	Live []Attempt `msgpack:"l"`
	// Last is the highest attempt number used in the chunk.
	Last uint64 `msgpack:"n"`
}

// Attempt is a recorded attempt to run a task on a machine, in one epoch of the machine's agent.
type Attempt struct {
	//lint:ignore U1000 makes the encoder write a list
	_msgpack struct{} `msgpack:",as_array"`
	Task     int
	Number   uint64
	Machine  string
	Epoch    uint64
}

// Sizes of the parts of a run record, in bytes as JSON. With them the size of a record is
// computed without encoding it.
const (
	// RunBaseSize is the size of a run record without tasks: {"d": [], "l": [],
	// "n": 18446744073709551615}.
	RunBaseSize = 48
	// DoneRangeSize is the size of a range of done tasks: [99999, 99999] and a comma.
	DoneRangeSize = 16
	// attemptBaseSize is the size of a live attempt without its number, machine and epoch:
	// [99999, , "", ] and a comma.
	attemptBaseSize = 17
	// escapeSize is the number of bytes by which an escape sequence is longer than the byte that it
	// encodes.
	escapeSize = 5
)

// Size returns an upper bound of a run record's size in bytes as JSON, in which the state store
// measures values.
func (r *RunRecord) Size() int {
	size := RunBaseSize + len(r.Done)*DoneRangeSize
	for i := range r.Live {
		attempt := &r.Live[i]
		size += AttemptSize(attempt.Number, attempt.Machine, attempt.Epoch)
	}
	return size
}

// AttemptSize returns an upper bound of a live attempt's size in a run record, in bytes as JSON:
// [99999, NUMBER, "MACHINE", EPOCH] and a comma.
func AttemptSize(number uint64, machine string, epoch uint64) int {
	size := attemptBaseSize + digits(number) + digits(epoch) + len(machine)
	for i := range len(machine) {
		if mayBeEscaped(machine[i]) {
			size += escapeSize
		}
	}
	return size
}

// mayBeEscaped reports whether protocol.JSONSize may count more than one byte for c. That is so for
// bytes that JSON may escape, and for colons and commas, after which it counts a space.
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
