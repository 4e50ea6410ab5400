package portrelay.model;

public record ZoneId(int value) {
}
