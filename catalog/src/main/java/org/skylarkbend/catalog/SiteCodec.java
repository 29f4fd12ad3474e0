package org.skylarkbend.catalog;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.skylarkbend.base.Result;
import org.skylarkbend.catalog.SiteMessage.CallSplits;
import org.skylarkbend.catalog.SiteMessage.ColdEndpoints;
import org.skylarkbend.catalog.SiteMessage.ControlVms;
import org.skylarkbend.catalog.SiteMessage.DataCentresEvacuated;
import org.skylarkbend.catalog.SiteMessage.EndpointsChanged;
import org.skylarkbend.catalog.SiteMessage.EndpointsListed;
import org.skylarkbend.catalog.SiteMessage.RelayOffered;
import org.skylarkbend.catalog.SiteMessage.RelaysListed;
import org.skylarkbend.catalog.SiteMessage.WeightsNamed;
import org.skylarkbend.catalog.SiteMessage.WorkUnderWay;
import org.skylarkbend.wire.MessageCodec;
import org.skylarkbend.wire.MessageReader;
import org.skylarkbend.wire.MessageWriter;

/** Encodes and decodes {@link SiteMessage}. */
public final class SiteCodec implements MessageCodec<SiteMessage> {
    /** Name of the slice for {@link WorkUnderWay} messages between gateways and control. */
    public static final String WORK_SLICE = "work";

    /** Name of the slice for {@link RelayOffered} messages of gateways to control. */
    public static final String RELAY_SLICE = "relays";

    private static final int CONTROL_VMS = 1;
    private static final int ENDPOINTS_LISTED = 2;
    private static final int WEIGHTS_NAMED = 3;
    private static final int WORK_UNDER_WAY = 4;
    private static final int ENDPOINTS_CHANGED = 5;
    private static final int CALL_SPLITS = 6;
    private static final int RELAY_OFFERED = 7;
    private static final int RELAYS_LISTED = 8;
    private static final int COLD_ENDPOINTS = 9;
    private static final int DATA_CENTRES_EVACUATED = 10;

    @Override
    public byte[] encode(SiteMessage message) {
        if (message instanceof ControlVms vms) {
            return new MessageWriter(CONTROL_VMS)
                    .list(vms.addresses(), MessageWriter::text)
                    .toBytes();
        }
        if (message instanceof EndpointsListed listed) {
            return new MessageWriter(ENDPOINTS_LISTED)
                    .number(listed.number())
                    .list(listed.endpoints().endpoints(), SiteCodec::writeEndpoint)
                    .list(List.copyOf(listed.endpoints().loading()), MessageWriter::text)
                    .toBytes();
        }
        if (message instanceof EndpointsChanged changed) {
            Endpoints.Difference difference = changed.difference();
            return new MessageWriter(ENDPOINTS_CHANGED)
                    .number(changed.number())
                    .list(difference.changed(), SiteCodec::writeEndpoint)
                    .list(List.copyOf(difference.removed()), MessageWriter::text)
                    .list(List.copyOf(difference.loading()), MessageWriter::text)
                    .toBytes();
        }
        if (message instanceof CallSplits splits) {
            return new MessageWriter(CALL_SPLITS)
                    .list(splits.splits(), SiteCodec::writeSplit)
                    .toBytes();
        }
        if (message instanceof WorkUnderWay work) {
            return new MessageWriter(WORK_UNDER_WAY)
                    .list(List.copyOf(work.byIncarnation().entrySet()), SiteCodec::writeWork)
                    .number(work.nextInMilliseconds())
                    .toBytes();
        }
        if (message instanceof WeightsNamed named) {
            MessageWriter writer = new MessageWriter(WEIGHTS_NAMED);
            writeVersions(writer, named.versions());
            return writer.toBytes();
        }
        return encodeState(message);
    }

    /** Encodes the messages about the state of endpoints and gateways. */
    private static byte[] encodeState(SiteMessage message) {
        if (message instanceof ColdEndpoints cold) {
            MessageWriter writer = new MessageWriter(COLD_ENDPOINTS);
            writeNumbers(writer, cold.milliseconds());
            return writer.toBytes();
        }
        if (message instanceof DataCentresEvacuated evacuated) {
            return new MessageWriter(DATA_CENTRES_EVACUATED)
                    .list(List.copyOf(evacuated.dataCentres()), MessageWriter::text)
                    .toBytes();
        }
        if (message instanceof RelayOffered offered) {
            MessageWriter writer = new MessageWriter(RELAY_OFFERED);
            writeRelay(writer, offered.relay());
            return writer.flag(offered.isOpen()).toBytes();
        }
        RelaysListed listed = (RelaysListed) message;
        return new MessageWriter(RELAYS_LISTED)
                .list(listed.relays(), SiteCodec::writeRelay)
                .number(listed.gateways())
                .toBytes();
    }

