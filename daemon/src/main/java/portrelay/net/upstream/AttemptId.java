package portrelay.net.upstream;

import portrelay.model.RequestId;

/**
 * Identifies one attempt of a request.
 *
 * @param index from 0, in the order in which the request's attempts were sent
 */
public record AttemptId(RequestId request, int index) {}
