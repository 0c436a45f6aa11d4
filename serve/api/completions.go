package api

import (
	"context"
	"net/http"
	"strings"
	"time"

	"github.com/gorilla/mux"

	"mallowwind.dev/control/site"
	"mallowwind.dev/decision/epochs"
	"mallowwind.dev/serve/generation"
)

func (a *API) completions(w http.ResponseWriter, r *http.Request, s *site.Site, account *site.Account) error {
	return a.complete(w, r, s, account, false)
}

func (a *API) chat(w http.ResponseWriter, r *http.Request, s *site.Site, account *site.Account) error {
	return a.complete(w, r, s, account, true)
}

func (a *API) complete(w http.ResponseWriter, r *http.Request, s *site.Site, account *site.Account, chat bool) error {
	if err := a.accepting(r); err != nil {
		return err
	}
	body, err := readBody(w, r, s.Limits.BodyBytes)
	if err != nil {
		return err
	}
	spec, q, err := parseCompletion(r, body, s, account, chat)
	if err != nil {
		return err
	}
	h, err := a.Generations.Submit(r.Context(), spec)
	if err != nil {
		return err
	}
	defer h.Close()
	form := answerForm{chat: chat, model: q.Model, created: time.Now().Unix(), id: h.ID()}
	if q.Stream {
		form.usage = q.StreamOptions != nil && q.StreamOptions.IncludeUsage
		form.promptTokens = spec.PromptTokens()
		return stream(r.Context(), w, h, epochs.Position{}, form)
	}
	return whole(r.Context(), w, h, spec, form)
}

// whole collects an answer and sends it at once, on the same machinery as a
// streamed one.
func whole(ctx context.Context, w http.ResponseWriter, h *generation.Handle, spec *generation.Spec, form answerForm) error {
	var (
		text strings.Builder
		pos  epochs.Position
	)
	for {
		b, err := h.Read(ctx, pos)
		if err != nil {
			return err
		}
		for _, t := range b.Tokens {
			text.WriteString(t)
		}
		pos = b.Position
		if b.Finish != "" {
			form.promptTokens = spec.PromptTokens()
			writeJSON(w, http.StatusOK, form.answer(text.String(), string(b.Finish), pos.Offset))
			return nil
		}
	}
}

// resume continues a stream whose connection broke, on any entry VM.
func (a *API) resume(w http.ResponseWriter, r *http.Request, _ *site.Site, account *site.Account) error {
	id := mux.Vars(r)["id"]
	if !epochs.IsValidID(id) {
		return badRequest("%q is not the id of a generation", id)
	}
	var pos epochs.Position
	if last := r.Header.Get("Last-Event-ID"); last != "" {
		c, err := epochs.ParseCursor(last)
		if err != nil {
			return badRequest("Last-Event-ID: %s", err)
		}
		if c.Generation != id {
			return badRequest("Last-Event-ID belongs to another generation")
		}
		pos = c.Position
	}
	h := a.Generations.Find(id, account.Name)
	defer h.Close()
	form := answerForm{id: id, created: time.Now().Unix(), chat: r.URL.Query().Get("form") == "chat"}
	return stream(r.Context(), w, h, pos, form)
}
