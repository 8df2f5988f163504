package gateway

import (
	"context"
	"errors"
	"io"
	"strings"

	"github.com/sashabaranov/go-openai"

	"github.com/magpielug/magpielug/internal/httpserver"
	"github.com/magpielug/magpielug/internal/resultcode"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("An OpenAI client library", func() {
	var scheduler *fakeScheduler
	var library *openai.Client
	request := openai.ChatCompletionRequest{
		Model:         "agent",
		Messages:      []openai.ChatCompletionMessage{{Role: openai.ChatMessageRoleUser, Content: "hi"}},
		Temperature:   0.5,
		StreamOptions: &openai.StreamOptions{IncludeUsage: true},
	}

	BeforeEach(func() {
		scheduler = startScheduler(hello)
		caller := startGateway(testConfig(), httpserver.Limits{}, scheduler.address())
		config := openai.DefaultConfig(caller.key)
		config.BaseURL = "http://" + caller.address + "/v1"
		library = openai.NewClientWithConfig(config)
	})

	It("reads complete responses and the model list", func(ctx context.Context) {
		nonStreaming := request
		nonStreaming.StreamOptions = nil
		completion, err := library.CreateChatCompletion(ctx, nonStreaming)
		Expect(err).NotTo(HaveOccurred())
		Expect(completion.Choices[0].Message.Content).To(Equal(helloText))
		Expect(completion.Usage.TotalTokens).To(Equal(8))
		models, err := library.ListModels(ctx)
		Expect(err).NotTo(HaveOccurred())
		Expect(models.Models).To(HaveLen(2))
	})

	It("reads streams to the end", func(ctx context.Context) {
		stream, err := library.CreateChatCompletionStream(ctx, request)
		Expect(err).NotTo(HaveOccurred())
		defer stream.Close()
		var text strings.Builder
		var total int
		for {
			chunk, err := stream.Recv()
			if errors.Is(err, io.EOF) {
				break
			}
			Expect(err).NotTo(HaveOccurred())
			if len(chunk.Choices) > 0 {
				text.WriteString(chunk.Choices[0].Delta.Content)
			}
			if chunk.Usage != nil {
				total = chunk.Usage.TotalTokens
			}
		}
		Expect(text.String()).To(Equal(helloText))
		Expect(total).To(Equal(8))
	})

	It("reads errors before and inside a stream", func(ctx context.Context) {
		scheduler.onCall = rejectWith(resultcode.Overloaded)
		_, err := library.CreateChatCompletionStream(ctx, request)
		var apiErr *openai.APIError
		Expect(errors.As(err, &apiErr)).To(BeTrue(), "%v", err)
		Expect(apiErr.HTTPStatusCode).To(Equal(429))
		Expect(apiErr.Code).To(BeEquivalentTo(2001))
		stopped := failed(failure(resultcode.CallStopped, "stopped"))
		scheduler.onCall = abortAfter(accepted(), chunk(1, "Hel"), stopped)
		stream, err := library.CreateChatCompletionStream(ctx, request)
		Expect(err).NotTo(HaveOccurred())
		defer stream.Close()
		_, err = stream.Recv()
		Expect(err).NotTo(HaveOccurred())
		_, err = stream.Recv()
		Expect(errors.As(err, &apiErr)).To(BeTrue(), "%v", err)
		Expect(apiErr.Message).To(Equal("stopped"))
	})
})
