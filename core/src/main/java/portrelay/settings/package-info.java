/**
 * Reads a configuration's settings from a JSON tree into the records of {@code portrelay.model}.
 * {@link portrelay.settings.Settings} gives access to them, {@code SettingsParser} reads them, and
 * {@code SettingsSchema} lists the names of the fields, which are fixed by the deployments' configuration files and
 * never change. {@link portrelay.settings.Migration} carries an old configuration over to another deployment.
 *
 * <p>Trees consist of maps, lists, strings, doubles and booleans, as a JSON parser returns them, and are never changed.
 * Durations are microseconds in the files, and seconds as {@code double} here and everywhere else. All types except
 * {@code Migration} are immutable. Depends on {@code portrelay.model} and {@code portrelay.policy} only.
 */
package portrelay.settings;
