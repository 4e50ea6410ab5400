package portrelay.net.lifecycle;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;
import portrelay.net.handover.HandoverService.Sibling;

class DescriptorBudgetTest {

    @Test
    void aProcessWithoutSiblingDividesTheWholeLimit() {
        DescriptorBudget budget = new DescriptorBudget(1024, true, Sibling.NONE);
        assertEquals(48, budget.maxAdminConnections());
        assertEquals(456, budget.maxUpstreamConnections());
        assertEquals(855, budget.maxClientConnections(0));
        assertEquals(399, budget.maxClientConnections(456));
    }

    @Test
    void aProcessWithASiblingDividesItsShare() {
        DescriptorBudget budget = new DescriptorBudget(1024, true, Sibling.NONE);
        budget.siblingChanged(Sibling.STARTING);
        assertEquals(424, budget.maxUpstreamConnections());
        assertEquals(795, budget.maxClientConnections(0));
        budget.siblingChanged(Sibling.SERVING);
        assertEquals(48, budget.maxAdminConnections());
        assertEquals(200, budget.maxUpstreamConnections());
        assertEquals(375, budget.maxClientConnections(0));
        assertEquals(256, budget.maxClientConnections(200));
    }

    /** Guards against limits that stay halved once the sibling is gone. */
    @Test
    void aProcessWhoseSiblingHasEndedDividesTheWholeLimitAgain() {
        DescriptorBudget budget = new DescriptorBudget(1024, true, Sibling.SERVING);
        budget.siblingChanged(Sibling.NONE);
        assertEquals(456, budget.maxUpstreamConnections());
        assertEquals(855, budget.maxClientConnections(0));
    }

    @Test
    void theSmallestLimitLeavesOneUpstreamAndOneClientConnection() {
        DescriptorBudget budget = new DescriptorBudget(1, false, Sibling.NONE);
        assertEquals(0, budget.maxAdminConnections());
        assertEquals(1, budget.maxUpstreamConnections());
        assertEquals(1, budget.maxClientConnections(1));
    }
}
