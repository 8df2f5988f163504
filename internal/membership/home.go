package membership

// Process is a scheduler process that may hold replicas.
type Process struct {
	ID     string
	Region string
	Zone   string
}

// GroupSize is the number of members of a shard's group.
const GroupSize = 3
