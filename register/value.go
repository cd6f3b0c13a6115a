package register

import "slices"

type Ballot struct {
	N  uint64
	By string
}

func (b Ballot) Less(o Ballot) (yes bool) {
	return b.N < o.N || (b.N == o.N && b.By < o.By)
}

type Voter struct {
	Disk string `json:"disk"`
	Name string `json:"name"`
}

type Op struct {
	ID   string
	Mark uint64
}

type Value struct {
	Fleet   string
	Mark    uint64
	Seat    uint64
	Body    []byte
	Emptied []string
	Voters  []Voter
	Next    []Voter
	Ops     []Op
}

const keptOps = 64

func (v *Value) Clone() (c *Value) {
	c = &Value{}
	*c = *v
	c.Emptied, c.Voters, c.Next, c.Ops = slices.Clone(v.Emptied), slices.Clone(v.Voters), slices.Clone(v.Next), slices.Clone(v.Ops)
	return c
}

func (v *Value) Done(op string) (mark uint64, ok bool) {
	for _, o := range v.Ops {
		if o.ID == op {
			return o.Mark, true
		}
	}
	return 0, false
}

func (v *Value) Note(op string) {
	v.Ops = append(v.Ops, Op{ID: op, Mark: v.Mark})
	if len(v.Ops) > keptOps {
		v.Ops = v.Ops[len(v.Ops)-keptOps:]
	}
}

func (v *Value) Size() (bytes int) { return len(v.Body) }

func (v *Value) All() (vs []Voter) {
	vs = slices.Clone(v.Voters)
	for _, n := range v.Next {
		if !slices.ContainsFunc(vs, func(o Voter) bool { return o.Disk == n.Disk }) {
			vs = append(vs, n)
		}
	}
	return vs
}

func (v *Value) Newer(o *Value) (yes bool) {
	if v == nil || o == nil {
		return v != nil
	}
	return v.Mark > o.Mark || (v.Mark == o.Mark && v.Seat > o.Seat)
}

func sameVoters(a, b []Voter) (yes bool) {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if a[i].Disk != b[i].Disk {
			return false
		}
	}
	return true
}

func SameVoters(a, b *Value) (yes bool) {
	return sameVoters(a.Voters, b.Voters) && sameVoters(a.Next, b.Next)
}

func majority(set []Voter, has func(disk string) bool) (yes bool) {
	n := 0
	for _, v := range set {
		if has(v.Disk) {
			n++
		}
	}
	return n > len(set)/2
}

func Quorum(v *Value, has func(disk string) bool) (yes bool) {
	return majority(v.Voters, has) && (len(v.Next) == 0 || majority(v.Next, has))
}
