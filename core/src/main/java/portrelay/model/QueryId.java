package portrelay.model;

public record QueryId(String value) {}
