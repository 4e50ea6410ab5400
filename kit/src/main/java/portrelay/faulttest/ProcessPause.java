package portrelay.faulttest;

/**
 * An interval in which the process is stopped (SIGSTOP, SIGCONT), as it may be descheduled on a busy machine.
 *
 * @param from the start, in seconds after SIGTERM; negative if the pause begins before SIGTERM
 * @param length the duration in seconds
 */
public record ProcessPause(double from, double length) {

    /** Returns the end of the pause, in seconds after SIGTERM. */
    public double until() {
        return from + length;
    }
}
