package enginesim

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"

	"github.com/gorilla/mux"
	"github.com/pkg/errors"
	"github.com/tmaxmax/go-sse"

	"mallowwind.dev/external/engine"
)

// maxRequest bounds a request body, in bytes.
const maxRequest = 16 << 20

// Handler serves the wire form of an engine, documented in docs/engine-protocol.md.
func Handler(s *Sim) http.Handler {
	h := &handler{s}
	r := mux.NewRouter()
	r.HandleFunc(engine.PathCompletions, h.complete).Methods(http.MethodPost)
	r.HandleFunc(engine.PathGenerations+"{id}", h.attach).Methods(http.MethodGet)
	r.HandleFunc(engine.PathGenerations+"{id}/cancel", h.cancel).Methods(http.MethodPost)
	r.HandleFunc(engine.PathStatus, h.status).Methods(http.MethodGet)
	r.HandleFunc(engine.PathOrders, h.order).Methods(http.MethodPost)
	r.HandleFunc(engine.PathCacheEvents, h.cacheEvents).Methods(http.MethodGet)
	return r
}

type handler struct{ sim *Sim }

func (h *handler) complete(w http.ResponseWriter, r *http.Request) {
	var c engine.CompletionRequest
	if !decode(w, r, &c) {
		return
	}
	if !c.Stream {
		fail(w, refuse(engine.CodeInvalid, "only stream=true is served"))
		return
	}
	s, err := h.sim.Generate(r.Context(), c.Request())
	if err != nil {
		fail(w, err)
		return
	}
	copyStream(w, r, s, c.Generation, c.Attempt)
}

func (h *handler) attach(w http.ResponseWriter, r *http.Request) {
	id := mux.Vars(r)["id"]
	attempt, err := strconv.ParseUint(r.FormValue("attempt"), 10, 64)
	from, err2 := strconv.Atoi(r.FormValue("from"))
	if err != nil || err2 != nil {
		fail(w, refuse(engine.CodeInvalid, "attempt and from must be numbers"))
		return
	}
	s, err := h.sim.Attach(r.Context(), id, attempt, from)
	if err != nil {
		fail(w, err)
		return
	}
	copyStream(w, r, s, id, attempt)
}

func (h *handler) cancel(w http.ResponseWriter, r *http.Request) {
	attempt, err := strconv.ParseUint(r.FormValue("attempt"), 10, 64)
	if err != nil {
		fail(w, refuse(engine.CodeInvalid, "attempt must be a number"))
		return
	}
	answer(w, struct{}{}, h.sim.Cancel(r.Context(), mux.Vars(r)["id"], attempt))
}

func (h *handler) status(w http.ResponseWriter, r *http.Request) {
	status, err := h.sim.Status(r.Context())
	answer(w, status, err)
}

func (h *handler) order(w http.ResponseWriter, r *http.Request) {
	var o engine.Order
	if decode(w, r, &o) {
		answer(w, struct{}{}, h.sim.Order(r.Context(), o))
	}
}

func (h *handler) cacheEvents(w http.ResponseWriter, r *http.Request) {
	seq, err := strconv.ParseUint(r.FormValue("seq"), 10, 64)
	if err != nil {
		fail(w, refuse(engine.CodeInvalid, "seq must be a number"))
		return
	}
	events, err := h.sim.CacheEvents(r.Context(), seq)
	answer(w, events, err)
}

func decode(w http.ResponseWriter, r *http.Request, v any) bool {
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxRequest)).Decode(v)
	if err != nil {
		fail(w, refuse(engine.CodeInvalid, "body: %v", err))
	}
	return err == nil
}

func answer(w http.ResponseWriter, v any, err error) {
	if err != nil {
		fail(w, err)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

// fail writes a refusal. What is none cuts the connection, as a dead engine does.
func fail(w http.ResponseWriter, err error) {
	var refusal *Refusal
	body := engine.ErrorBody{Error: engine.ErrorDetail{Message: err.Error()}}
	status := http.StatusBadRequest
	switch {
	case errors.As(err, &refusal):
		body.Error.Code = refusal.Code
		status = refusalStatus(refusal.Code)
	case errors.Is(err, engine.ErrUnknownGeneration):
		body.Error.Code, status = engine.CodeUnknownGeneration, http.StatusNotFound
	case errors.Is(err, engine.ErrStaleFence):
		body.Error.Code, status = engine.CodeStaleFence, http.StatusConflict
	default:
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func refusalStatus(code engine.ErrorCode) int {
	switch code {
	case engine.CodeOverloaded, engine.CodeModelNotReady, engine.CodeRefusing:
		return http.StatusServiceUnavailable
	case engine.CodeStaleAttempt:
		return http.StatusConflict
	}
	return http.StatusBadRequest
}

// copyStream writes s as server-sent events until it ends. A broken stream
// cuts the connection without the last event.
func copyStream(w http.ResponseWriter, r *http.Request, s engine.Stream, id string, attempt uint64) {
	defer s.Close()
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	flush := http.NewResponseController(w)
	_ = flush.Flush()
	for {
		c, err := s.Next(r.Context())
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		err = writeEvent(w, id, attempt, c)
		if err == nil {
			err = flush.Flush()
		}
		if err != nil || c.Finish != "" {
			return
		}
	}
}

func writeEvent(w http.ResponseWriter, id string, attempt uint64, c engine.Chunk) error {
	choice := engine.CompletionChoice{Text: strings.Join(c.Tokens, "")}
	if c.Finish != "" {
		choice.FinishReason = &c.Finish
	}
	data, err := json.Marshal(engine.CompletionEvent{
		ID: id, Object: "text_completion", Choices: []engine.CompletionChoice{choice},
		Attempt: attempt, Offset: c.Offset, Tokens: c.Tokens,
	})
	if err != nil {
		return err
	}
	m := &sse.Message{}
	m.AppendData(string(data))
	if c.Finish != "" {
		last := &sse.Message{}
		last.AppendData(engine.StreamDone)
		if _, err := m.WriteTo(w); err != nil {
			return err
		}
		m = last
	}
	_, err = m.WriteTo(w)
	return err
}
