package lease

import "github.com/mallowbridge/mallowbridge/wire"

// The types in this file are the encoded forms of messages and of records on disk. Their field names are part of these formats and must not
// change.

func init() {
	wire.Register("ta", encodeRequest, decodeRequest)
	wire.Register("tg", encodeGrant, decodeGrant)
	wire.Register("td", encodeRelease, decodeRelease)
}

type encodedToken struct {
	Seat, N uint64
}

func encodeToken(t Token) encodedToken { return encodedToken{Seat: t.Epoch, N: t.Number} }

func decodeToken(f encodedToken) Token { return Token{Epoch: f.Seat, Number: f.N} }

type encodedRequest struct {
	Rid    uint64
	Disk   string
	Duty   string
	Holder string
	Mark   encodedToken
	Seat   uint64
}

func encodeRequest(m Request) encodedRequest {
	return encodedRequest{Rid: m.RequestID, Disk: m.Disk, Duty: m.Role, Holder: m.Holder, Mark: encodeToken(m.Token), Seat: m.Epoch}
}

func decodeRequest(f encodedRequest) Request {
	return Request{RequestID: f.Rid, Disk: f.Disk, Role: f.Duty, Holder: f.Holder, Token: decodeToken(f.Mark), Epoch: f.Seat}
}

type encodedGrant struct {
	Rid    uint64
	Disk   string
	Duty   string
	OK     bool
	Mark   encodedToken
	Holder string
}

func encodeGrant(m Grant) encodedGrant {
	return encodedGrant{Rid: m.RequestID, Disk: m.Disk, Duty: m.Role, OK: m.OK, Mark: encodeToken(m.Token), Holder: m.Holder}
}

func decodeGrant(f encodedGrant) Grant {
	return Grant{RequestID: f.Rid, Disk: f.Disk, Role: f.Duty, OK: f.OK, Token: decodeToken(f.Mark), Holder: f.Holder}
}

type encodedRelease struct {
	Disk   string
	Duty   string
	Holder string
	Mark   encodedToken
}

func encodeRelease(m Release) encodedRelease {
	return encodedRelease{Disk: m.Disk, Duty: m.Role, Holder: m.Holder, Mark: encodeToken(m.Token)}
}

func decodeRelease(f encodedRelease) Release {
	return Release{Disk: f.Disk, Role: f.Duty, Holder: f.Holder, Token: decodeToken(f.Mark)}
}

// EncodedRecord is a Record as it is stored on disk.
type EncodedRecord struct {
	Holder string
	Mark   encodedToken
}

// EncodeRecord returns the encoded form of a record.
func EncodeRecord(r Record) EncodedRecord {
	return EncodedRecord{Holder: r.Holder, Mark: encodeToken(r.Token)}
}

// Decode returns the record that f encodes.
func (f EncodedRecord) Decode() Record { return Record{Holder: f.Holder, Token: decodeToken(f.Mark)} }
