package portrelay.model;

/** What an open request is at. HELD has nothing out and waits for a place; BARE has nothing out after one failed. */
public enum RequestState {
    FRESH,
    LOOKING,
    HELD,
    ALONE,
    RACING,
    BARE,
    CLOSED
}
