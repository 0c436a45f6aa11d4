package forward

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Other daemons send their prompts to engines that this one believes idle. A
// prompt that goes there waits a second for each of them, and every answer that
// runs there stalls. The engine says that it reads; another is chosen.
func TestPromptGoesToAnEngineThatReadsNone(t *testing.T) {
	inWorld(t, streamRoute(), func(w *world) {
		handle := streaming(5, time.Second, 40*time.Millisecond)
		var idle *fakeServer
		for i := range 9 {
			s := w.add(fmt.Sprintf("e-%d", i), "llm", string(rune('a'+i%3)), handle)
			s.reports("-other")
			if i == 7 {
				idle = s
				s.reports("other")
			}
		}
		got := w.ask(http.MethodPost, "/s/1", caller, "prompt")
		must.Eq(t, events(1, 5), got.body)
		must.Eq(t, 1, idle.requests())
	})
}

// All engines read a prompt, one of them only one. The prompt goes there.
func TestPromptGoesWhereFewestWait(t *testing.T) {
	inWorld(t, streamRoute(), func(w *world) {
		handle := streaming(5, time.Second, 40*time.Millisecond)
		a := w.add("e-a", "llm", "a", handle)
		b := w.add("e-b", "llm", "b", handle)
		a.reports("-one -two")
		b.reports("-one run-1 run-2")
		for range 3 {
			got := w.ask(http.MethodPost, "/s/1", caller, "prompt")
			must.Eq(t, events(1, 5), got.body)
		}
		must.Eq(t, 0, a.requests())
		must.Eq(t, 3, b.requests())
	})
}

// A burst of prompts fills the engines' memory, and an engine that runs out throws
// out the newest run, whose caller waits while its prompt is read again. So one
// without room gets neither a prompt nor a copy while another has room.
func TestFullEngineGetsNothing(t *testing.T) {
	inWorld(t, streamRoute(), func(w *world) {
		handle := streaming(5, time.Second, 40*time.Millisecond)
		a, b, c := w.add("e-a", "llm", "a", handle), w.add("e-b", "llm", "b", handle), w.add("e-c", "llm", "c", handle)
		a.reports("full")
		b.reports("-one")
		c.reports("full run-1")
		got := w.ask(http.MethodPost, "/s/1", with(map[string]string{hTokens: "80"}), "prompt")
		must.Eq(t, events(1, 5), got.body)
		must.Eq(t, 1, b.requests())
		must.Eq(t, "", b.asked()[0].Header.Get(hCopyTo))
	})
}

// The engines answer no question for their load but run requests: the answers
// are lost on the way, or asking fails here. The request is sent all the same.
func TestPromptIsSentWhereNoEngineAnswers(t *testing.T) {
	inWorld(t, streamRoute(), func(w *world) {
		a := w.add("e-a", "llm", "a", streaming(5, 300*time.Millisecond, 40*time.Millisecond))
		a.mute()
		got := w.ask(http.MethodPost, "/s/1", caller, "prompt")
		must.Eq(t, http.StatusOK, got.status)
		must.Eq(t, events(1, 5), got.body)
	})
}

// An engine goes dark after it has taken a request and before its first event.
// Nothing is reset and nothing arrives. Probes find it, and another engine reads
// the prompt.
func TestEngineGoesDarkWhileItReads(t *testing.T) {
	inWorld(t, streamRoute(), func(w *world) {
		handle := streaming(5, time.Second, 40*time.Millisecond)
		a := w.add("e-a", "llm", "a", handle)
		b := w.add("e-b", "llm", "b", handle)
		go func() {
			time.Sleep(300 * time.Millisecond)
			if a.requests() > 0 {
				a.listener.Stall()
			} else {
				b.listener.Stall()
			}
		}()
		got := w.ask(http.MethodPost, "/s/1", caller, "prompt")
		must.Eq(t, events(1, 5), got.body)
		must.Eq(t, 1, a.requests())
		must.Eq(t, 1, b.requests())
		must.Less(t, 4*time.Second, got.took)
	})
}

// The store is away and an engine restarts. Its entry names the old id, so the new
// engine turns requests away. Each is sent once more, and the fleet's budget of
// repeats runs out. The first such answer names the new engine; it is sent to from
// then on, unless a server of another service was given the address.
func TestRestartedEngineIsRemembered(t *testing.T) {
	for service, turnedAway := range map[string]int{"llm": 1, "desk": 0} {
		t.Run(service, func(t *testing.T) {
			inWorld(t, streamRoute(), func(w *world) {
				handle := streaming(5, 300*time.Millisecond, 40*time.Millisecond)
				a := w.add("e-a", "llm", "a", handle)
				now := w.restart(a, "e-new", service)
				for range 4 {
					got := w.ask(http.MethodPost, "/s/1", caller, "prompt")
					must.Eq(t, service == "llm", got.body == events(1, 5))
				}
				old, next := 0, 0
				for _, r := range now.asked() {
					switch r.Header.Get(hServer) {
					case "e-a":
						old++
					case "e-new":
						next++
					}
				}
				must.Eq(t, 4*turnedAway, next)
				if service == "llm" {
					must.Eq(t, turnedAway, old)
				}
			})
		})
	}
}
