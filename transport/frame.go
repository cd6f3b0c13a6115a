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
	errNotOneMessage = errors.New("frame does not contain exactly one message")
	errNoHello       = errors.New("first message is not a hello")
)

const (
	// Build is the version of the protocol between nodes. It is incremented when the messages change; nodes whose builds differ by at most one can
	// communicate.
	Build = 5
	// MaxFrame is the maximum length of an encoded message in bytes.
	MaxFrame = 4 << 20
)

// Hello is the first message that each side of a connection sends.
type Hello struct {
	Build uint32
	Name  string
	// Addr is the address on which the sender accepts connections from other nodes.
	Addr string
	// Role is "follower" for a program that embeds a router, otherwise the role of the node, such as "core" or "edge".
	Role string
}

// FrameSizeError reports that a frame is empty or longer than MaxFrame.
type FrameSizeError struct{ Bytes, Bound int }

func (e *FrameSizeError) Error() string {
	return fmt.Sprintf("frame of %d bytes: must be 1 to %d", e.Bytes, e.Bound)
}

// CodecError reports that a message cannot be encoded, or that a frame does not contain a message of a registered type.
type CodecError struct{ Cause error }

func (e *CodecError) Error() string { return "cannot encode or decode message: " + e.Cause.Error() }

// IncompatibleBuildError reports that the builds of two nodes differ by more than one.
type IncompatibleBuildError struct{ Ours, Theirs uint32 }

func (e *IncompatibleBuildError) Error() string {
	return fmt.Sprintf("build %d is not compatible with build %d of the peer", e.Ours, e.Theirs)
}

// Unwrap returns the cause.
func (e *CodecError) Unwrap() error { return e.Cause }

// CheckBuild returns an *IncompatibleBuildError if the builds differ by more than one.
func CheckBuild(ours, theirs uint32) error {
	if theirs+1 < ours || theirs > ours+1 {
		return trace.Wrap(&IncompatibleBuildError{Ours: ours, Theirs: theirs})
	}
	return nil
}

// Writer encodes the messages that are sent on one connection. Its gob encoder describes each type only once, so its frames are valid only on
// that connection and in the order in which they were encoded.
type Writer struct {
	buf bytes.Buffer
	enc *gob.Encoder
}

// NewWriter returns a writer for a new connection.
func NewWriter() *Writer {
	w := &Writer{}
	w.enc = gob.NewEncoder(&w.buf)
	return w
}

// Frame returns a frame: the length of the encoded message as 4 bytes in big-endian order, and the encoded message. Errors are *CodecError and
// *FrameSizeError.
func (w *Writer) Frame(msg any) ([]byte, error) {
	w.buf.Reset()
	w.buf.Write([]byte{0, 0, 0, 0})
	encoded := wire.Encode(msg)
	if err := w.enc.Encode(&encoded); err != nil {
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

// Reader decodes the messages that are received on one connection.
type Reader struct {
	src  io.Reader
	body bytes.Buffer
	dec  *gob.Decoder
}

// NewReader returns a reader for a new connection.
func NewReader(src io.Reader) *Reader {
	r := &Reader{src: src}
	r.dec = gob.NewDecoder(&r.body)
	return r
}

// Next reads and decodes the next message. Errors are *CodecError, *FrameSizeError and those of the underlying reader; the Reader cannot be used after
// an error.
func (r *Reader) Next() (msg any, err error) {
	var length [4]byte
	if _, err = io.ReadFull(r.src, length[:]); err != nil {
		return nil, trace.Wrap(err)
	}
	n := int(binary.BigEndian.Uint32(length[:]))
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
	var encoded any
	if err = r.dec.Decode(&encoded); err != nil {
		return nil, trace.Wrap(&CodecError{Cause: err})
	}
	if encoded == nil || r.body.Len() > 0 {
		return nil, trace.Wrap(&CodecError{Cause: errNotOneMessage})
	}
	return wire.Decode(encoded), nil
}
