package portrelay.net.handover;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import portrelay.model.UpstreamId;
import portrelay.net.discovery.EndpointListPage;
import portrelay.settings.InvalidSettingException;
import portrelay.settings.JsonFields;

/**
 * Converts {@link HandoverState} to and from its stored JSON form. Processes of other versions read that form, so the
 * names, their order and the form's number must not change. Upstream ids are written as unsigned hexadecimal numbers.
 */
final class HandoverStateCodec {

    private static final double FORM = 1;

    private HandoverStateCodec() {}

    static Map<String, Object> encode(HandoverState state) {
        Map<String, Object> tree = new LinkedHashMap<>();
        tree.put("form", FORM);
        tree.put("name", state.owner.name());
        tree.put("listen", state.owner.listen());
        tree.put("offerings", List.copyOf(state.owner.requestClasses()));
        tree.put("serving", state.isServing);
        tree.put("ending", state.isShuttingDown);
        tree.put("out-of-service", state.sidecarCall.takesOutOfService());
        tree.put("out-of-service-at", state.sidecarCall.calledAt());
        List<Object> calls = new ArrayList<>();
        state.upstreamCalls.latest().forEach((id, call) -> {
            Map<String, Object> row = new LinkedHashMap<>();
            row.put("id", Long.toHexString(id.value()));
            row.put("offline", call.takesOutOfService());
            row.put("at", call.calledAt());
            calls.add(row);
        });
        tree.put("calls", calls);
        tree.put(
                "ever",
                state.everListed.stream()
                        .map(id -> (Object) Long.toHexString(id.value()))
                        .toList());
        tree.put("list", state.endpointList);
        return tree;
    }

    /**
     * Decodes the state of a process of the sidecar with the given name.
     *
     * @throws InvalidSettingException if the tree is not in the form that {@link #encode} creates; names the field
     */
    static HandoverState decode(Object tree, String sidecarName) throws InvalidSettingException {
        JsonFields root = JsonFields.of(tree, "");
        if (root.number("form") != FORM) {
            throw root.invalid("form", "1, the only form that this version reads");
        }
        if (!root.string("name").equals(sidecarName)) {
            throw root.invalid("name", "this sidecar's");
        }
        HandoverState state = new HandoverState(new HandoverState.Owner(
                sidecarName,
                root.string("listen", null),
                root.has("offerings") ? Set.copyOf(root.strings("offerings")) : Set.of()));
        state.isServing = root.optionalBoolean("serving");
        state.isShuttingDown = root.optionalBoolean("ending");
        state.sidecarCall = new HandoverState.OperatorCall(
                root.optionalBoolean("out-of-service"), root.number("out-of-service-at"));
        for (JsonFields row : root.objects("calls")) {
            var call = new HandoverState.OperatorCall(row.requiredBoolean("offline"), row.number("at"));
            state.upstreamCalls.restore(upstreamId(root, "calls", row.string("id")), call);
        }
        for (String id : root.strings("ever")) {
            state.everListed.add(upstreamId(root, "ever", id));
        }
        if (root.has("list")) {
            // Parsed only to validate it: an invalid list must not be taken over.
            EndpointListPage.read(root.section("list"));
            state.endpointList = ((Map<?, ?>) tree).get("list");
        }
        return state;
    }

    private static UpstreamId upstreamId(JsonFields root, String field, String hex) throws InvalidSettingException {
        try {
            return new UpstreamId(Long.parseUnsignedLong(hex, 16));
        } catch (NumberFormatException e) {
            throw root.invalid(field, "ids of up to 16 hexadecimal digits");
        }
    }
}
