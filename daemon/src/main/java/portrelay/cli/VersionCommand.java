package portrelay.cli;

import com.beust.jcommander.Parameters;

/** Prints the version from the jar's manifest. */
@Parameters(commandDescription = "print the version")
final class VersionCommand implements Command {

    @Override
    public int run() {
        String version = Main.class.getPackage().getImplementationVersion();
        System.out.println("portrelay " + (version == null ? "unpackaged" : version));
        return 0;
    }
}
