package org.skylarkbend.moves;

import java.util.List;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.TreeSet;
import org.skylarkbend.base.ObjectName;
import org.skylarkbend.base.Result;
import org.skylarkbend.wire.MessageCodec;
import org.skylarkbend.wire.MessageReader;
import org.skylarkbend.wire.MessageWriter;

/** Encodes {@link MoveState} for snapshots. */
public final class MoveStateCodec implements MessageCodec<MoveState> {
    private static final int MOVE_STATE = 1;

    @Override
    public byte[] encode(MoveState state) {
        return new MessageWriter(MOVE_STATE)
                .list(List.copyOf(state.moves().values()), MoveStateCodec::write)
                .toBytes();
    }

    @Override
    public Result<MoveState> decode(byte[] payload) {
        return MessageReader.decode(payload, MoveStateCodec::read);
    }

    private static MoveState read(MessageReader reader) {
        int type = reader.type();
        if (type != MOVE_STATE) {
            return MessageReader.unknownType(type);
        }
        SortedMap<ObjectName, MoveProgress> moves = new TreeMap<>();
        for (MoveProgress progress : reader.list(MoveStateCodec::readProgress)) {
            moves.put(progress.plan().move().name(), progress);
        }
        return new MoveState(moves);
    }

    private static void write(MessageWriter writer, MoveProgress progress) {
        MoveCodec.writePlan(writer, progress.plan());
        writer.text(progress.phase().name())
                .text(progress.reason())
                .decimal(progress.share())
                .list(List.copyOf(progress.loaded()), MoveCodec::writeName)
                .list(List.copyOf(progress.failedLoads()), MoveCodec::writeName);
        writeTest(writer, progress.evaluation().errors());
        writeTest(writer, progress.evaluation().emptyResponses());
        writeTest(writer, progress.evaluation().firstToken());
        writer.number(progress.evaluation().newRequests())
                .number(progress.evaluation().stepRequests())
                .number(progress.phaseSinceEpochMilliseconds())
                .number(progress.stepSinceEpochMilliseconds())
                .number(progress.observedRequests());
    }

    private static MoveProgress readProgress(MessageReader reader) {
        return new MoveProgress(
                MoveCodec.readPlan(reader),
                MovePhase.valueOf(reader.text()),
                reader.text(),
                reader.decimal(),
                new TreeSet<>(reader.list(MoveCodec::readName)),
                new TreeSet<>(reader.list(MoveCodec::readName)),
                new VersionEvaluation(
                        readTest(reader),
                        readTest(reader),
                        readTest(reader),
                        reader.number(),
                        reader.number()),
                reader.number(),
                reader.number(),
                reader.number());
    }

    private static void writeTest(MessageWriter writer, SequentialTest test) {
        writer.number(test.windows())
                .list(test.worseLogs(), (w, log) -> w.decimal(log))
                .decimal(test.notWorseLog())
                .decimal(test.maxNotWorseLog());
    }

    private static SequentialTest readTest(MessageReader reader) {
        return new SequentialTest(
                reader.number(),
                reader.list(MessageReader::decimal),
                reader.decimal(),
                reader.decimal());
    }
}
