package org.skylarkbend.agreement;

import java.util.Optional;

/**
 * The state of a member at one point in time.
 *
 * @param self the identity of the member
 * @param role its current role
 * @param term the newest term that it knows
 * @param leader the leader of that term, if known
 * @param membership the newest membership in its log, committed or not
 * @param appliedIndex the index of the last applied entry
 * @param leaderlessMilliseconds the time before the last election that this member won during which
 *     no other member can have led
 */
public record AgreementStatus(
        MemberId self,
        MemberRole role,
        long term,
        Optional<MemberId> leader,
        Membership membership,
        long appliedIndex,
        long leaderlessMilliseconds) {}
