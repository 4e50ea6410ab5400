package portrelay.cli;

import com.beust.jcommander.Parameters;
import java.io.FileDescriptor;
import java.io.FileInputStream;
import java.io.FileOutputStream;
import java.io.IOException;
import portrelay.simulation.MalformedInputException;
import portrelay.simulation.SimulationDriver;

/** Runs the {@link SimulationDriver} on standard input and output. */
@Parameters(commandDescription = "read the simulator's events on standard input, write decisions on standard output")
final class SimulateCommand implements Command {

    private static final int INVALID_INPUT = 1;

    private final String name;

    /** @param name name under which the command is called, for its messages */
    SimulateCommand(String name) {
        this.name = name;
    }

    @Override
    public int run() {
        try (var in = new FileInputStream(FileDescriptor.in);
                var out = new FileOutputStream(FileDescriptor.out)) {
            new SimulationDriver(in, out).run();
            return 0;
        } catch (MalformedInputException e) {
            System.err.println("portrelay " + name + ": " + e.getMessage());
        } catch (IOException e) {
            System.err.println("portrelay " + name + ": input or output failed: " + e.getMessage());
        }
        return INVALID_INPUT;
    }
}
