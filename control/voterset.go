package control

import (
	"time"

	"github.com/mallowbridge/mallowbridge/membership"
	"github.com/mallowbridge/mallowbridge/register"
)

// voterSet is the voters of a value, seen beside the members that a node knows. It changes nothing.
type voterSet struct {
	value   *register.Value
	members *membership.Table
}

// next names the voters that should take over from the present ones, and why; nil: the present ones stay. The order is that of need: a
// disk that came back empty, a voter lost for longer than timeout, one that is about to leave, and a disk that may join until there are
// enough for the fault tolerance.
func (s voterSet) next(now time.Duration, lostSince map[string]time.Duration, timeout time.Duration, faultTolerance int) ([]register.Voter, string) {
	if timeout <= 0 {
		return nil, ""
	}
	for _, v := range s.value.Voters {
		if m, ok := s.replacedDisk(v); ok {
			return s.replace(v, m), "disk of " + v.Name + " came back empty"
		}
	}
	if lost := s.lost(now, lostSince, timeout); lost != "" {
		if vs := s.without(lost); vs != nil {
			return vs, "disk " + lost + " is lost"
		}
	}
	if leaving := s.leaving(); leaving != "" {
		if vs := s.without(leaving); vs != nil {
			return vs, "disk " + leaving + " leaves"
		}
	}
	if len(s.value.Voters) < 2*faultTolerance+1 {
		if vs := s.without(""); vs != nil {
			return vs, "a disk joins"
		}
	}
	return nil, ""
}

// lost names the disk of the first voter that has been lost for as long as timeout.
func (s voterSet) lost(now time.Duration, lostSince map[string]time.Duration, timeout time.Duration) string {
	for _, v := range s.value.Voters {
		if since, ok := lostSince[v.Disk]; ok && now-since >= timeout {
			return v.Disk
		}
	}
	return ""
}

// leaving names the disk of the first voter whose process was told to end, or has left. Whether it is only restarted nobody can tell: with
// a standby disk that one votes from then on, and the one that comes back is the next standby.
func (s voterSet) leaving() string {
	for _, v := range s.value.Voters {
		m, ok := s.memberWith(v.Disk)
		if ok && (m.Retiring || m.State == membership.Left) {
			return v.Disk
		}
	}
	return ""
}

func (s voterSet) memberWith(disk string) (membership.Member, bool) {
	for _, m := range s.members.All() {
		if m.Disk == disk {
			return m, true
		}
	}
	return membership.Member{}, false
}

func (s voterSet) healthy(disk string) bool {
	m, ok := s.memberWith(disk)
	return ok && m.State == membership.Alive && !m.Degraded
}

// standby says whether a member has a healthy disk that could vote and means to stay.
func (s voterSet) standby(m membership.Member) bool {
	return m.Disk != "" && m.State == membership.Alive && !m.Degraded && !m.Retiring && !isVoter(s.value.Voters, m.Disk)
}

// replacedDisk finds the machine of a voter that is back with another disk.
func (s voterSet) replacedDisk(v register.Voter) (membership.Member, bool) {
	m, ok := s.members.Get(v.Name)
	return m, ok && m.Disk != v.Disk && s.standby(m)
}

func (s voterSet) replace(old register.Voter, m membership.Member) []register.Voter {
	var vs []register.Voter
	for _, v := range s.value.Voters {
		if v == old {
			v = register.Voter{Disk: m.Disk, Name: m.Name}
		}
		vs = append(vs, v)
	}
	return vs
}

// without puts a standby disk in the place of a lost one, in the zone with the fewest voters; nil: there is none.
func (s voterSet) without(lost string) []register.Voter {
	votersIn := map[string]int{}
	var vs []register.Voter
	for _, v := range s.value.Voters {
		if v.Disk == lost {
			continue
		}
		vs = append(vs, v)
		if m, ok := s.members.Get(v.Name); ok {
			votersIn[m.Zone]++
		}
	}
	var best membership.Member
	for _, m := range s.members.All() {
		if s.standby(m) && (best.Name == "" || votersIn[m.Zone] < votersIn[best.Zone]) {
			best = m
		}
	}
	if best.Name == "" {
		return nil
	}
	return append(vs, register.Voter{Disk: best.Disk, Name: best.Name})
}

func isVoter(vs []register.Voter, disk string) bool {
	for _, v := range vs {
		if v.Disk == disk {
			return true
		}
	}
	return false
}
