package membership

// Process is a scheduler process that can host replicas.
type Process struct {
	ID     string
	Region string
	Zone   string
}

// GroupSize is the number of replicas in a shard's group.
const GroupSize = 3
