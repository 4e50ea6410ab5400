package portrelay.simulation;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import org.junit.jupiter.api.Test;

/** Tests input and answers of the simulator's protocol byte for byte, as recorded before this package was renamed. */
class SimulationDriverTest {

    private static final String WITH_LOAD_PROBES = """
            ["clock",1000000]
            ["new-instance",3,42,{"allowed":{"cancel":true,"max-attempts":4,"max-retry-after-us":2000000,\
            "parallel-tries":true,"peers":true,"probes":true,"retry-after":true},"classes":[{"name":"read",\
            "effect":"read_like","group":"all","aim-us":300000,"hard-limit-us":600000},{"name":"issue",\
            "effect":"non_idempotent","group":"all","aim-us":300000,"hard-limit-us":600000}],\
            "discovery":"on_request","invariants":{"ask-within-us":10000000},"load-report":{"how":"pull"},\
            "me":0,"siblings":2,"tenants":[{"name":"acme","share":1}]}]
            ["page",0,[[1,0,11,null,"Ready","small","north"],[1,1,12,0,"Ready","small","south"]]]
            ["sync",3,0,"Persisted",0]
            ["flush"]
            ["clock",5000000]
            ["arrival",3,"r1","read","acme",0,5600000,80000,1]
            ["arrival",3,"r2","issue",null,null,5600000,null,null]
            ["flush"]
            ["clock",5000400]
            ["check-result",3,0,11,400,{"concurrent":0,"depth":0,"load_share":0.5,"mean_ms":20,"tps":3,\
            "err_ps":0,"other":"x"}]
            ["check-result",3,253,12,400,null]
            ["alarm",3,"a"]
            ["flush"]
            ["clock",5250000]
            ["alarm",3,"a"]
            ["accepted",3,"r1",11,1000,0]
            ["closed-attempt",3,"r2",0,11,255,249600,false,null]
            ["message",3,1,"!"]
            ["flush"]
            ["clock",5300000]
            ["page",1,[[1,0,12,null,"Terminating","small","south"]]]
            ["sync",3,1,"Partial",1]
            ["sync",3,2,"Error",null]
            ["closed-attempt",3,"r1",0,11,0,299600,true,{"concurrent":1},"a later field"]
            ["expired",3,"r2"]
            ["flush"]
            ["clock",5400000]
            ["down",3]
            ["flush"]
            """;

    private static final String WITH_LOAD_PROBES_ANSWERS = """
            ["stream-changes",3,true]
            ["ok"]

            ["sample",3,11]
            ["sample",3,12]
            ["set-timer",3,5004000,"a"]
            ["ok"]

            ["hand-off",3,"r1",0,11]
            ["sample",3,12]
            ["sample",3,11]
            ["ok"]

            ["hand-off",3,"r2",0,12]
            ["set-timer",3,5254000,"a"]
            ["fail",3,"r2"]
            ["ok"]

            ["ok"]

            ["ok"]
            """;

    private static final String WITH_PEERS = """
            ["clock",1000000]
            ["new-instance",0,42,{"allowed":{"cancel":true,"max-attempts":4,"max-retry-after-us":2000000,\
            "parallel-tries":true,"peers":true,"retry-after":true},"classes":[{"name":"read",\
            "effect":"read_like","group":"all","aim-us":600000,"hard-limit-us":900000}],\
            "discovery":"on_request","invariants":{"ask-within-us":10000000},\
            "load-report":{"how":"silent"},"me":0,"siblings":2,"weights":"nominal"}]
            ["page",7,[[1,0,11,null,"Ready","small","north"],[1,1,12,0,"Ready","small","south"],[2.5,1,13,\
            0,"Ready","large","south"]]]
            ["sync",0,0,"Persisted",7]
            ["flush"]
            ["clock",5000000]
            ["arrival",0,"r1","read",null,null,5600000,null,null]
            ["flush"]
            ["clock",5300000]
            ["alarm",0,"a"]
            ["flush"]
            ["clock",5310000]
            ["closed-attempt",0,"r1",0,11,0,309000,true,null]
            ["closed-attempt",0,"r1",1,12,250,9000,false,null]
            ["flush"]
            ["clock",6000000]
            ["sync",0,1,"Complete",7]
            ["page",8,[]]
            ["sync",0,2,"Complete",8]
            ["arrival",0,"r2","read",null,null,6600000,null,2]
            ["flush"]
            ["clock",6066000]
            ["alarm",0,"a"]
            ["flush"]
            """;

