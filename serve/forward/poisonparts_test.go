package forward

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

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
