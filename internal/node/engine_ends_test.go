package node

import (
	"testing"
	"time"

	"github.com/magpielug/magpielug/internal/backend"
	"github.com/magpielug/magpielug/internal/durable"
	"github.com/magpielug/magpielug/internal/quarantine"
	. "github.com/onsi/gomega"
)

// endsFleet is a lossFleet whose nodes know an engine.
func endsFleet(t *testing.T) (*lossFleet, backend.Instance) {
	fleet := newLossFleet(t, 12, 4)
	t.Cleanup(func() { time.Sleep(time.Minute) }) // Until the last messages are sent.
	engine := lostEngine(0)
	for _, node := range fleet.nodes {
		node.dependencies.DecodeEngine = func(durable.KeyedRecord) (backend.Instance, bool) { return backend.Instance{}, false }
		node.engines.Upsert(engine, time.Now())
	}
	return fleet, engine
}

// removeRecord applies the removal of an engine's record at a node.
func (fleet *lossFleet) removeRecord(node int, engine backend.Instance) {
	fleet.nodes[node].applyEngine(durable.KeyedRecord{Key: engine.ID})
}

// Guards against the end of an engine being noticed only by nodes that have connections to it.
func TestEndOfAnEngineCountsAtTheNodesThatSentToIt(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		fleet, engine := endsFleet(t)
		fleet.nodes[3].quarantine.AttemptOver(lostAttempt(0), quarantine.NoAnswer)
		fleet.nodes[7].quarantine.EngineUnreachable(engine, true)
		time.Sleep(lossBatchDelay)
		NewWithT(t).Expect(fleet.knowing(1)).To(Equal(12))
		messages := fleet.messages.Load()
		fleet.nodes[7].quarantine.EngineUnreachable(engine, true)
		time.Sleep(lossBatchDelay)
		NewWithT(t).Expect(fleet.messages.Load()).To(Equal(messages), "others are told once")
	})
}

// Guards against the end of an engine being ignored whose record goes first.
func TestRemovalOfARecordCountsAgainstWhatWasThere(t *testing.T) {
	for name, form := range map[string]struct {
		answer   quarantine.Answer
		draining bool
		losses   int
	}{
		"given up":                          {quarantine.NoAnswer, false, 1},
		"given up, draining":                {quarantine.NoAnswer, true, 1},
		"answered":                          {quarantine.CompleteAnswer, false, 1},
		"answered with an error":            {quarantine.ErrorAnswer, false, 1},
		"answered by an engine that drains": {quarantine.CompleteAnswer, true, 0},
	} {
		t.Run(name, func(t *testing.T) {
			inVirtualTime(t, func(t *testing.T) {
				fleet, engine := endsFleet(t)
				engine.Draining = form.draining
				fleet.nodes[3].engines.Upsert(engine, time.Now())
				fleet.nodes[3].quarantine.AttemptOver(lostAttempt(0), form.answer)
				time.Sleep(time.Second)
				fleet.removeRecord(3, engine)
				time.Sleep(3 * lossBatchDelay)
				NewWithT(t).Expect(fleet.nodes[5].quarantine.Count(lostIdentity)).To(Equal(form.losses))
			})
		})
	}
}

// Guards against a loss being taken back for good by an engine that answers others before it ends.
func TestAnEngineThatAnswersOthersFirstHasEndedUnderTheRequest(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		fleet, engine := endsFleet(t)
		fleet.nodes[3].quarantine.RecordLoss(lostAttempt(0), quarantine.Left)
		time.Sleep(time.Second)
		fleet.nodes[3].quarantine.EngineAnswered(engine, time.Now())
		time.Sleep(time.Second)
		NewWithT(t).Expect(fleet.knowing(0)).To(Equal(12))
		fleet.removeRecord(3, engine)
		time.Sleep(3 * lossBatchDelay)
		NewWithT(t).Expect(fleet.knowing(1)).To(Equal(12))
	})
}

// Guards against a restart under the same ID being taken for an engine that goes on.
func TestARestartedEngineHasEndedUnderTheRequest(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		fleet, engine := endsFleet(t)
		fleet.nodes[3].quarantine.AttemptOver(lostAttempt(0), quarantine.CompleteAnswer)
		fleet.nodes[3].dependencies.DecodeEngine = func(durable.KeyedRecord) (backend.Instance, bool) {
			return backend.Instance{ID: engine.ID, Incarnation: 2}, true
		}
		fleet.nodes[3].applyEngine(durable.KeyedRecord{Key: engine.ID, Value: []byte("new life")})
		time.Sleep(3 * lossBatchDelay)
		NewWithT(t).Expect(fleet.knowing(1)).To(Equal(12))
	})
}

