package portrelay.model;

public record ShapeId(int value) {}
