package portrelay.model;

/** Identifies a cell: a part of a zone, and a deduplication scope. */
public record CellId(long value) {}
