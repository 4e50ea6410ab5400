package portrelay.model;

/**
 * A state machine as a table of rows with a state, an input, the next state and an effect. An input that has no row in
 * the current state is ignored, so that timers need not be cancelled.
 *
 * @param <S> the states
 * @param <I> the inputs
 * @param <D> the decider, whose methods are the effects
 * @param <Q> the subject, which has the state
 */
// The rows are an array indexed by ordinals for speed: steps are on the path of every request.
@SuppressWarnings("EnumOrdinal")
public final class TransitionTable<S extends Enum<S>, I extends Enum<I>, D, Q extends TransitionTable.Subject<S>> {

    /** A holder of a state that only the table changes. */
    public abstract static class Subject<S> {
        private S state;

        /** Creates a subject in the initial state. */
        protected Subject(S initial) {
            state = initial;
        }

        /** Returns the current state. */
        public final S state() {
            return state;
        }
    }

    /** The effect of a row. */
    public interface Effect<D, Q, I> {
        /** Runs the effect. Returns an input that is applied at once, in the row's next state; null for none. */
        I apply(D decider, Q subject);
    }

    private record Row<S, I, D, Q>(S next, Effect<D, Q, I> effect) {}

    private final Row<S, I, D, Q>[][] rows;

    /** Creates a table without rows for these enums. */
    @SuppressWarnings({"unchecked", "rawtypes"})
    public TransitionTable(Class<S> states, Class<I> inputs) {
        rows = new Row[states.getEnumConstants().length][inputs.getEnumConstants().length];
    }

    /** Adds a row without an effect. */
    public TransitionTable<S, I, D, Q> row(S state, I input, S next) {
        return row(state, input, next, (decider, subject) -> null);
    }

    /**
     * Adds a row.
     *
     * @throws IllegalArgumentException if there is a row for this state and input
     */
    public TransitionTable<S, I, D, Q> row(S state, I input, S next, Effect<D, Q, I> effect) {
        if (rows[state.ordinal()][input.ordinal()] != null) {
            throw new IllegalArgumentException("two rows for " + state + ", " + input);
        }
        rows[state.ordinal()][input.ordinal()] = new Row<>(next, effect);
        return this;
    }

    /** Applies an input to the subject, and then the inputs that the effects return; null for no input. */
    public void step(D decider, Q subject, I first) {
        I input = first;
        while (input != null) {
            Row<S, I, D, Q> row = rows[subject.state().ordinal()][input.ordinal()];
            if (row == null) {
                return;
            }
            ((Subject<S>) subject).state = row.next;
            input = row.effect.apply(decider, subject);
        }
    }
}
