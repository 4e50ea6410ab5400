/**
 * The commands that the kit's jar offers in addition to those of the daemon: runs of simulated fleets, and of starts
 * and shutdowns of real sidecars. May depend on all packages of the kit and the daemon; runs on the main thread.
 */
package portrelay.kit.cli;
