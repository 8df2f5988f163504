package statechart

import "github.com/rotisserie/eris"

// validatePaths checks that every state is reachable from the initial state and
// has a path to a final state, that final states have no transitions, and that
// every event causes a transition in some state.
func validatePaths(definition *Definition) error {
	forward := map[string][]string{}
	backward := map[string][]string{}
	used := map[string]bool{}
	var finals []string
	for _, state := range definition.States {
		if state.Final {
			finals = append(finals, state.Name)
		}
		if state.Final && len(state.Transitions) > 0 {
			return eris.Errorf("final state %s has a transition", state.Name)
		}
		for event, next := range state.Transitions {
			forward[state.Name] = append(forward[state.Name], next)
			backward[next] = append(backward[next], state.Name)
			used[event] = true
		}
	}
	reached := reachableFrom(forward, []string{definition.Initial})
	ending := reachableFrom(backward, finals)
	for _, state := range definition.States {
		if !reached[state.Name] {
			return eris.Errorf("state %s is not reachable from the initial state", state.Name)
		}
		if !ending[state.Name] {
			return eris.Errorf("state %s has no path to a final state", state.Name)
		}
	}
	for _, event := range definition.Events {
		if !used[event.Name] {
			return eris.Errorf("event %s causes no transition", event.Name)
		}
	}
	return nil
}

// reachableFrom returns the names reachable over edges from start, including
// start.
func reachableFrom(edges map[string][]string, start []string) map[string]bool {
	reached := map[string]bool{}
	pending := append([]string(nil), start...)
	for len(pending) > 0 {
		name := pending[len(pending)-1]
		pending = pending[:len(pending)-1]
		if reached[name] {
			continue
		}
		reached[name] = true
		pending = append(pending, edges[name]...)
	}
	return reached
}
