package gateway

import (
	"encoding/json"
	"net/http"
	"strconv"

	schedulerv1 "github.com/magpielug/magpielug/api/scheduler/v1"
)

// Object names of OpenAI's shapes.
const (
	objectCompletion = "chat.completion"
	objectChunk      = "chat.completion.chunk"
	roleAssistant    = "assistant"
	completionPrefix = "chatcmpl-"
)

// completionUsage is OpenAI's count of a call's tokens.
type completionUsage struct {
	PromptTokens     uint32        `json:"prompt_tokens"`
	CompletionTokens uint32        `json:"completion_tokens"`
	TotalTokens      uint32        `json:"total_tokens"`
	PromptDetails    promptDetails `json:"prompt_tokens_details"`
}

type promptDetails struct {
	CachedTokens uint32 `json:"cached_tokens"`
}

func usageOf(usage *schedulerv1.Usage) completionUsage {
	return completionUsage{
		PromptTokens:     usage.GetPromptTokens(),
		CompletionTokens: usage.GetOutputTokens(),
		TotalTokens:      usage.GetPromptTokens() + usage.GetOutputTokens(),
		PromptDetails:    promptDetails{CachedTokens: usage.GetCachedTokens()},
	}
}

// completionHead is what the whole answer and each of its chunks begin with.
type completionHead struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	Model   string `json:"model"`
}

func headOf(exchange *exchange, object, model string) completionHead {
	return completionHead{
		ID:      completionPrefix + exchange.requestID,
		Object:  object,
		Created: exchange.started.Unix(),
		Model:   model,
	}
}

func newCompletionAnswer(exchange *exchange, body *chatRequest) answer {
	if !body.Stream {
		return &completionWhole{wholeText: wholeText{exchange: exchange}, model: body.Model}
	}
	return newCompletionStream(exchange, body)
}

// completionWhole answers with one chat.completion object.
type completionWhole struct {
	wholeText
	model string
}

type completionBody struct {
	completionHead
	Choices []completionChoice `json:"choices"`
	Usage   completionUsage    `json:"usage"`
}

type completionChoice struct {
	Index        int               `json:"index"`
	Message      completionMessage `json:"message"`
	FinishReason string            `json:"finish_reason"`
}

type completionMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

func (whole *completionWhole) finish(_ uint32, finished *schedulerv1.Finished) error {
	return whole.exchange.answerJSON(http.StatusOK, completionBody{
		completionHead: headOf(whole.exchange, objectCompletion, whole.model),
		Choices: []completionChoice{{
			Message:      completionMessage{Role: roleAssistant, Content: whole.text.String()},
			FinishReason: finished.GetFinishReason(),
		}},
		Usage: usageOf(finished.GetUsage()),
	})
}

// completionStream answers with chat.completion.chunk events.
type completionStream struct {
	events       *eventStream
	includeUsage bool
	// prefix is a chunk's JSON up to the text of its delta.
	prefix []byte
	head   completionHead
	buffer []byte
}

// The parts of a chunk's JSON around its text. The sequence number stands in
// the JSON, since some client libraries take an event's id line for a part of
// an error.
const (
	deltaPrefix      = `,"choices":[{"index":0,"delta":{"content":`
	firstDeltaPrefix = `,"choices":[{"index":0,"delta":{"role":"assistant","content":`
	deltaSuffix      = `},"finish_reason":null}],"sequence":`
)

// endOfStream is the data of an OpenAI stream's last event.
const endOfStream = "[DONE]"

func newCompletionStream(exchange *exchange, body *chatRequest) *completionStream {
	head := headOf(exchange, objectChunk, body.Model)
	encoded, err := json.Marshal(head)
	if err != nil {
		// Strings and numbers always have a JSON form.
		panic(err)
	}
	return &completionStream{
		events:       newEventStream(exchange),
		includeUsage: body.StreamOptions.IncludeUsage,
		prefix:       encoded[:len(encoded)-1],
		head:         head,
	}
}

func (stream *completionStream) chunk(chunk *schedulerv1.Chunk) error {
	buffer := append(stream.buffer[:0], stream.prefix...)
	if stream.events.exchange.committed {
		buffer = append(buffer, deltaPrefix...)
	} else {
		buffer = append(buffer, firstDeltaPrefix...)
	}
	buffer = appendJSONString(buffer, chunk.GetText())
	buffer = append(buffer, deltaSuffix...)
	buffer = strconv.AppendUint(buffer, chunk.GetSequence(), 10)
	buffer = append(buffer, '}')
	stream.buffer = buffer
	stream.events.exchange.noteChunk()
	return stream.events.send(0, "", buffer)
}

func (stream *completionStream) canRestart() bool { return !stream.events.exchange.committed }

type completionChunk struct {
	completionHead
	Choices []chunkChoice    `json:"choices"`
	Usage   *completionUsage `json:"usage,omitempty"`
}

type chunkChoice struct {
	Index        int      `json:"index"`
	Delta        struct{} `json:"delta"`
	FinishReason string   `json:"finish_reason"`
}

func (stream *completionStream) finish(_ uint32, finished *schedulerv1.Finished) error {
	last := completionChunk{
		completionHead: stream.head,
		Choices:        []chunkChoice{{FinishReason: finished.GetFinishReason()}},
	}
	if err := stream.sendChunk(last); err != nil {
		return err
	}
	if stream.includeUsage {
		usage := usageOf(finished.GetUsage())
		counted := completionChunk{completionHead: stream.head, Choices: []chunkChoice{}, Usage: &usage}
		if err := stream.sendChunk(counted); err != nil {
			return err
		}
	}
	return stream.events.send(0, "", []byte(endOfStream))
}

func (stream *completionStream) sendChunk(chunk completionChunk) error {
	content, err := json.Marshal(chunk)
	if err != nil {
		return err
	}
	return stream.events.send(0, "", content)
}

func (stream *completionStream) fail(failure error) { stream.events.fail("", failure) }
