package node

import (
	"testing"
	"time"

	"github.com/magpielug/magpielug/internal/durable"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"
)

func newTestView() *recordView {
	return newRecordView("test", zap.NewNop(), func(durable.KeyedRecord) bool { return true })
}

// Guards against a list that is taken for read, and handed on to others as current, since a node that has read
// nothing has sent it.
func TestViewIsNotLoadedByNodesThatHaveReadNothing(t *testing.T) {
	expect := NewWithT(t)
	unread, view := newTestView(), newTestView()
	update := fromRecords(toRecords(unread.changedSince(view.endOffset())))
	view.merge(update, time.Now().Add(-unread.age()))
	expect.Expect(view.loaded()).To(BeFalse())
	expect.Expect(view.age()).To(Equal(unloadedAge))

	view.merge(durable.Update{Full: true}, time.Now())
	expect.Expect(view.loaded()).To(BeTrue(), "the log itself holds no records")
}

// Guards against an old list that counts as new in a process that is younger than the list.
func TestFirstUpdateOfAViewHasItsOwnAge(t *testing.T) {
	expect := NewWithT(t)
	const age = time.Hour
	view := newTestView()
	view.merge(durable.Update{Records: []durable.KeyedRecord{{Key: "engine", Value: []byte("x"), Offset: 3}}, EndOffset: 4}, time.Now().Add(-age))
	expect.Expect(view.loaded()).To(BeTrue())
	expect.Expect(view.age()).To(BeNumerically(">=", age))
	view.merge(durable.Update{EndOffset: 4}, time.Now())
	expect.Expect(view.age()).To(BeNumerically("<", time.Minute))
}