// Guards against an attempt being forgotten that is lost together with its node.
func TestAnAnnouncedAttemptOutlivesItsNode(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		fleet, _ := endsFleet(t)
		fleet.nodes[0].quarantine.RecordLoss(lostAttempt(0), quarantine.Interrupted)
		for engine := 1; engine < quarantine.MaxLosses; engine++ {
			_, verdict := fleet.nodes[engine].quarantine.Announce(lostAttempt(engine))
			NewWithT(t).Expect(verdict).To(Equal(quarantine.Admitted))
			fleet.network.isolate(fleet.nodes[engine].settings.Name)
		}
		_, verdict := fleet.nodes[5].quarantine.Announce(lostAttempt(5))
		NewWithT(t).Expect(verdict).To(Equal(quarantine.Held))
	})
}

// Guards against attempts that were given up at other nodes, and whose engines end later, being found out one
// by one.
func TestAttemptsAtOtherNodesCountAsUnfinishedOnceAnEngineEnds(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		fleet, engine := endsFleet(t)
		for number := 1; number < quarantine.MaxLosses; number++ {
			attempt := lostAttempt(number)
			attempt.Deadline = time.Now().Add(time.Minute)
			fleet.nodes[number].quarantine.AttemptOver(attempt, quarantine.NoAnswer)
		}
		_, verdict := fleet.nodes[5].quarantine.Announce(lostAttempt(5))
		NewWithT(t).Expect(verdict).To(Equal(quarantine.Admitted))
		began := time.Now()
		fleet.nodes[0].quarantine.RecordLoss(attemptOf(lostContent, 0), quarantine.Interrupted)
		NewWithT(t).Expect(time.Since(began)).To(BeNumerically("<=", 4*fleet.transit))
		_, verdict = fleet.nodes[0].quarantine.Announce(lostAttempt(5))
		NewWithT(t).Expect(verdict).To(Equal(quarantine.Held), "at %v", engine.ID)
		time.Sleep(3 * lossBatchDelay)
		_, verdict = fleet.nodes[5].quarantine.Announce(lostAttempt(5))
		NewWithT(t).Expect(verdict).To(Equal(quarantine.Held))
	})
}

// Guards against an engine that answers and then ends having its losses taken back by each next answer.
func TestAnswersCountOnceTheEngineHasGoneOn(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		fleet, _ := endsFleet(t)
		node := fleet.nodes[3]
		node.quarantine.AttemptOver(lostAttempt(0), quarantine.CompleteAnswer)
		node.quarantine.ends.found(engineLife(lostEngine(0)))
		time.Sleep(time.Millisecond)
		node.quarantine.RequestAnswered(lostAttempt(1), time.Now())
		time.Sleep(quarantine.EndSettling / 2)
		NewWithT(t).Expect(node.quarantine.Count(lostIdentity)).To(Equal(1))
		time.Sleep(quarantine.EndSettling)
		NewWithT(t).Expect(node.quarantine.Count(lostIdentity)).To(BeZero())
	})
}

// Guards against an answer that takes back the ends that come after it, so that a request which ends engines
// and is answered by some goes on to further ones.
func TestAnAnswerTakesBackOnlyWhatCameBeforeIt(t *testing.T) {
	for name, answer := range map[string]func(node *Node){
		"once it has settled": func(node *Node) {
			node.quarantine.RequestAnswered(lostAttempt(1), time.Now())
		},
		"once its engine answers another request": func(node *Node) {
			answeredAt := time.Now()
			node.quarantine.AttemptOver(lostAttempt(1), quarantine.CompleteAnswer)
			time.AfterFunc(2*quarantine.EndSettling, func() {
				node.quarantine.EngineAnswered(lostEngine(1), answeredAt.Add(quarantine.EndSettling+time.Second))
			})
		},
	} {
		t.Run(name, func(t *testing.T) {
			inVirtualTime(t, func(t *testing.T) {
				fleet, _ := endsFleet(t)
				node := fleet.nodes[3]
				node.quarantine.AttemptOver(lostAttempt(0), quarantine.CompleteAnswer)
				node.quarantine.ends.found(engineLife(lostEngine(0)))
				time.Sleep(time.Millisecond)
				answer(node)
				time.Sleep(quarantine.EndSettling / 2)
				node.quarantine.AttemptOver(lostAttempt(2), quarantine.CompleteAnswer)
				node.quarantine.ends.found(engineLife(lostEngine(2)))
				time.Sleep(3 * quarantine.EndSettling)
				NewWithT(t).Expect(node.quarantine.tracker.EnginesLost(lostIdentity.Request, time.Now())).To(ConsistOf(lostEngine(2).ID))
			})
		})
	}
}
