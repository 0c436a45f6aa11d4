package api

import "encoding/json"

// answerForm renders an answer in one of the two forms of the completions API.
type answerForm struct {
	chat         bool
	usage        bool // a last chunk with the usage was asked for
	id           string
	model        string
	created      int64 // seconds since the epoch
	promptTokens int
}

type answer struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

type choice struct {
	Index        int      `json:"index"`
	Text         *string  `json:"text,omitempty"`
	Message      *message `json:"message,omitempty"`
	Delta        *message `json:"delta,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

type message struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

type usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

const assistant = "assistant"

func (f answerForm) usageOf(tokens int) *usage {
	return &usage{PromptTokens: f.promptTokens, CompletionTokens: tokens, TotalTokens: f.promptTokens + tokens}
}

func (f answerForm) object(streamed bool) string {
	switch {
	case f.chat && streamed:
		return "chat.completion.chunk"
	case f.chat:
		return "chat.completion"
	}
	return "text_completion"
}

// answer is the whole answer as one object.
func (f answerForm) answer(text, finish string, tokens int) answer {
	c := choice{FinishReason: &finish}
	if f.chat {
		c.Message = &message{Role: assistant, Content: text}
	} else {
		c.Text = &text
	}
	return answer{
		ID: f.id, Object: f.object(false), Created: f.created, Model: f.model,
		Choices: []choice{c}, Usage: f.usageOf(tokens),
	}
}

// chunk is one event of a stream; finish is empty but on the last.
func (f answerForm) chunk(text, finish string) string {
	c := choice{}
	if finish != "" {
		c.FinishReason = &finish
	}
	if f.chat {
		c.Delta = &message{Role: assistant, Content: text}
	} else {
		c.Text = &text
	}
	return f.encode(answer{
		ID: f.id, Object: f.object(true), Created: f.created, Model: f.model, Choices: []choice{c},
	})
}

func (f answerForm) usageChunk(tokens int) string {
	return f.encode(answer{
		ID: f.id, Object: f.object(true), Created: f.created, Model: f.model,
		Choices: []choice{}, Usage: f.usageOf(tokens),
	})
}

func (answerForm) encode(a answer) string {
	b, err := json.Marshal(a)
	if err != nil {
		panic(err) // strings and numbers always encode
	}
	return string(b)
}
