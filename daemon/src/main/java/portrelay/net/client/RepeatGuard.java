package portrelay.net.client;

import portrelay.model.RequestArrival;
import portrelay.model.RequestClass;
import portrelay.net.handover.RequestIdTable;
import portrelay.settings.Settings;

/**
 * Decides whether a request may begin although an earlier one had the same id, which its client may have left: not if
 * that may have been executed and upstreams would not recognise the repeat. Remembers such an id until the client can't
 * be waiting any more and upstreams have forgotten its key.
 */
final class RepeatGuard {

    /** Where the settings give a class neither a deadline nor a deduplication window. */
    private static final double DEFAULT_SECONDS = 5;

    private static final double MAX_SECONDS = 60;

    private final Settings settings;
    private final RequestIdTable ids;

    RepeatGuard(Settings settings, RequestIdTable ids) {
        this.settings = settings;
        this.ids = ids;
    }

    /**
     * Records that a request begins; returns false if it must not.
     *
     * @param id the id that the client gave
     */
    boolean begin(String id, RequestArrival arrival) {
        return !isRemembered(arrival) || ids.add(id, rememberedSeconds(arrival));
    }

    /** Records that a request was answered and may have been executed. */
    void answered(String id, RequestArrival arrival) {
        if (isRemembered(arrival)) {
            ids.extend(id, rememberedSeconds(arrival));
        }
    }

    /** Records that a request was rejected: it provably was not executed. */
    void rejected(String id, RequestArrival arrival) {
        if (isRemembered(arrival)) {
            ids.remove(id);
        }
    }

    private boolean isRemembered(RequestArrival arrival) {
        RequestClass requestClass = settings.requestClass(arrival.requestClass());
        return switch (requestClass.idempotency()) {
            case SAFE -> false;
            case KEYED -> requestClass.deduplicationScope() != RequestClass.DeduplicationScope.ALL;
            case UNSAFE -> true;
        };
    }

    private double rememberedSeconds(RequestArrival arrival) {
        RequestClass requestClass = settings.requestClass(arrival.requestClass());
        double seconds = Math.max(finite(requestClass.deadline()), finite(requestClass.deduplicationWindow()));
        return Math.min(MAX_SECONDS, seconds > 0 ? seconds : DEFAULT_SECONDS);
    }

    private static double finite(double seconds) {
        return Double.isFinite(seconds) ? seconds : 0;
    }
}
