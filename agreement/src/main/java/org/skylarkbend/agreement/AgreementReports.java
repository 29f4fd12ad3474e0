package org.skylarkbend.agreement;

import com.codahale.metrics.MetricRegistry;
import java.util.Optional;
import java.util.function.ToIntFunction;
import org.skylarkbend.agreement.AgreementEffect.LossMarginChanged;
import org.skylarkbend.agreement.AgreementEffect.MemberChangeDecided;
import org.skylarkbend.agreement.AgreementEffect.MembershipChanged;
import org.skylarkbend.agreement.AgreementEffect.RoleChanged;
import org.skylarkbend.agreement.ChangeReason.Replaced;
import org.skylarkbend.agreement.ChangeReason.Silent;
import org.skylarkbend.base.StructuredLog;

/** The log lines and metrics of one member. Its methods are called by one task. */
final class AgreementReports {
    private static final StructuredLog LOG = StructuredLog.of(AgreementTask.class);

    private volatile Optional<LossMargin> mMargin = Optional.empty();

    /**
     * Registers the gauges. They have a value only on the leader, since no other member knows who
     * responds.
     */
    AgreementReports(MetricRegistry metrics) {
        metrics.gauge("agreement_voters", () -> () -> leaderValue(LossMargin::voters));
        metrics.gauge("agreement_live_voters", () -> () -> leaderValue(LossMargin::liveVoters));
        metrics.gauge(
                "agreement_further_losses", () -> () -> leaderValue(LossMargin::furtherLosses));
    }

    void roleChanged(RoleChanged changed) {
        if (changed.role() != MemberRole.LEADER) {
            mMargin = Optional.empty();
        }
        LOG.info(
                "agreement.role",
                "role",
                changed.role(),
                "term",
                changed.term(),
                "leader",
                changed.leader().map(MemberId::toString).orElse("none"));
    }

    void membershipChanged(MembershipChanged changed) {
        LOG.info(
                "agreement.members",
                "voters",
                changed.current().voters(),
                "quorum",
                changed.current().quorum(),
                "added",
                changed.current().notIn(changed.previous()),
                "removed",
                changed.previous().notIn(changed.current()),
                "index",
                changed.index());
    }

    void memberChangeDecided(MemberChangeDecided decided) {
        LOG.info(
                decided.added() ? "agreement.member.added" : "agreement.member.removed",
                "member",
                decided.member(),
                "reason",
                textOf(decided.reason()),
                "voters",
                decided.voters(),
                "intended_voters",
                decided.intendedVoters());
    }

    void lossMarginChanged(LossMarginChanged changed) {
        LossMargin margin = changed.margin();
        mMargin = Optional.of(margin);
        if (!changed.isNews()) {
            return;
        }
        Object[] fields = {
            "further_losses", margin.furtherLosses(),
            "tolerated_losses", margin.toleratedLosses(),
            "voters", margin.voters(),
            "live_voters", margin.liveVoters(),
            "quorum", margin.quorum(),
            "silent", margin.silent()
        };
        if (margin.isLow()) {
            LOG.warn("agreement.margin.low", fields);
        } else {
            LOG.info("agreement.margin.sound", fields);
        }
    }

    private Integer leaderValue(ToIntFunction<LossMargin> value) {
        return mMargin.map(value::applyAsInt).orElse(null);
    }

    private static String textOf(ChangeReason reason) {
        if (reason instanceof Silent silent) {
            return "silent for "
                    + silent.silentMilliseconds()
                    + " ms of "
                    + silent.allowedMilliseconds();
        }
        if (reason instanceof Replaced replaced) {
            return "replaced by " + replaced.successor();
        }
        return reason instanceof ChangeReason.Leaving ? "leaving" : "joined";
    }
}
