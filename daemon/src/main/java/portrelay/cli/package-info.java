/**
 * The commands of the daemon's jar. A command returns its exit code; invalid input ends it with one line on standard
 * error that names the option or field. This is the topmost package: it may depend on all others of the daemon, and
 * none of them depends on it. Its code runs on the main thread and, for signals, on threads of the JVM.
 */
package portrelay.cli;
