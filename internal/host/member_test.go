package host

import (
	"testing"

	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"

	"github.com/chestnutline/chestnutline/internal/clock"
	"github.com/chestnutline/chestnutline/internal/membership"
	"github.com/chestnutline/chestnutline/internal/router"
	"github.com/chestnutline/chestnutline/internal/telemetry"
	"github.com/chestnutline/chestnutline/internal/traffic"
	"github.com/chestnutline/chestnutline/internal/wire"
)

// TestMembershipIsLogged gives every effect that tells of other hosts, and
// expects its event; a process whose name is taken stops by itself.
func TestMembershipIsLogged(t *testing.T) {
	cases := []struct {
		effect membership.Effect
		event  int
	}{
		{membership.MemberChanged{Host: "h2", State: wire.Suspect}, 2100},
		{membership.IncarnationReplaced{Host: "h2", OldIncarnation: 1, OldState: wire.Leaving}, 2101},
		{membership.ReachabilityChanged{DataCentre: "b"}, 2102},
		{membership.ReachabilityChanged{DataCentre: "b", Reachable: true}, 2103},
		{membership.IncarnationRaised{Incarnation: 9}, 2104},
		{membership.Superseded{Address: "a:1", Incarnation: 9}, 2105},
	}
	for _, one := range cases {
		handler := memory.New()
		p := &Process{
			log:         &log.Logger{Handler: handler, Level: log.DebugLevel},
			metrics:     telemetry.New(),
			interrupted: make(chan struct{}),
			claims:      newClaimPeers("h1", "a:0"),
			executor:    traffic.NewExecutor(traffic.Config{}, clock.Start(), nil, nil, nil, nil),
		}
		p.noteMember(router.MembershipEffect{Effect: one.effect})
		if len(handler.Entries) != 1 || handler.Entries[0].Fields["event"] != one.event {
			t.Errorf("%T: logged %+v, want event %d", one.effect, handler.Entries, one.event)
		}
		_, superseded := one.effect.(membership.Superseded)
		select {
		case <-p.interrupted:
			if !superseded {
				t.Errorf("%T stopped the process", one.effect)
			}
		default:
			if superseded {
				t.Error("the process goes on under a name that is taken")
			}
		}
	}
}
