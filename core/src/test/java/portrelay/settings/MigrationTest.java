package portrelay.settings;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Tests which invalid field of a shape is reported. */
class MigrationTest {

    /** Guards against the reported section varying between starts of the JVM when several sections are invalid. */
    @Test
    void firstInvalidSectionInFileOrderIsReported() {
        List<String> sections = new ArrayList<>(List.of("allowed", "invariants", "load-report"));
        for (int rotation = 0; rotation < sections.size(); rotation++) {
            Map<String, Object> settings = new LinkedHashMap<>();
            sections.forEach(section -> settings.put(section, Map.of("nonsense", 1.0)));
            InvalidSettingException thrown = assertThrows(
                    InvalidSettingException.class, () -> Migration.of(Map.of(), Map.of("settings", settings)));
            String first = sections.get(0);
            assertTrue(thrown.getMessage().startsWith("settings." + first + ".nonsense"), thrown.getMessage());
            Collections.rotate(sections, 1);
        }
        assertEquals(3, sections.size());
    }
}