    @Override
    public Result<SiteMessage> decode(byte[] payload) {
        return MessageReader.decode(payload, SiteCodec::read);
    }

    /** Writes the versions of weights by model. */
    public static void writeVersions(MessageWriter writer, Map<String, Long> versions) {
        writeNumbers(writer, versions);
    }

    /** Reads the versions of weights by model. */
    public static Map<String, Long> readVersions(MessageReader reader) {
        return readNumbers(reader);
    }

    private static void writeNumbers(MessageWriter writer, Map<String, Long> numbers) {
        writer.list(
                List.copyOf(numbers.entrySet()),
                (item, entry) -> item.text(entry.getKey()).number(entry.getValue()));
    }

    private static Map<String, Long> readNumbers(MessageReader reader) {
        Map<String, Long> numbers = new HashMap<>();
        reader.list(item -> numbers.put(item.text(), item.number()) == null);
        return numbers;
    }

    private static void writeWork(MessageWriter writer, Map.Entry<String, EndpointWork> endpoint) {
        writer.text(endpoint.getKey())
                .number(endpoint.getValue().promptTokens())
                .number(endpoint.getValue().calls());
    }

    private static Map<String, EndpointWork> readWork(MessageReader reader) {
        Map<String, EndpointWork> work = new HashMap<>();
        reader.list(
                item ->
                        work.put(item.text(), new EndpointWork(item.number(), item.number()))
                                == null);
        return work;
    }

    private static void writeSplit(MessageWriter writer, VersionSplit split) {
        writer.text(split.service())
                .text(split.version())
                .decimal(split.share())
                .list(List.copyOf(split.retiredVersions()), MessageWriter::text);
    }

    private static VersionSplit readSplit(MessageReader reader) {
        return new VersionSplit(
                reader.text(),
                reader.text(),
                reader.decimal(),
                Set.copyOf(reader.list(MessageReader::text)));
    }

    private static void writeEndpoint(MessageWriter writer, Endpoint endpoint) {
        writer.text(endpoint.id())
                .text(endpoint.service())
                .text(endpoint.host())
                .number(endpoint.port())
                .text(endpoint.zone())
                .text(endpoint.softwareVersion())
                .number(endpoint.slots())
                .flag(endpoint.leaving())
                .number(endpoint.startedEpochMilliseconds());
        writeVersions(writer, endpoint.weights());
    }

    private static void writeRelay(MessageWriter writer, Relay relay) {
        writer.text(relay.host())
                .number(relay.port())
                .text(relay.dataCentre())
                .flag(relay.leaving());
    }

    private static Relay readRelay(MessageReader reader) {
        return new Relay(reader.text(), (int) reader.number(), reader.text(), reader.flag());
    }

    private static SiteMessage read(MessageReader reader) {
        int type = reader.type();
        return switch (type) {
            case CONTROL_VMS -> new ControlVms(reader.list(MessageReader::text));
            case ENDPOINTS_LISTED ->
                    new EndpointsListed(
                            reader.number(),
                            new Endpoints(
                                    reader.list(SiteCodec::readEndpoint),
                                    Set.copyOf(reader.list(MessageReader::text))));
            case ENDPOINTS_CHANGED ->
                    new EndpointsChanged(
                            reader.number(),
                            new Endpoints.Difference(
                                    reader.list(SiteCodec::readEndpoint),
                                    Set.copyOf(reader.list(MessageReader::text)),
                                    Set.copyOf(reader.list(MessageReader::text))));
            case CALL_SPLITS -> new CallSplits(reader.list(SiteCodec::readSplit));
            case WEIGHTS_NAMED -> new WeightsNamed(readVersions(reader));
            case RELAY_OFFERED -> new RelayOffered(readRelay(reader), reader.flag());
            case RELAYS_LISTED ->
                    new RelaysListed(reader.list(SiteCodec::readRelay), (int) reader.number());
            case COLD_ENDPOINTS -> new ColdEndpoints(readNumbers(reader));
            case DATA_CENTRES_EVACUATED ->
                    new DataCentresEvacuated(Set.copyOf(reader.list(MessageReader::text)));
            case WORK_UNDER_WAY -> new WorkUnderWay(readWork(reader), reader.number());
            default -> MessageReader.unknownType(type);
        };
    }

    private static Endpoint readEndpoint(MessageReader reader) {
        return new Endpoint(
                reader.text(),
                reader.text(),
                reader.text(),
                (int) reader.number(),
                reader.text(),
                reader.text(),
                (int) reader.number(),
                reader.flag(),
                reader.number(),
                readVersions(reader));
    }
}
