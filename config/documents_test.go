package config

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"strings"
	"testing"
)

func same(t *testing.T, d *CachingReader, raw []byte) bool {
	t.Helper()
	want, wantErr := Read(raw)
	got, err := d.Read(raw)
	if fmt.Sprint(err) != fmt.Sprint(wantErr) || !reflect.DeepEqual(got, want) {
		t.Fatalf("%.300s\n%v, not %v\n%+v\n%+v", raw, err, wantErr, got, want)
	}
	return err == nil
}

func offer1(rng *rand.Rand, n int) string {
	replica := n
	if rng.IntN(60) == 0 {
		replica++
	}
	return fmt.Sprintf(`{"name":"o%d","model":"m%d","replicas":[ {"name":"r%d","addr":"10.0.0.1:1","domain":"a","room":%d}],"kinds":[{"name":"k"}]%s}`,
		n, rng.IntN(3), replica, rng.IntN(80), []string{"", "", `,"cold":{"rampMs":7}`, " "}[rng.IntN(4)])
}

func TestDocumentsFindWhatReadFinds(t *testing.T) {
	good := 0
	for seed := range uint64(60) {
		rng := rand.New(rand.NewPCG(seed, 9))
		d := &CachingReader{}
		var list []string
		for i := range 8 {
			list = append(list, offer1(rng, i))
		}
		for range 30 {
			list = changedServices(rng, list)
			raw := fmt.Sprintf([]string{
				`{"offers":[%s]}`, `{"replaceLostVoterMs":7, "offers":[%s ] }`, `{"offers":[%s],"replaceLostVoterMs":-1}`,
				`{"offers":[%s],"replaceLostVoterMs":12}`, `{"offers":[%s],"colour":1}`, `{"offers":[%s]} x`,
			}[rng.IntN(6)], strings.Join(list, ","))
			if same(t, d, []byte(raw)) {
				good++
			}
		}
	}
	if good < 100 {
		t.Errorf("%d documents were sound: the test proves little", good)
	}
}

// changedServices changes, adds, removes or swaps one.
func changedServices(rng *rand.Rand, list []string) []string {
	at := rng.IntN(len(list))
	switch rng.IntN(5) {
	case 0, 1:
		list[at] = offer1(rng, at)
	case 2:
		list = append(list, offer1(rng, len(list)))
	case 3:
		if len(list) > 2 {
			list = append(list[:at:at], list[at+1:]...)
		}
	case 4:
		list[0], list[at] = list[at], list[0]
	}
	return list
}

func FuzzDocuments(f *testing.F) {
	f.Add([]byte(sound), 3, 2, []byte("x"))
	f.Fuzz(func(t *testing.T, raw []byte, at, length int, put []byte) {
		d := &CachingReader{}
		same(t, d, raw)
		if at < 0 || length < 0 || at > len(raw) || length > len(raw)-at {
			return
		}
		same(t, d, append(append(append([]byte{}, raw[:at]...), put...), raw[at+length:]...))
		same(t, d, raw)
	})
}
