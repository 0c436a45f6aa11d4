package api

import "encoding/json"

// responseFormat renders responses in one of the two formats of the completions API: text or chat.
type responseFormat struct {
	chat         bool
	includeUsage bool // the caller requested a final chunk with the token usage
	id           string
	model        string
	created      int64 // Unix time in seconds
	promptTokens int
}

type completionResponse struct {
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

const assistantRole = "assistant"

func (f responseFormat) usageFor(tokens int) *usage {
	return &usage{PromptTokens: f.promptTokens, CompletionTokens: tokens, TotalTokens: f.promptTokens + tokens}
}

func (f responseFormat) objectType(streamed bool) string {
	switch {
	case f.chat && streamed:
		return "chat.completion.chunk"
	case f.chat:
		return "chat.completion"
	}
	return "text_completion"
}

// response returns the complete response, which is not streamed.
func (f responseFormat) response(text, finish string, tokens int) completionResponse {
	c := choice{FinishReason: &finish}
	if f.chat {
		c.Message = &message{Role: assistantRole, Content: text}
	} else {
		c.Text = &text
	}
	return completionResponse{
		ID: f.id, Object: f.objectType(false), Created: f.created, Model: f.model,
		Choices: []choice{c}, Usage: f.usageFor(tokens),
	}
}

// chunk returns the data of one stream event. finish is empty except for the last event with text.
func (f responseFormat) chunk(text, finish string) string {
	c := choice{}
	if finish != "" {
		c.FinishReason = &finish
	}
	if f.chat {
		c.Delta = &message{Role: assistantRole, Content: text}
	} else {
		c.Text = &text
	}
	return f.encode(completionResponse{
		ID: f.id, Object: f.objectType(true), Created: f.created, Model: f.model, Choices: []choice{c},
	})
}

func (f responseFormat) usageChunk(tokens int) string {
	return f.encode(completionResponse{
		ID: f.id, Object: f.objectType(true), Created: f.created, Model: f.model,
		Choices: []choice{}, Usage: f.usageFor(tokens),
	})
}

func (responseFormat) encode(a completionResponse) string {
	b, err := json.Marshal(a)
	if err != nil {
		panic(err) // completionResponse holds only strings and integers, which always encode
	}
	return string(b)
}
