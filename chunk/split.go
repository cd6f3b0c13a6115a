package chunk

// Sizes of chunks in bytes. A boundary lies where the rolling hash of the last 64 bytes has its top bits clear, but neither before
// minimum nor after MaxChunk: on average about 3 KB apart.
const (
	minimum  = 1 << 10
	MaxChunk = 8 << 10
	window   = 64
	mask     = uint64(1<<11-1) << (64 - 11)
)

// Sizes of fine chunks, for short lists that lose entries at the front and gain others at the end: 190 bytes on average.
const (
	fineMinimum = window
	fineLargest = 512
	fineMask    = uint64(1<<7-1) << (64 - 7)
)

// gear holds a pseudo-random number for each byte value (splitmix64). A change of it makes new boundaries, so that documents no longer
// share chunks with those cut before; it makes nothing unreadable.
var gear = func() [256]uint64 {
	state := uint64(0x6d616c6c6f77)
	var table [256]uint64
	for i := range table {
		state += 0x9e3779b97f4a7c15
		mixed := (state ^ state>>30) * 0xbf58476d1ce4e5b9
		mixed = (mixed ^ mixed>>27) * 0x94d049bb133111eb
		table[i] = mixed ^ mixed>>31
	}
	return table
}()

// Split divides a document at boundaries that depend on the bytes around them alone, so that a change moves only boundaries near it. The
// chunks are parts of document, not copies.
func Split(document []byte) [][]byte { return split(document, minimum, MaxChunk, mask) }

// SplitFine is Split with chunks of 512 bytes at most.
func SplitFine(list []byte) [][]byte { return split(list, fineMinimum, fineLargest, fineMask) }

func split(document []byte, least, most int, mask uint64) [][]byte {
	var chunks [][]byte
	for len(document) > 0 {
		end := boundary(document, least, most, mask)
		chunks = append(chunks, document[:end:end])
		document = document[end:]
	}
	return chunks
}

func boundary(rest []byte, least, most int, mask uint64) int {
	if len(rest) <= least {
		return len(rest)
	}
	most = min(len(rest), most)
	hash := uint64(0)
	for _, b := range rest[least-window : least] {
		hash = hash<<1 + gear[b]
	}
	for at, b := range rest[least:most] {
		hash = hash<<1 + gear[b]
		if hash&mask == 0 {
			return least + at + 1
		}
	}
	return most
}
