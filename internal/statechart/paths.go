package statechart

import "github.com/rotisserie/eris"

// checkPaths checks that every state can be reached from the initial one, that
// every state that is not final leads to a final one, that a final state has no
// transition, and that every event causes a transition somewhere.
func checkPaths(definition *Definition) error {
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
	reached := closure(forward, []string{definition.Initial})
	ending := closure(backward, finals)
	for _, state := range definition.States {
		if !reached[state.Name] {
			return eris.Errorf("state %s can't be reached", state.Name)
		}
		if !ending[state.Name] {
			return eris.Errorf("state %s has no way to a final state", state.Name)
		}
	}
	for _, event := range definition.Events {
		if !used[event.Name] {
			return eris.Errorf("event %s causes no transition", event.Name)
		}
	}
	return nil
}

// closure returns the names that edges lead to from start, start included.
func closure(edges map[string][]string, start []string) map[string]bool {
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
