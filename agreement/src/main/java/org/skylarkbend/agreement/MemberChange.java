package org.skylarkbend.agreement;

/**
 * A change of one member that a leader has decided on.
 *
 * @param member the member that is added or removed
 * @param next the membership after the change
 * @param reason why it is added or removed
 */
record MemberChange(MemberId member, Membership next, ChangeReason reason) {}
