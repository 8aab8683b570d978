package experiment

import "testing"

func TestTrial(t *testing.T) {
	for _, hosts := range []int{470} {
		r, err := Measure(Defaults(hosts, 1))
		t.Logf("%v %+v %v", r, r, err)
	}
}
