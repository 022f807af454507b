import { Configuration, findReplacedMember, findVoters, Member } from "../member/index.js";

/** What the leader knows of the members, beside the configuration. */
export interface MemberFacts {
    /** Desired number of voters. */
    readonly targetVoters: number;
    /** Voters that do not respond, the longest silent first. */
    readonly unresponsive: readonly Member[];
    /** Learners that have synced all committed entries. */
    readonly caughtUp: readonly Member[];
}

/** A change of one member. */
export type MemberChange =
    | { readonly kind: "promote"; readonly member: Member; }
    | {
        readonly kind: "remove";
        readonly member: Member;
        /** `superseded`: its host has a newer data folder. `unresponsive`: it gives way to a learner that is there. */
        readonly reason: "superseded" | "unresponsive";
        /** The learner that takes its place. */
        readonly replacedBy: Member;
    };

/**
 * Returns the next change that brings the voters closer to those wanted.
 *
 * A voter that is lost is removed before its successor is promoted. That costs nothing, since it contributes to no majority, and avoids a
 * configuration in which one more loss would stop the log.
 *
 * @returns The change, or undefined if there is none to make.
 * @example
 * planMemberChange(configuration, { targetVoters: 5, unresponsive: [lost], caughtUp: [spare] });
 */
export function planMemberChange(configuration: Configuration, facts: MemberFacts): MemberChange | undefined {
    return planSupersession(configuration, facts) ?? planReplacement(configuration, facts);
}

function planSupersession(configuration: Configuration, { caughtUp }: MemberFacts): MemberChange | undefined {
    for (const replacedBy of caughtUp) {
        const member = findReplacedMember(configuration, replacedBy);
        if (member) return { kind: "remove", member, reason: "superseded", replacedBy };
    }
    return undefined;
}

function planReplacement(configuration: Configuration, facts: MemberFacts): MemberChange | undefined {
    const { targetVoters, unresponsive: [lost], caughtUp: [learner] } = facts;
    if (!learner) return undefined;
    if (findVoters(configuration).length < targetVoters) return { kind: "promote", member: learner };
    return lost && { kind: "remove", member: lost, reason: "unresponsive", replacedBy: learner };
}
