package transport_test

import (
	"bytes"
	"encoding/binary"
	"errors"
	"io"
	"testing"

	"github.com/gravitational/trace"

	_ "github.com/mallowbridge/mallowbridge/control"
	"github.com/mallowbridge/mallowbridge/gossip"
	"github.com/mallowbridge/mallowbridge/membership"
	"github.com/mallowbridge/mallowbridge/transport"
)

// unregistered is a message type that is not registered in package wire.
type unregistered struct{ X int }

func TestMessagesAreReadInOrder(t *testing.T) {
	var buf bytes.Buffer
	w := transport.NewWriter()
	for range 3 {
		frame, err := w.Frame(membership.Ping{Seq: 7, Name: "n1"})
		if err != nil {
			t.Fatal(err)
		}
		buf.Write(frame)
	}
	r := transport.NewReader(&buf)
	for range 3 {
		if msg, err := r.Next(); err != nil || msg != (membership.Ping{Seq: 7, Name: "n1"}) {
			t.Fatal(msg, err)
		}
	}
	if _, err := r.Next(); trace.Unwrap(err) != io.EOF {
		t.Error(err)
	}
	var codec *transport.CodecError
	if _, err := transport.NewWriter().Frame(unregistered{X: 1}); !errors.As(err, &codec) {
		t.Errorf("encoding an unregistered type returned %v, not a CodecError", err)
	}
}

func TestInvalidFramesReturnTypedErrors(t *testing.T) {
	long := binary.BigEndian.AppendUint32(nil, transport.MaxFrame+1)
	var tooLong *transport.FrameSizeError
	if _, err := transport.NewReader(bytes.NewReader(long)).Next(); !errors.As(err, &tooLong) {
		t.Errorf("a frame longer than MaxFrame returned %v, not a FrameSizeError", err)
	}
	var codec *transport.CodecError
	junk := append(binary.BigEndian.AppendUint32(nil, 5), "junk!"...)
	if _, err := transport.NewReader(bytes.NewReader(junk)).Next(); !errors.As(err, &codec) {
		t.Errorf("a frame that is not gob returned %v, not a CodecError", err)
	}
}

func TestBuildsThatDifferByAtMostOneAreCompatible(t *testing.T) {
	var incompatible *transport.IncompatibleBuildError
	for ours := uint32(1); ours < 6; ours++ {
		for theirs := uint32(1); theirs < 6; theirs++ {
			err := transport.CheckBuild(ours, theirs)
			if compatible := ours-theirs+1 <= 2; compatible != (err == nil) || (!compatible && !errors.As(err, &incompatible)) {
				t.Errorf("CheckBuild(%d, %d) returned %v", ours, theirs, err)
			}
		}
	}
}

func FuzzReader(f *testing.F) {
	w := transport.NewWriter()
	for _, msg := range []any{membership.Ack{Seq: 1}, gossip.Checksum{Hash: 9, N: 2}, gossip.Update{Items: []gossip.Item{{Key: "m/n1", Data: membership.Member{Name: "n1"}}}}} {
		frame, err := w.Frame(msg)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(frame)
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		r := transport.NewReader(bytes.NewReader(raw))
		for range 8 {
			if _, err := r.Next(); err != nil {
				return
			}
		}
	})
}
