/**
 * The load balancing decisions of one sidecar: which upstream gets a request, when an attempt is hedged or retried,
 * which requests are queued, and when a request is rejected or failed. {@link portrelay.policy.LoadBalancer} receives
 * the events and delegates each decision to the class that is responsible for it.
 *
 * <p>Times are seconds as {@code double} on the caller's clock; the time of an event is passed down as
 * {@code nowSeconds}. The package is not thread-safe and expects a single calling thread; no call blocks. All random
 * draws come from one seeded generator, so that the same sequence of events gives the same decisions. Depends on
 * {@code portrelay.model} and {@code portrelay.gossip} only.
 */
package portrelay.policy;
