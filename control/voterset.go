package control

import (
	"time"

	"github.com/mallowbridge/mallowbridge/membership"
	"github.com/mallowbridge/mallowbridge/register"
)

// voterSet compares the voters of a value with the members that a node knows. Its methods change nothing.
type voterSet struct {
	value   *register.Value
	members *membership.Table
}

// next returns the voters that should replace the current ones and the reason, or nil if the current ones stay. Reasons by priority: a
// voter's disk came back empty, a voter was lost for longer than timeout, a voter is about to leave, there are fewer voters than the fault
// tolerance requires.
func (s voterSet) next(now time.Duration, lostSince map[string]time.Duration, timeout time.Duration, faultTolerance int) ([]register.Voter, string) {
	if timeout <= 0 {
		return nil, ""
	}
	for _, v := range s.value.Voters {
		if m, ok := s.replacedDisk(v); ok {
			return s.replace(v, m), "disk of " + v.Name + " came back empty"
		}
	}
	if lost := s.firstLost(now, lostSince, timeout); lost != "" {
		if vs := s.replaceWithStandby(lost); vs != nil {
			return vs, "disk " + lost + " is lost"
		}
	}
	if leaving := s.firstLeaving(); leaving != "" {
		if vs := s.replaceWithStandby(leaving); vs != nil {
			return vs, "disk " + leaving + " leaves"
		}
	}
	if len(s.value.Voters) < 2*faultTolerance+1 {
		if vs := s.replaceWithStandby(""); vs != nil {
			return vs, "a disk joins"
		}
	}
	return nil, ""
}

// firstLost returns the disk of the first voter that has been lost for at least timeout, or an empty string.
func (s voterSet) firstLost(now time.Duration, lostSince map[string]time.Duration, timeout time.Duration) string {
	for _, v := range s.value.Voters {
		if since, ok := lostSince[v.Disk]; ok && now-since >= timeout {
			return v.Disk
		}
	}
	return ""
}

// firstLeaving returns the disk of the first voter whose process was asked to terminate or has left. A restart cannot be distinguished from a
// permanent exit: if there is a standby disk, it becomes the voter, and the returning disk becomes a standby.
func (s voterSet) firstLeaving() string {
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

// standby reports whether a member has a healthy disk that is not a voter and is not about to leave.
func (s voterSet) standby(m membership.Member) bool {
	return m.Disk != "" && m.State == membership.Alive && !m.Degraded && !m.Retiring && !isVoter(s.value.Voters, m.Disk)
}

// replacedDisk returns the member of a voter that came back with another disk.
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

// replaceWithStandby replaces the voter with the lost disk by a standby disk from the zone with the fewest voters. If lost is empty, it
// adds one. It returns nil if there is no standby disk.
func (s voterSet) replaceWithStandby(lost string) []register.Voter {
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
