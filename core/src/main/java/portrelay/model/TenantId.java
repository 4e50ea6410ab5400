package portrelay.model;

public record TenantId(int value) {
}
