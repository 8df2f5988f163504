package gateway

import (
	"encoding/json"
	"net/http"
	"strconv"

	schedulerv1 "github.com/magpielug/magpielug/api/scheduler/v1"
)

// Fixed values of OpenAI's response format.
const (
	objectCompletion = "chat.completion"
	objectChunk      = "chat.completion.chunk"
	roleAssistant    = "assistant"
	completionPrefix = "chatcmpl-"
)

// completionUsage is OpenAI's token usage object.
type completionUsage struct {
	PromptTokens     uint32        `json:"prompt_tokens"`
	CompletionTokens uint32        `json:"completion_tokens"`
	TotalTokens      uint32        `json:"total_tokens"`
	PromptDetails    promptDetails `json:"prompt_tokens_details"`
}

type promptDetails struct {
	CachedTokens uint32 `json:"cached_tokens"`
}

func newCompletionUsage(usage *schedulerv1.Usage) completionUsage {
	return completionUsage{
		PromptTokens:     usage.GetPromptTokens(),
		CompletionTokens: usage.GetOutputTokens(),
		TotalTokens:      usage.GetPromptTokens() + usage.GetOutputTokens(),
		PromptDetails:    promptDetails{CachedTokens: usage.GetCachedTokens()},
	}
}

// completionHead holds the fields common to chat.completion and
// chat.completion.chunk objects.
type completionHead struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	Model   string `json:"model"`
}

func newCompletionHead(exchange *exchange, object, model string) completionHead {
	return completionHead{
		ID:      completionPrefix + exchange.requestID,
		Object:  object,
		Created: exchange.started.Unix(),
		Model:   model,
	}
}

func newCompletionResponse(exchange *exchange, body *chatRequest) callResponse {
	if !body.Stream {
		return &completionResponse{textCollector: textCollector{exchange: exchange}, model: body.Model}
	}
	return newCompletionStream(exchange, body)
}

// completionResponse responds with one chat.completion object.
type completionResponse struct {
	textCollector
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

func (response *completionResponse) finish(_ uint32, finished *schedulerv1.Finished) error {
	return response.exchange.writeJSON(http.StatusOK, completionBody{
		completionHead: newCompletionHead(response.exchange, objectCompletion, response.model),
		Choices: []completionChoice{{
			Message:      completionMessage{Role: roleAssistant, Content: response.text.String()},
			FinishReason: finished.GetFinishReason(),
		}},
		Usage: newCompletionUsage(finished.GetUsage()),
	})
}

// completionStream responds with chat.completion.chunk events.
type completionStream struct {
	events       *eventStream
	includeUsage bool
	// prefix is the JSON encoding of head without its closing brace.
	prefix []byte
	head   completionHead
	buffer []byte
}

// Parts of a chunk's JSON around its text. The sequence number is in the JSON
// because some client libraries treat an event's id line as part of an error.
const (
	deltaPrefix      = `,"choices":[{"index":0,"delta":{"content":`
	firstDeltaPrefix = `,"choices":[{"index":0,"delta":{"role":"assistant","content":`
	deltaSuffix      = `},"finish_reason":null}],"sequence":`
)

// endOfStream is the data of the last event of an OpenAI stream.
const endOfStream = "[DONE]"

func newCompletionStream(exchange *exchange, body *chatRequest) *completionStream {
	head := newCompletionHead(exchange, objectChunk, body.Model)
	encoded, err := json.Marshal(head)
	if err != nil {
		// Strings and numbers can always be encoded.
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
	stream.events.exchange.recordChunk()
	return stream.events.send(0, "", buffer)
}

func (stream *completionStream) tryReset() bool { return !stream.events.exchange.committed }

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
		usage := newCompletionUsage(finished.GetUsage())
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

func (stream *completionStream) sendError(failure error) { stream.events.sendError("", failure) }
