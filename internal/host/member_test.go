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

// TestMembershipEffectsAreLogged applies every membership effect that concerns
// the log and expects its event number. A process whose name was taken by a
// later process must stop, and no other effect may stop it.
func TestMembershipEffectsAreLogged(t *testing.T) {
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
	for _, testCase := range cases {
		handler := memory.New()
		p := &Process{
			log:         &log.Logger{Handler: handler, Level: log.DebugLevel},
			metrics:     telemetry.New(),
			interrupted: make(chan struct{}),
			claimPeers:  newClaimPeers("h1", "a:0"),
			executor:    traffic.NewExecutor(traffic.Config{}, clock.Start(), nil, nil, nil, nil),
		}
		p.applyMembershipEffect(router.MembershipEffect{Effect: testCase.effect})
		if len(handler.Entries) != 1 || handler.Entries[0].Fields["event"] != testCase.event {
			t.Errorf("%T: logged %+v, want event %d", testCase.effect, handler.Entries, testCase.event)
		}
		_, superseded := testCase.effect.(membership.Superseded)
		select {
		case <-p.interrupted:
			if !superseded {
				t.Errorf("%T stopped the process", testCase.effect)
			}
		default:
			if superseded {
				t.Error("the process keeps running although its name is taken")
			}
		}
	}
}
