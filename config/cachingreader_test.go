package config

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"strings"
	"testing"
)

// readsSame fails the test unless r and Read return the same for a document. It reports whether the document is valid.
func readsSame(t *testing.T, r *CachingReader, raw []byte) bool {
	t.Helper()
	want, wantErr := Read(raw)
	got, err := r.Read(raw)
	if fmt.Sprint(err) != fmt.Sprint(wantErr) || !reflect.DeepEqual(got, want) {
		t.Fatalf("%.300s\ngot error %v, want %v\n%+v\n%+v", raw, err, wantErr, got, want)
	}
	return err == nil
}

// randomService returns the n-th service in one of several variants. In rare cases its replica's name is that of the next service.
func randomService(rng *rand.Rand, n int) string {
	replica := n
	if rng.IntN(60) == 0 {
		replica++
	}
	return fmt.Sprintf(`{"name":"o%d","model":"m%d","replicas":[ {"name":"r%d","addr":"10.0.0.1:1","domain":"a","room":%d}],"kinds":[{"name":"k"}]%s}`,
		n, rng.IntN(3), replica, rng.IntN(80), []string{"", "", `,"cold":{"rampMs":7}`, " "}[rng.IntN(4)])
}

func TestCachingReaderMatchesRead(t *testing.T) {
	valid := 0
	for seed := range uint64(60) {
		rng := rand.New(rand.NewPCG(seed, 9))
		r := &CachingReader{}
		var list []string
		for i := range 8 {
			list = append(list, randomService(rng, i))
		}
		for range 30 {
			list = changeServices(rng, list)
			raw := fmt.Sprintf([]string{
				`{"offers":[%s]}`, `{"replaceLostVoterMs":7, "offers":[%s ] }`, `{"offers":[%s],"replaceLostVoterMs":-1}`,
				`{"offers":[%s],"replaceLostVoterMs":12}`, `{"offers":[%s],"colour":1}`, `{"offers":[%s]} x`,
			}[rng.IntN(6)], strings.Join(list, ","))
			if readsSame(t, r, []byte(raw)) {
				valid++
			}
		}
	}
	if valid < 100 {
		t.Errorf("only %d documents were valid, so the test covers too little", valid)
	}
}

// changeServices replaces, adds, removes or swaps one service.
func changeServices(rng *rand.Rand, list []string) []string {
	at := rng.IntN(len(list))
	switch rng.IntN(5) {
	case 0, 1:
		list[at] = randomService(rng, at)
	case 2:
		list = append(list, randomService(rng, len(list)))
	case 3:
		if len(list) > 2 {
			list = append(list[:at:at], list[at+1:]...)
		}
	case 4:
		list[0], list[at] = list[at], list[0]
	}
	return list
}

func FuzzCachingReader(f *testing.F) {
	f.Add([]byte(validDocument), 3, 2, []byte("x"))
	f.Fuzz(func(t *testing.T, raw []byte, at, length int, put []byte) {
		r := &CachingReader{}
		readsSame(t, r, raw)
		if at < 0 || length < 0 || at > len(raw) || length > len(raw)-at {
			return
		}
		readsSame(t, r, append(append(append([]byte{}, raw[:at]...), put...), raw[at+length:]...))
		readsSame(t, r, raw)
	})
}
