package forward

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"mallowwind.dev/control/routing"
	"mallowwind.dev/decision/poison"
	"mallowwind.dev/peer/peerpb"
)

// Guards against a report whose implausible entries count, or make its other entries not count.
func TestImplausibleCrashReport(t *testing.T) {
	withTestCluster(t, streamRoute(), func(w *testCluster) {
		prompt := func(n int, ageMS int64, parts ...string) *peerpb.EndedPrompt {
			return &peerpb.EndedPrompt{Request: &peerpb.EndedRequest{Digest: fmt.Sprint("r", n), Server: fmt.Sprint("s", n)}, Parts: parts, AgeMs: ageMS}
		}
		many := make([]string, maxPromptParts+1)
		for i := range many {
			many[i] = fmt.Sprint("m", i)
		}
		service := poisonService{w.handler.poisonRegistry}
		reply, err := service.PromptsEnded(t.Context(), &peerpb.PromptsEndedRequest{
			Service: "llm",
			Prompts: []*peerpb.EndedPrompt{
				prompt(1, 2000, "x"), prompt(2, -5, "x"), prompt(3, 1<<50, "x"), prompt(4, 0, many...), nil, prompt(5, 0), prompt(6, 0, "x"),
			},
			Survivals: []*peerpb.Survival{{Part: "x", AgeMs: -1}, {Part: "x", AgeMs: 1 << 60}, nil},
		})
		must.NoError(t, err)
		must.Eq(t, []bool{true, false, false, false, false, false, true}, reply.GetSuspect())
	})
}

// Guards against calls, and prompts at other services, that pass for prompts that servers survived.
func TestOtherRequestsAreNoSurvivalsOfPrompts(t *testing.T) {
	withTestCluster(t, plainRoutes(), func(w *testCluster) {
		w.add("d1", "desk", "a", respondProven("answer"))
		must.Eq(t, 200, w.request("POST", "/again/x", callerHeaders, "").status)
		parts := w.handler.poisonParts
		known := func(service string) int {
			return len(parts.knownSurvivals(time.Now(), service, []string{poison.AnyPart, "a"}))
		}
		must.Eq(t, 0, known("desk"))
		parts.recordSurvival(&inbound{call: Call{PromptParts: []string{"a"}}}, "llm", time.Now())
		must.Eq(t, 2, known("llm"))
		must.Eq(t, 0, known("desk"))
	})
}

// Guards against a daemon that refuses a part that all prompts share, for the crashes of its own prompts alone.
func TestPartsAreNotRefusedForCrashesOfOneDaemon(t *testing.T) {
	withTestCluster(t, streamRoute(), func(w *testCluster) {
		others, _ := w.addDaemons(6)
		daemons := append(others, w.handler)
		alone := slices.IndexFunc(daemons, func(h *Handler) bool { return len(h.poisonTrackersOf("llm")) == poisonTrackers })
		for n := range 8 {
			server := routing.Server{Service: "llm", ID: fmt.Sprint("e-", n)}
			prompt := func(kind string, parts ...string) *inbound {
				return &inbound{digests: []string{fmt.Sprint(kind, n)}, call: Call{PromptParts: parts}}
			}
			daemons[alone].poisonParts.recordCrash(w.t.Context(), prompt("sound", "common"), server, time.Now())
			daemons[(alone+1+n%6)%7].poisonParts.recordCrash(w.t.Context(), prompt("crashing", "common", "bad"), server, time.Now())
			time.Sleep(250 * time.Millisecond)
		}
		must.False(w.t, daemons[alone].poisonParts.reviewOnce("llm"))
		for _, h := range daemons {
			h.poisonParts.reviewOnce("llm")
		}
		time.Sleep(time.Second)
		for _, h := range daemons {
			must.True(w.t, h.poisonRegistry.isPromptRefused([]string{"common", "bad"}))
			must.False(w.t, h.poisonRegistry.isPromptRefused([]string{"common"}))
		}
	})
}
