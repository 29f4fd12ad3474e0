package org.skylarkbend.moves;

import java.util.List;
import org.skylarkbend.base.ObjectName;
import org.skylarkbend.base.Result;
import org.skylarkbend.moves.MoveMessage.EndpointsChanged;
import org.skylarkbend.moves.MoveMessage.LoadFailed;
import org.skylarkbend.moves.MoveMessage.Loaded;
import org.skylarkbend.moves.MoveMessage.OutcomesReported;
import org.skylarkbend.moves.MoveMessage.PlansPublished;
import org.skylarkbend.moves.MoveMessage.Restarted;
import org.skylarkbend.moves.MoveMessage.Tick;
import org.skylarkbend.moves.OutcomeWindow.Outcomes;
import org.skylarkbend.publishing.TrafficMove;
import org.skylarkbend.wire.MessageCodec;
import org.skylarkbend.wire.MessageReader;
import org.skylarkbend.wire.MessageWriter;

/** Encodes {@link MoveMessage} for the wire and the log. */
public final class MoveCodec implements MessageCodec<MoveMessage> {
    private static final int PLANS_PUBLISHED = 1;
    private static final int OUTCOMES_REPORTED = 2;
    private static final int LOADED = 3;
    private static final int ENDPOINTS_CHANGED = 4;
    private static final int RESTARTED = 5;
    private static final int TICK = 6;
    private static final int LOAD_FAILED = 7;

    @Override
    public byte[] encode(MoveMessage message) {
        if (message instanceof PlansPublished published) {
            return new MessageWriter(PLANS_PUBLISHED)
                    .list(published.plans(), MoveCodec::writePlan)
                    .toBytes();
        }
        if (message instanceof OutcomesReported reported) {
            return new MessageWriter(OUTCOMES_REPORTED)
                    .list(reported.windows(), MoveCodec::writeWindow)
                    .toBytes();
        }
        if (message instanceof Loaded loaded) {
            return new MessageWriter(LOADED)
                    .text(loaded.endpoint().value())
                    .text(loaded.version().value())
                    .toBytes();
        }
        if (message instanceof EndpointsChanged changed) {
            MessageWriter writer = new MessageWriter(ENDPOINTS_CHANGED);
            writer.text(changed.move().value());
            return writer.list(changed.endpoints(), MoveCodec::writeName).toBytes();
        }
        if (message instanceof Restarted restarted) {
            return new MessageWriter(RESTARTED).text(restarted.endpoint().value()).toBytes();
        }
        if (message instanceof LoadFailed failed) {
            return new MessageWriter(LOAD_FAILED).text(failed.endpoint().value()).toBytes();
        }
        return new MessageWriter(TICK).toBytes();
    }

    @Override
    public Result<MoveMessage> decode(byte[] payload) {
        return MessageReader.decode(payload, MoveCodec::read);
    }

    static void writePlan(MessageWriter writer, MovePlan plan) {
        TrafficMove move = plan.move();
        writer.text(move.name().value())
                .text(move.route().value())
                .text(move.fromVersion().value())
                .text(move.toVersion().value())
                .number(move.completeByEpochMilliseconds())
                .decimal(move.trialShare())
                .number(move.watchMilliseconds())
                .list(plan.endpoints(), MoveCodec::writeName)
                .number(plan.loadMilliseconds())
                .list(plan.versionsOfOtherRoutes(), MoveCodec::writeName);
    }

    static MovePlan readPlan(MessageReader reader) {
        TrafficMove move =
                new TrafficMove(
                        readName(reader),
                        readName(reader),
                        readName(reader),
                        readName(reader),
                        reader.number(),
                        reader.decimal(),
                        reader.number());
        return new MovePlan(
                move,
                reader.list(MoveCodec::readName),
                reader.number(),
                reader.list(MoveCodec::readName));
    }

    static void writeName(MessageWriter writer, ObjectName name) {
        writer.text(name.value());
    }

    static ObjectName readName(MessageReader reader) {
        return ObjectName.of(reader.text());
    }

    private static MoveMessage read(MessageReader reader) {
        int type = reader.type();
        return switch (type) {
            case PLANS_PUBLISHED -> new PlansPublished(reader.list(MoveCodec::readPlan));
            case OUTCOMES_REPORTED -> new OutcomesReported(reader.list(MoveCodec::readWindow));
            case LOADED -> new Loaded(readName(reader), readName(reader));
            case ENDPOINTS_CHANGED ->
                    new EndpointsChanged(readName(reader), reader.list(MoveCodec::readName));
            case RESTARTED -> new Restarted(readName(reader));
            case LOAD_FAILED -> new LoadFailed(readName(reader));
            case TICK -> new Tick();
            default -> MessageReader.unknownType(type);
        };
    }

    /** Writes the outcomes of a route. */
    public static void writeWindow(MessageWriter writer, OutcomeWindow window) {
        writer.text(window.route().value());
        writeOutcomes(writer, window.fromVersion());
        writeOutcomes(writer, window.toVersion());
    }

    /** Reads the outcomes of a route. */
    public static OutcomeWindow readWindow(MessageReader reader) {
        return new OutcomeWindow(readName(reader), readOutcomes(reader), readOutcomes(reader));
    }

    private static void writeOutcomes(MessageWriter writer, Outcomes outcomes) {
        writer.number(outcomes.requests())
                .number(outcomes.errors())
                .number(outcomes.emptyResponses())
                .list(outcomes.firstTokenCounts(), (w, count) -> w.number(count));
    }

    private static Outcomes readOutcomes(MessageReader reader) {
        int requests = (int) reader.number();
        int errors = (int) reader.number();
        int emptyResponses = (int) reader.number();
        List<Integer> counts = reader.list(r -> (int) r.number());
        return new Outcomes(requests, errors, emptyResponses, counts);
    }
}
