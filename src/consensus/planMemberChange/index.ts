import { StoreId } from "../../ids/index.js";
import { Configuration, findReplacedMember, findVoters, Member } from "../member/index.js";

/** What the leader knows of the members, beside the configuration. */
export interface MemberFacts {
    /** Desired number of voters. */
    readonly targetVoters: number;
    /** Voters that do not respond, the longest silent first. */
    readonly unresponsive: readonly Member[];
    /** Learners that have not responded for so long that they are forgotten. */
    readonly lostLearners: readonly Member[];
    /** Learners that have synced all committed entries. */
    readonly caughtUp: readonly Member[];
    /** Members that are about to stop as planned. */
    readonly leaving: readonly Member[];
    /** The leader, which can't be removed while it leads. */
    readonly leader: StoreId;
}

/** A change of one member. */
export type MemberChange =
    | { readonly kind: "promote"; readonly member: Member; }
    | {
        readonly kind: "remove";
        readonly member: Member;
        /** `superseded`: its host has a newer data folder. `unresponsive`, `leaving`: it is not there, or soon won't be. */
        readonly reason: "superseded" | "unresponsive" | "leaving";
        /** The learner that takes its place; undefined if one has done so already, or nobody has to. */
        readonly replacedBy?: Member;
    };

/**
 * Returns the next change that brings the voters closer to those wanted.
 *
 * A voter that is lost is removed before its successor is promoted. That costs nothing, since it contributes to no majority, and avoids a
 * configuration in which one more loss would stop the log. A voter that is about to stop still contributes, so it is removed only after its
 * successor was promoted.
 *
 * @returns The change, or undefined if there is none to make.
 * @example
 * planMemberChange(configuration, { targetVoters: 5, unresponsive: [lost], caughtUp: [spare] });
 */
export function planMemberChange(configuration: Configuration, facts: MemberFacts): MemberChange | undefined {
    return planSupersession(configuration, facts) ?? planExcess(configuration, facts)
        ?? planReplacement(configuration, facts)
        ?? planForgetting(facts);
}

function planSupersession(configuration: Configuration, { caughtUp }: MemberFacts): MemberChange | undefined {
    for (const replacedBy of caughtUp) {
        const member = findReplacedMember(configuration, replacedBy);
        if (member) return { kind: "remove", member, reason: "superseded", replacedBy };
    }
    return undefined;
}

/** More voters than wanted: a successor was promoted while the voter that it replaces still ran. */
function planExcess(configuration: Configuration, facts: MemberFacts): MemberChange | undefined {
    const { targetVoters, unresponsive: [lost], leaving, leader } = facts;
    const voters = findVoters(configuration);
    if (voters.length <= targetVoters) return undefined;
    const leaver = leaving.find(member => member.storeId !== leader && voters.includes(member));
    if (leaver) return { kind: "remove", member: leaver, reason: "leaving" };
    return lost && { kind: "remove", member: lost, reason: "unresponsive" };
}

function planReplacement(configuration: Configuration, facts: MemberFacts): MemberChange | undefined {
    const { targetVoters, unresponsive: [lost], caughtUp, leaving } = facts;
    const learner = caughtUp.find(member => !leaving.includes(member));
    if (!learner) return undefined;
    const voters = findVoters(configuration);
    if (voters.length < targetVoters) return { kind: "promote", member: learner };
    if (lost) return { kind: "remove", member: lost, reason: "unresponsive", replacedBy: learner };
    const isVoterLeaving = leaving.some(member => voters.includes(member));
    return isVoterLeaving && voters.length === targetVoters ? { kind: "promote", member: learner } : undefined;
}

/** A learner that is gone for good would stay on the list of members, and be asked for by all hosts. */
function planForgetting({ lostLearners: [lost] }: MemberFacts): MemberChange | undefined {
    return lost && { kind: "remove", member: lost, reason: "unresponsive" };
}
