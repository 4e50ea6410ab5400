package portrelay.net.handover;

import java.io.IOException;
import java.io.InputStream;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import portrelay.json.JsonTree;
import portrelay.json.ValueReader;
import portrelay.model.UpstreamId;
import portrelay.net.discovery.EndpointListLimit;
import portrelay.net.discovery.EndpointListPage;
import portrelay.net.discovery.EndpointListReader;
import portrelay.net.discovery.EndpointListSnapshot;
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
        List<UpstreamId> everListed = state.endpointList == null ? List.of() : state.endpointList.everListed();
        tree.put("ever", EndpointListSnapshot.lazily(everListed, id -> Long.toHexString(id.value())));
        tree.put("list", state.endpointList == null ? null : state.endpointList.tree());
        return tree;
    }

    /**
     * Decodes the state of a process of the sidecar with the given name.
     *
     * @param limit the part of its endpoint list that is decoded; null for none of it, nor of the ids ever listed
     * @throws IOException if the state is not well-formed JSON
     * @throws InvalidSettingException if it is not in the form that {@link #encode} creates; names the field
     */
    static HandoverState decode(InputStream json, String sidecarName, EndpointListLimit limit)
            throws IOException, InvalidSettingException {
        JsonFields root = JsonFields.of(JsonTree.parse(json, readers(limit)), "");
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
        List<UpstreamId> everListed = new ArrayList<>();
        for (String id : root.strings("ever")) {
            everListed.add(upstreamId(root, "ever", id));
        }
        EndpointListPage list = (EndpointListPage) root.asMap().get("list");
        EndpointListPage known = list == null ? EndpointListPage.NONE : list;
        state.endpointList = EndpointListSnapshot.of(known, everListed);
        return state;
    }

    private static Map<String, ValueReader<InvalidSettingException>> readers(EndpointListLimit limit) {
        if (limit != null) {
            return Map.of("list", json -> EndpointListReader.read(json, "list", limit));
        }
        return Map.of(
                "list",
                json -> {
                    json.skipChildren();
                    return null;
                },
                "ever",
                json -> {
                    json.skipChildren();
                    return List.of();
                });
    }

    private static UpstreamId upstreamId(JsonFields root, String field, String hex) throws InvalidSettingException {
        try {
            return new UpstreamId(Long.parseUnsignedLong(hex, 16));
        } catch (NumberFormatException e) {
            throw root.invalid(field, "ids of up to 16 hexadecimal digits");
        }
    }
}
