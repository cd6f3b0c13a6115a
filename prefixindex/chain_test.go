package prefixindex

import "testing"

func TestPrefixHeaderSyntaxes(t *testing.T) {
	a, b := parseBlocks(t, "5c1e07a2/800, 91bd3f06/410"), parseBlocks(t, "5c1e07a2:800,91bd3f06:410")
	if len(a) != 2 || len(b) != 2 || a[0] != b[0] || a[1] != b[1] || Tokens(b) != 1210 {
		t.Errorf("the two syntaxes give different blocks: %+v, %+v", a, b)
	}
	for _, bad := range []string{"a", ":5", "/5", "a/b/5", "a:0", "a:", "a/b:5"} {
		if _, err := Parse("m", bad); err == nil {
			t.Errorf("%q was accepted", bad)
		}
	}
}
