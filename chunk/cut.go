package chunk

// Sizes of chunks in bytes. A boundary lies where the rolling hash of the last 64 bytes has its top bits clear, but neither before
// minimum nor after Largest: on average about 3 KB apart.
const (
	minimum = 1 << 10
	Largest = 8 << 10
	window  = 64
	mask    = uint64(1<<11-1) << (64 - 11)
)

// gear holds a pseudo-random number for each byte value (splitmix64). A change of it makes new boundaries, so that documents no longer
// share chunks with those cut before; it makes nothing unreadable.
var gear = func() (table [256]uint64) {
	state := uint64(0x6d616c6c6f77)
	for i := range table {
		state += 0x9e3779b97f4a7c15
		mixed := (state ^ state>>30) * 0xbf58476d1ce4e5b9
		mixed = (mixed ^ mixed>>27) * 0x94d049bb133111eb
		table[i] = mixed ^ mixed>>31
	}
	return table
}()

// Cut divides a document at boundaries that depend on the bytes around them alone, so that a change moves only boundaries near it. The
// chunks are parts of document, not copies.
func Cut(document []byte) (chunks [][]byte) {
	for len(document) > 0 {
		end := boundary(document)
		chunks = append(chunks, document[:end:end])
		document = document[end:]
	}
	return chunks
}

func boundary(rest []byte) (end int) {
	if len(rest) <= minimum {
		return len(rest)
	}
	most := min(len(rest), Largest)
	hash := uint64(0)
	for _, b := range rest[minimum-window : minimum] {
		hash = hash<<1 + gear[b]
	}
	for at, b := range rest[minimum:most] {
		hash = hash<<1 + gear[b]
		if hash&mask == 0 {
			return minimum + at + 1
		}
	}
	return most
}
