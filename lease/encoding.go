package lease

import "github.com/mallowbridge/mallowbridge/wire"

// The types of this file are what messages and the disk hold. Their field names are a format and stay as they are.

func init() {
	wire.Register("ta", encodeRequest, decodeRequest)
	wire.Register("tg", encodeGrant, decodeGrant)
	wire.Register("td", encodeRelease, decodeRelease)
}

type encodedToken struct {
	Seat, N uint64
}

func encodeToken(t Token) encodedToken { return encodedToken{Seat: t.Seat, N: t.N} }

func decodeToken(f encodedToken) Token { return Token{Seat: f.Seat, N: f.N} }

type encodedRequest struct {
	Rid    uint64
	Disk   string
	Duty   string
	Holder string
	Mark   encodedToken
	Seat   uint64
}

func encodeRequest(m Request) encodedRequest {
	return encodedRequest{Rid: m.Rid, Disk: m.Disk, Duty: m.Duty, Holder: m.Holder, Mark: encodeToken(m.Mark), Seat: m.Seat}
}

func decodeRequest(f encodedRequest) Request {
	return Request{Rid: f.Rid, Disk: f.Disk, Duty: f.Duty, Holder: f.Holder, Mark: decodeToken(f.Mark), Seat: f.Seat}
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
	return encodedGrant{Rid: m.Rid, Disk: m.Disk, Duty: m.Duty, OK: m.OK, Mark: encodeToken(m.Mark), Holder: m.Holder}
}

func decodeGrant(f encodedGrant) Grant {
	return Grant{Rid: f.Rid, Disk: f.Disk, Duty: f.Duty, OK: f.OK, Mark: decodeToken(f.Mark), Holder: f.Holder}
}

type encodedRelease struct {
	Disk   string
	Duty   string
	Holder string
	Mark   encodedToken
}

func encodeRelease(m Release) encodedRelease {
	return encodedRelease{Disk: m.Disk, Duty: m.Duty, Holder: m.Holder, Mark: encodeToken(m.Mark)}
}

func decodeRelease(f encodedRelease) Release {
	return Release{Disk: f.Disk, Duty: f.Duty, Holder: f.Holder, Mark: decodeToken(f.Mark)}
}

// EncodedRecord is a Record as the disk holds it.
type EncodedRecord struct {
	Holder string
	Mark   encodedToken
}

// EncodeRecord gives the encoded form of a record.
func EncodeRecord(r Record) EncodedRecord {
	return EncodedRecord{Holder: r.Holder, Mark: encodeToken(r.Mark)}
}

// Decode gives the record of an encoded form.
func (f EncodedRecord) Decode() Record { return Record{Holder: f.Holder, Mark: decodeToken(f.Mark)} }
