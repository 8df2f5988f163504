package logging

import (
	"bytes"
	"strings"
	"time"

	"github.com/magpielug/magpielug/internal/resultcode"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rotisserie/eris"
	"go.uber.org/zap"
)

var _ = Describe("Logger", func() {
	It("writes one logfmt line for each event and escapes special characters", func() {
		var output bytes.Buffer
		logger, err := New("info", &output)
		Expect(err).NotTo(HaveOccurred())
		logger.Debug("left out")
		logger.Info("call refused", Program("p 1"), Request("r\n=\"2\""), zap.Duration("wait", 1500*time.Millisecond))
		line := output.String()
		Expect(strings.Count(line, "\n")).To(Equal(1))
		Expect(line).To(ContainSubstring(`level=info event="call refused" program="p 1" request="r\n=\"2\"" wait=1.5s`))
	})

	It("includes the result code, and the stack trace only at level debug", func() {
		failure := eris.Wrap(resultcode.New(resultcode.NoLeader, "two\nlines"), "call")
		for level, traced := range map[string]bool{"info": false, "debug": true} {
			var output bytes.Buffer
			logger, err := New(level, &output)
			Expect(err).NotTo(HaveOccurred())
			logger.Warn("failed", ErrorFields(logger.Logger, failure)...)
			Expect(output.String()).To(ContainSubstring("code=2006 name=NO_LEADER"))
			Expect(strings.Count(output.String(), "\n")).To(Equal(1))
			Expect(strings.Contains(output.String(), "trace=")).To(Equal(traced))
			Expect(strings.Contains(output.String(), "logging_test.go")).To(Equal(traced))
		}
	})

	It("changes its level at run time and rejects an unknown level", func() {
		var output bytes.Buffer
		logger, err := New("error", &output)
		Expect(err).NotTo(HaveOccurred())
		logger.Info("hidden")
		logger.Level.SetLevel(zap.InfoLevel)
		logger.Info("shown")
		Expect(output.String()).To(ContainSubstring("event=shown"))
		Expect(output.String()).NotTo(ContainSubstring("hidden"))
		for _, level := range []string{"loud", "fatal"} {
			_, err := New(level, &output)
			Expect(resultcode.CodeOf(err)).To(Equal(resultcode.InvalidSettings))
		}
	})
})
