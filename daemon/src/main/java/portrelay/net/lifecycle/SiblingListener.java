package portrelay.net.lifecycle;

import portrelay.model.UpstreamId;
import portrelay.net.handover.HandoverService;

/**
 * Applies operator calls that a sibling process of this sidecar received, and reacts to the sibling's start and end.
 * Runs on the event loop.
 */
final class SiblingListener implements HandoverService.Listener {

    private final SidecarComponents components;
    private final Startup startup;

    SiblingListener(SidecarComponents components, Startup startup) {
        this.components = components;
        this.startup = startup;
    }

    @Override
    public void disabledChanged(UpstreamId id, boolean isDisabled) {
        components.log.info("call taken over from sibling process: upstream=" + Long.toHexString(id.value()) + " state="
                + (isDisabled ? "offline" : "online"));
        components.loadBalancer.setDisabled(id, isDisabled, () -> {});
    }

    @Override
    public void inServiceChanged(boolean isInService) {
        components.log.info("call taken over from sibling process: in-service=" + isInService);
        components.frontend.setInService(isInService);
    }

    @Override
    public void siblingChanged(HandoverService.Sibling sibling) {
        components.updateLimits(sibling);
        if (sibling == HandoverService.Sibling.NONE) {
            startup.siblingGone();
        }
    }
}
