package portrelay.model;

/** What the settings allow; longestCoolDown is 0 where clients take no advice. */
public record Permits(int executions, boolean cancel, boolean copies, boolean probes, double longestCoolDown) {}
