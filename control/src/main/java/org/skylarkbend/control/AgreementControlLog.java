package org.skylarkbend.control;

import io.vertx.core.Future;
import java.util.List;
import java.util.function.Supplier;
import org.skylarkbend.agreement.AgreementStatus;
import org.skylarkbend.agreement.AgreementTask;
import org.skylarkbend.base.Result;
import org.skylarkbend.control.log.ControlEntry;
import org.skylarkbend.control.log.ControlLog;
import org.skylarkbend.control.log.ControlStateMachine;
import org.skylarkbend.control.log.LogStatus;

/**
 * {@link ControlLog} backed by the agreement task of this process.
 *
 * @param agreement supplies the agreement task, which is created only when the process starts
 */
public record AgreementControlLog(Supplier<AgreementTask> agreement) implements ControlLog {
    @Override
    public Future<Result<byte[]>> propose(ControlEntry entry) {
        return agreement
                .get()
                .propose(entry.toBytes())
                .map(result -> result.flatMap(ControlStateMachine::decodeResult));
    }

    @Override
    public Future<Result<Long>> confirmLeadership() {
        return agreement.get().confirmLeadership();
    }

    @Override
    public Future<LogStatus> status() {
        return agreement.get().status().map(AgreementControlLog::statusOf);
    }

    private static LogStatus statusOf(AgreementStatus status) {
        List<LogStatus.Voter> voters =
                status.membership().voters().stream()
                        .map(id -> new LogStatus.Voter(id.vm(), Long.toHexString(id.number())))
                        .toList();
        return new LogStatus(status.term(), status.appliedIndex(), voters);
    }
}
