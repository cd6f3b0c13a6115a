package transport

import (
	"bytes"
	"encoding/binary"
	"encoding/gob"
	"errors"
	"fmt"
	"io"

	"github.com/gravitational/trace"

	"github.com/mallowbridge/mallowbridge/wire"
)

var (
	errNotOneMessage = errors.New("not one message")
	errNoHello       = errors.New("no hello")
)

// Build is raised with the messages between nodes; neighbouring builds speak with each other. MaxFrame bounds a message in bytes.
const (
	Build    = 5
	MaxFrame = 4 << 20
)

// Hello is the first message on each connection, of both sides. Role is "follower" for one that embeds a router.
type Hello struct {
	Build uint32
	Name  string
	Addr  string
	Role  string
}

// FrameSizeError says that a frame is longer than MaxFrame, or empty.
type FrameSizeError struct{ Bytes, Bound int }

func (e *FrameSizeError) Error() string {
	return fmt.Sprintf("frame of %d bytes: must be 1 to %d", e.Bytes, e.Bound)
}

// CodecError says that a frame holds no message of a known kind.
type CodecError struct{ Cause error }

func (e *CodecError) Error() string { return "frame cannot be read: " + e.Cause.Error() }

// IncompatibleBuildError says that the builds of two nodes are too far apart.
type IncompatibleBuildError struct{ Ours, Theirs uint32 }

func (e *IncompatibleBuildError) Error() string {
	return fmt.Sprintf("build %d does not speak with build %d", e.Ours, e.Theirs)
}

// Unwrap gives the cause.
func (e *CodecError) Unwrap() error { return e.Cause }

// CheckBuild returns an *IncompatibleBuildError unless the builds are the same or neighbours.
func CheckBuild(ours, theirs uint32) error {
	if theirs+1 < ours || theirs > ours+1 {
		return trace.Wrap(&IncompatibleBuildError{Ours: ours, Theirs: theirs})
	}
	return nil
}

// Writer frames messages for one connection: types are described once.
type Writer struct {
	buf bytes.Buffer
	enc *gob.Encoder
}

// NewWriter makes a writer for a new connection.
func NewWriter() *Writer {
	w := &Writer{}
	w.enc = gob.NewEncoder(&w.buf)
	return w
}

// Frame encodes a message behind its length. Errors: *CodecError, *FrameSizeError.
func (w *Writer) Frame(msg any) ([]byte, error) {
	w.buf.Reset()
	w.buf.Write([]byte{0, 0, 0, 0})
	form := wire.Encode(msg)
	if err := w.enc.Encode(&form); err != nil {
		return nil, trace.Wrap(&CodecError{Cause: err})
	}
	n := w.buf.Len() - 4
	if n > MaxFrame {
		return nil, trace.Wrap(&FrameSizeError{Bytes: n, Bound: MaxFrame})
	}
	frame := bytes.Clone(w.buf.Bytes())
	binary.BigEndian.PutUint32(frame, uint32(n))
	return frame, nil
}

// Reader reads the frames of one connection.
type Reader struct {
	src  io.Reader
	body bytes.Buffer
	dec  *gob.Decoder
}

// NewReader reads a new connection.
func NewReader(src io.Reader) *Reader {
	r := &Reader{src: src}
	r.dec = gob.NewDecoder(&r.body)
	return r
}

// Next reads one message. Errors: *CodecError, *FrameSizeError, or the source's; after any of them nothing more can be read.
func (r *Reader) Next() (msg any, err error) {
	var head [4]byte
	if _, err = io.ReadFull(r.src, head[:]); err != nil {
		return nil, trace.Wrap(err)
	}
	n := int(binary.BigEndian.Uint32(head[:]))
	if n < 1 || n > MaxFrame {
		return nil, trace.Wrap(&FrameSizeError{Bytes: n, Bound: MaxFrame})
	}
	r.body.Reset()
	if _, err = io.CopyN(&r.body, r.src, int64(n)); err != nil {
		return nil, trace.Wrap(err)
	}
	defer func() {
		if p := recover(); p != nil {
			msg, err = nil, trace.Wrap(&CodecError{Cause: fmt.Errorf("panic: %v", p)})
		}
	}()
	var form any
	if err = r.dec.Decode(&form); err != nil {
		return nil, trace.Wrap(&CodecError{Cause: err})
	}
	if form == nil || r.body.Len() > 0 {
		return nil, trace.Wrap(&CodecError{Cause: errNotOneMessage})
	}
	return wire.Decode(form), nil
}
