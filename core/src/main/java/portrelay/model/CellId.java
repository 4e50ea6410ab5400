package portrelay.model;

/** A cell: a part of a zone, and a deduplication scope. */
public record CellId(long value) {}
