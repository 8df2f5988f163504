package node

import (
	"context"
	"time"

	nodev1 "github.com/magpielug/magpielug/api/node/v1"
	"github.com/magpielug/magpielug/internal/backend"
	"github.com/magpielug/magpielug/internal/durable"
)

// learnRequest returns a request for the records that this node does not have.
func (node *Node) learnRequest() *nodev1.LearnRequest {
	observed := node.logHealth.report(time.Now())
	return &nodev1.LearnRequest{
		ConfigurationEnd: node.configurationView.endOffset(),
		EnginesEnd:       node.engineView.endOffset(),
		NodesEnd:         node.memberView.endOffset(),
		LogAnswerAgeMs:   observed.responseAge,
		SlowAppendAgeMs:  observed.slowAppendAge,
		FastAppendAgeMs:  observed.fastAppendAge,
	}
}

// Learn implements nodev1.Node.
func (server *peerServer) Learn(_ context.Context, request *nodev1.LearnRequest) (*nodev1.LearnReply, error) {
	node := server.node
	now := time.Now()
	node.engines.AddReported(request.Avoided, now)
	node.logHealth.observeRemote(logObservations{responseAge: request.LogAnswerAgeMs, slowAppendAge: request.SlowAppendAgeMs, fastAppendAge: request.FastAppendAgeMs}, now)
	node.engines.AddLatencyStats(fromLatencyMessages(request.Paces), now)
	observed := node.logHealth.report(now)
	reply := &nodev1.LearnReply{
		ConfigurationAgeMs: node.configurationView.age().Milliseconds(),
		EnginesAgeMs:       node.engineView.age().Milliseconds(),
		Configuration:      toRecords(node.configurationView.changedSince(request.ConfigurationEnd)),
		Engines:            toRecords(node.engineView.changedSince(request.EnginesEnd)),
		Nodes:              toRecords(node.memberView.changedSince(request.NodesEnd)),
		Avoided:            node.engines.AvoidedByAny(now),
		Slow:               node.engines.SlowEngines(now),
		LogAnswerAgeMs:     observed.responseAge,
		SlowAppendAgeMs:    observed.slowAppendAge,
		FastAppendAgeMs:    observed.fastAppendAge,
		Current:            node.readsLog(now),
	}
	if request.WantsSpeeds {
		reply.Speeds = node.engines.Speeds(now)
	}
	return reply, nil
}

func toLatencyMessages(stats map[string]backend.LatencyStats) map[string]*nodev1.Pace {
	messages := make(map[string]*nodev1.Pace, len(stats))
	for engine, stat := range stats {
		messages[engine] = &nodev1.Pace{Weight: stat.Weight, Sum: stat.Sum}
	}
	return messages
}

func fromLatencyMessages(messages map[string]*nodev1.Pace) map[string]backend.LatencyStats {
	stats := make(map[string]backend.LatencyStats, len(messages))
	for engine, message := range messages {
		stats[engine] = backend.LatencyStats{Weight: message.GetWeight(), Sum: message.GetSum()}
	}
	return stats
}

func toRecords(records []durable.KeyedRecord, end int64) *nodev1.Records {
	message := &nodev1.Records{End: end}
	for _, record := range records {
		message.Records = append(message.Records, &nodev1.KeyedRecord{Key: record.Key, Value: record.Value, Offset: record.Offset})
	}
	return message
}

func fromRecords(message *nodev1.Records) durable.Update {
	update := durable.Update{EndOffset: message.GetEnd()}
	for _, record := range message.GetRecords() {
		update.Records = append(update.Records, durable.KeyedRecord{Key: record.Key, Value: record.Value, Offset: record.Offset})
	}
	return update
}
