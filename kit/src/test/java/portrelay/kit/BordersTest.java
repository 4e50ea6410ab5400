package portrelay.kit;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.classes;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.tngtech.archunit.base.DescribedPredicate;
import com.tngtech.archunit.core.domain.JavaClass;
import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.lang.ArchRule;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/** Tests the allowed dependencies between modules and packages, on the compiled classes. */
class BordersTest {

    private static final String[] CORE = {
        "portrelay.policy..",
        "portrelay.model..",
        "portrelay.settings..",
        "portrelay.admission..",
        "portrelay.gossip..",
        "portrelay.discovery..",
        "portrelay.lease..",
        "portrelay.shutdown.."
    };
    private static final String[] CORE_OR_JDK =
            Stream.concat(Arrays.stream(CORE), Stream.of("java..")).toArray(String[]::new);
    private static final String[] KIT = {
        "portrelay.kit..", "portrelay.fleet..", "portrelay.standin..", "portrelay.faulttest.."
    };
    private static final JavaClasses ALL = new ClassFileImporter().importPackages("portrelay");

    private static final DescribedPredicate<JavaClass> OUTSIDE_WORLD =
            new DescribedPredicate<>("sockets, files, threads or a clock") {
                @Override
                public boolean test(JavaClass each) {
                    String name = each.getFullName();
                    boolean file = name.startsWith("java.io.")
                            && !name.endsWith("Exception")
                            && !name.equals("java.io.Serializable");
                    return file
                            || name.startsWith("java.net.")
                            || name.startsWith("java.nio.")
                            || name.startsWith("java.time.")
                            || name.startsWith("java.util.concurrent.")
                            || name.startsWith("org.xnio.")
                            || name.startsWith("io.undertow.")
                            || name.equals("java.lang.Thread");
                }
            };

    /** Guards against a renamed or new package that the lists above don't name, and to which no rule would apply. */
    @Test
    void everyPackageOfCoreIsHeldToItsRules() throws IOException {
        Set<String> packages = new TreeSet<>();
        try (Stream<Path> folders = Files.list(Path.of("../core/src/main/java/portrelay"))) {
            folders.forEach(folder -> packages.add("portrelay." + folder.getFileName() + ".."));
        }
        assertEquals(packages, new TreeSet<>(Arrays.asList(CORE)));
    }

    @Test
    void coreDoesNoInputOrOutputAndHasNoThread() {
        noClasses()
                .that()
                .resideInAnyPackage(CORE)
                .should()
                .dependOnClassesThat(OUTSIDE_WORLD)
                .check(ALL);
        noClasses()
                .that()
                .resideInAnyPackage(CORE)
                .should()
                .callMethod(System.class, "nanoTime")
                .orShould()
                .callMethod(System.class, "currentTimeMillis")
                .check(ALL);
    }

    @Test
    void coreKnowsOnlyItselfAndTheJdk() {
        classes()
                .that()
                .resideInAnyPackage(CORE)
                .should()
                .onlyDependOnClassesThat()
                .resideInAnyPackage(CORE_OR_JDK)
                .check(ALL);
    }

    @Test
    void theDaemonDoesNotKnowTheKit() {
        noClasses()
                .that()
                .resideOutsideOfPackages(KIT)
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage(KIT)
                .check(ALL);
    }

    /** The subpackages of portrelay.net, from lowest to highest; each may depend only on those before it. */
    private static final List<String> NET_PACKAGES = List.of(
            "eventloop",
            "http",
            "connection",
            "upstream",
            "peer",
            "balancer",
            "discovery",
            "handover",
            "admission",
            "client",
            "admin",
            "lifecycle");

    @Test
    void netPackagesKnowOnlyThoseBelowThem() {
        for (int i = 0; i < NET_PACKAGES.size(); i++) {
            String lower = "portrelay.net." + NET_PACKAGES.get(i);
            String[] higher = NET_PACKAGES.subList(i + 1, NET_PACKAGES.size()).stream()
                    .map(name -> "portrelay.net." + name)
                    .toArray(String[]::new);
            noClasses()
                    .that()
                    .resideInAPackage(lower)
                    .should()
                    .dependOnClassesThat()
                    .resideInAnyPackage(higher)
                    .allowEmptyShould(false)
                    .check(ALL);
        }
    }

    @Test
    void everyClassOfNetStandsInOneOfItsPackages() {
        Set<String> packages = new TreeSet<>();
        for (JavaClass each : ALL) {
            if (each.getPackageName().startsWith("portrelay.net")) {
                packages.add(each.getPackageName());
            }
        }
        Set<String> named = new TreeSet<>();
        NET_PACKAGES.forEach(name -> named.add("portrelay.net." + name));
        assertEquals(named, packages);
    }

    @Test
    void aBreachWouldBeSeen() {
        ArchRule breached =
                noClasses().that().resideInAPackage("portrelay.net..").should().dependOnClassesThat(OUTSIDE_WORLD);
        assertThrows(AssertionError.class, () -> breached.check(ALL));
        assertTrue(ALL.contain("portrelay.policy.LoadBalancer"));
    }
}
