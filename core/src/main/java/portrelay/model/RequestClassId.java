package portrelay.model;

/** The index of a request class in the settings, from 0. */
public record RequestClassId(int value) {}
