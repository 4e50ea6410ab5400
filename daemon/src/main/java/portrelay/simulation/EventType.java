package portrelay.simulation;

import java.util.Map;
import java.util.function.Function;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/** Events that the simulator sends to a running instance, each with its name in the simulator's protocol. */
enum EventType {
    /** The process of the instance has ended. */
    INSTANCE_STOPPED("down"),
    REQUEST_ARRIVED("arrival"),
    /** The first byte of a streamed answer has arrived. */
    ANSWER_BEGAN("accepted"),
    ATTEMPT_ENDED("closed-attempt"),
    /** The client has stopped waiting for its answer. */
    CLIENT_LEFT("expired"),
    WAKE_UP("alarm"),
    /** An update of the endpoint list, or the failure to get one. */
    ENDPOINTS_UPDATED("sync"),
    /** The answer to a load probe, or its failure. */
    LOAD_REPORTED("check-result"),
    PEER_MESSAGE_RECEIVED("message");

    private static final Map<String, EventType> BY_WIRE_NAME =
            Stream.of(values()).collect(Collectors.toMap(type -> type.wireName, Function.identity()));

    private final String wireName;

    EventType(String wireName) {
        this.wireName = wireName;
    }

    /** Returns the event type of a name in the protocol; null for an unknown name. */
    static EventType of(String wireName) {
        return BY_WIRE_NAME.get(wireName);
    }
}
