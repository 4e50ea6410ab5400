package portrelay.model;

public record GroupId(long value) {}
