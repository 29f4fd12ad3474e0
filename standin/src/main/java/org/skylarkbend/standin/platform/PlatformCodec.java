package org.skylarkbend.standin.platform;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.util.List;
import java.util.Locale;

/** Reads and writes the platform's list as JSON. */
final class PlatformCodec {
    private PlatformCodec() {}

    static JsonObject list(PlatformList list) {
        JsonArray vms = new JsonArray();
        list.vms().forEach(vm -> vms.add(vm(vm)));
        JsonArray endpoints = new JsonArray();
        list.endpoints().forEach(endpoint -> endpoints.add(endpoint(endpoint)));
        return new JsonObject()
                .put("generation", list.generation())
                .put("vms", vms)
                .put("endpoints", endpoints);
    }

    static List<ListedVm> vms(JsonObject body) {
        return body.getJsonArray("vms", new JsonArray()).stream()
                .map(item -> readVm((JsonObject) item))
                .toList();
    }

    static List<ListedEndpoint> endpoints(JsonObject body) {
        return body.getJsonArray("endpoints", new JsonArray()).stream()
                .map(item -> readEndpoint((JsonObject) item))
                .toList();
    }

    private static JsonObject vm(ListedVm vm) {
        return new JsonObject()
                .put("name", vm.name())
                .put("host", vm.host())
                .put("port", vm.port())
                .put("data_centre", vm.dataCentre())
                .put("state", lowerCaseName(vm.state()));
    }

    private static JsonObject endpoint(ListedEndpoint endpoint) {
        return new JsonObject()
                .put("name", endpoint.name())
                .put("state", lowerCaseName(endpoint.state()));
    }

    private static ListedVm readVm(JsonObject vm) {
        return new ListedVm(
                vm.getString("name"),
                vm.getString("host"),
                vm.getInteger("port"),
                vm.getString("data_centre"),
                state(vm));
    }

    private static ListedEndpoint readEndpoint(JsonObject endpoint) {
        return new ListedEndpoint(endpoint.getString("name"), state(endpoint));
    }

    private static String lowerCaseName(ListedState state) {
        return state.name().toLowerCase(Locale.ROOT);
    }

    private static ListedState state(JsonObject object) {
        return ListedState.valueOf(object.getString("state", "live").toUpperCase(Locale.ROOT));
    }
}
