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
class ModuleBoundariesTest {

    private static final String[] CORE_PACKAGES = {
        "portrelay.policy..",
        "portrelay.model..",
        "portrelay.settings..",
        "portrelay.admission..",
        "portrelay.gossip..",
        "portrelay.discovery..",
        "portrelay.lease..",
        "portrelay.shutdown.."
    };
    private static final String[] CORE_AND_JDK_PACKAGES =
            Stream.concat(Arrays.stream(CORE_PACKAGES), Stream.of("java..")).toArray(String[]::new);
    private static final String[] KIT_PACKAGES = {
        "portrelay.kit..", "portrelay.fleet..", "portrelay.standin..", "portrelay.faulttest.."
    };
    private static final JavaClasses ALL_CLASSES = new ClassFileImporter().importPackages("portrelay");

    private static final DescribedPredicate<JavaClass> EXTERNAL_RESOURCES =
            new DescribedPredicate<>("sockets, files, threads or a clock") {
                @Override
                public boolean test(JavaClass javaClass) {
                    String name = javaClass.getFullName();
                    boolean isInputOutput = name.startsWith("java.io.")
                            && !name.endsWith("Exception")
                            && !name.equals("java.io.Serializable");
                    return isInputOutput
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
    void everyPackageOfCoreIsCoveredByTheRules() throws IOException {
        Set<String> packages = new TreeSet<>();
        try (Stream<Path> folders = Files.list(Path.of("../core/src/main/java/portrelay"))) {
            folders.forEach(folder -> packages.add("portrelay." + folder.getFileName() + ".."));
        }
        assertEquals(packages, new TreeSet<>(Arrays.asList(CORE_PACKAGES)));
    }

    @Test
    void coreDoesNoInputOrOutputAndHasNoThread() {
        noClasses()
                .that()
                .resideInAnyPackage(CORE_PACKAGES)
                .should()
                .dependOnClassesThat(EXTERNAL_RESOURCES)
                .check(ALL_CLASSES);
        noClasses()
                .that()
                .resideInAnyPackage(CORE_PACKAGES)
                .should()
                .callMethod(System.class, "nanoTime")
                .orShould()
                .callMethod(System.class, "currentTimeMillis")
                .check(ALL_CLASSES);
    }

    @Test
    void coreDependsOnlyOnItselfAndTheJdk() {
        classes()
                .that()
                .resideInAnyPackage(CORE_PACKAGES)
                .should()
                .onlyDependOnClassesThat()
                .resideInAnyPackage(CORE_AND_JDK_PACKAGES)
                .check(ALL_CLASSES);
    }

    @Test
    void theDaemonDoesNotDependOnTheKit() {
        noClasses()
                .that()
                .resideOutsideOfPackages(KIT_PACKAGES)
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage(KIT_PACKAGES)
                .check(ALL_CLASSES);
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
    void netPackagesDependOnlyOnThoseBelowThem() {
        for (int i = 0; i < NET_PACKAGES.size(); i++) {
            String testedPackage = "portrelay.net." + NET_PACKAGES.get(i);
            String[] higherPackages = NET_PACKAGES.subList(i + 1, NET_PACKAGES.size()).stream()
                    .map(name -> "portrelay.net." + name)
                    .toArray(String[]::new);
            noClasses()
                    .that()
                    .resideInAPackage(testedPackage)
                    .should()
                    .dependOnClassesThat()
                    .resideInAnyPackage(higherPackages)
                    .allowEmptyShould(false)
                    .check(ALL_CLASSES);
        }
    }

    @Test
    void everyClassOfNetIsInAListedPackage() {
        Set<String> packages = new TreeSet<>();
        for (JavaClass javaClass : ALL_CLASSES) {
            if (javaClass.getPackageName().startsWith("portrelay.net")) {
                packages.add(javaClass.getPackageName());
            }
        }
        Set<String> listed = new TreeSet<>();
        NET_PACKAGES.forEach(name -> listed.add("portrelay.net." + name));
        assertEquals(listed, packages);
    }

    @Test
    void aForbiddenDependencyIsDetected() {
        ArchRule violatedRule =
                noClasses().that().resideInAPackage("portrelay.net..").should().dependOnClassesThat(EXTERNAL_RESOURCES);
        assertThrows(AssertionError.class, () -> violatedRule.check(ALL_CLASSES));
        assertTrue(ALL_CLASSES.contain("portrelay.policy.LoadBalancer"));
    }
}
