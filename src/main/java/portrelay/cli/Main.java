package portrelay.cli;

import java.io.FileDescriptor;
import java.io.FileInputStream;
import java.io.FileOutputStream;
import java.io.IOException;
import portrelay.drill.BadWire;
import portrelay.drill.Drill;

public final class Main {

    private static final String USAGE = """
            usage: portrelay <command>

              drill    read the bench's wire on standard input, write decisions on standard output
            """;

    private Main() {
    }

    public static void main(String[] args) {
        if (args.length != 1 || !args[0].equals("drill")) {
            System.err.print(USAGE);
            System.exit(2);
        }
        try (var in = new FileInputStream(FileDescriptor.in); var out = new FileOutputStream(FileDescriptor.out)) {
            new Drill(in, out).run();
        } catch (BadWire e) {
            System.err.println("portrelay drill: " + e.getMessage());
            System.exit(1);
        } catch (IOException e) {
            System.err.println("portrelay drill: input or output failed: " + e.getMessage());
            System.exit(1);
        }
    }
}