    private static final String WITH_PEERS_ANSWERS = """
            ["stream-changes",0,true]
            ["ok"]

            ["notify",0,"all","!h!H"]
            ["hand-off",0,"r1",0,11]
            ["set-timer",0,5300000,"a"]
            ["ok"]

            ["notify",0,"all","!lwY"]
            ["hand-off",0,"r1",0,12]
            ["ok"]

            ["notify",0,"all","\\"h!HP"]
            ["call-off",0,"r1",1]
            ["notify",0,"all","$lwY."]
            ["ok"]

            ["set-timer",0,6066000,"a"]
            ["ok"]

            ["deny",0,"r2",2000000]
            ["ok"]
            """;

    private static String answers(String input) throws IOException, MalformedInputException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        new SimulationDriver(new ByteArrayInputStream(input.getBytes(UTF_8)), out).run();
        return out.toString(UTF_8);
    }

    private static void assertMalformed(String message, String input) {
        assertEquals(
                message,
                assertThrows(MalformedInputException.class, () -> answers(input))
                        .getMessage());
    }

    @Test
    void readsEveryEventAndAnswersItInItsBatch() throws Exception {
        assertEquals(WITH_LOAD_PROBES_ANSWERS, answers(WITH_LOAD_PROBES));
    }

    @Test
    void writesEveryActionWithItsFields() throws Exception {
        assertEquals(WITH_PEERS_ANSWERS, answers(WITH_PEERS));
    }

    @Test
    void emptyInputHasNoAnswer() throws Exception {
        assertEquals("", answers(""));
    }

    @Test
    void malformedInputIsReportedWithItsLine() {
        assertMalformed("line 1: expected a clock message at the start of a batch, not flush", "[\"flush\"]\n");
        assertMalformed("line 1: expected a message, an array that starts with its name", "{\n");
        assertMalformed("line 1: expected the message's name as a string", "[1]\n");
        assertMalformed("line 1: expected the clock as a whole number", "[\"clock\",\"x\"]\n");
        assertMalformed("line 2: expected flush before the end of input", "[\"clock\",1]\n");
        assertMalformed("line 2: expected a known event, not nonsense", "[\"clock\",1]\n[\"nonsense\",3]\n");
        assertMalformed(
                "line 2: expected an event for a started instance, not for 3", "[\"clock\",1]\n[\"arrival\",3]\n");
        assertMalformed(
                "line 2: expected health Ready, Terminating or Gone, not Sick",
                "[\"clock\",1]\n[\"page\",0,[[1,0,11,null,\"Sick\",\"small\",\"north\"]]]\n");
        assertMalformed(
                "line 2: boot-info.classes[0].effect: expected a string",
                "[\"clock\",1]\n[\"new-instance\",3,1,{\"classes\":[{\"name\":\"read\"}]}]\n");
    }

    @Test
    void batchesBeforeMalformedInputAreAnswered() {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        String input = "[\"clock\",1]\n[\"flush\"]\n[\"clock\",2]\n[\"nonsense\",3]\n";
        assertThrows(
                MalformedInputException.class,
                () -> new SimulationDriver(new ByteArrayInputStream(input.getBytes(UTF_8)), out).run());
        assertEquals("[\"ok\"]\n", out.toString(UTF_8));
    }
}
