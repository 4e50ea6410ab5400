package portrelay.model;

public record OfferingId(int value) {}
