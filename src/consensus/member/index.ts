import { HostId, LogIndex, StoreId } from "../../ids/index.js";
import { Address } from "../../ports/index.js";

/** One replica as the members' list names it: a host together with the identity of its data folder. */
export interface Member {
    readonly host: HostId;
    readonly storeId: StoreId;
    readonly address: Address;
    /** A learner gets all entries, and neither votes nor counts for a majority. */
    readonly role: "voter" | "learner";
    /** The index of the entry that added it; 0 for the first members. */
    readonly since: LogIndex;
}

/** Who replicates the log from some index on. Fields of newer versions are kept when it is changed. */
export interface Configuration {
    readonly members: readonly Member[];
    /** Identities that were removed. They never come back; their hosts may, with a new data folder. */
    readonly retired: readonly StoreId[];
}

/** How many removed identities are remembered. */
const RETIRED_KEPT = 100;

export function findVoters(configuration: Configuration): Member[] {
    return configuration.members.filter(member => member.role === "voter");
}

export function findMember(configuration: Configuration, storeId: StoreId): Member | undefined {
    return configuration.members.find(member => member.storeId === storeId);
}

export function isVoter(configuration: Configuration, storeId: StoreId): boolean {
    return findMember(configuration, storeId)?.role === "voter";
}

/** How many of the voters are a majority. */
export function majorityOf(configuration: Configuration): number {
    return Math.floor(findVoters(configuration).length / 2) + 1;
}

/**
 * The highest value that a majority of the voters has reached.
 *
 * @param configuration - The voters.
 * @param valueOf - What one voter has reached.
 * @returns 0 when there are no voters.
 * @example
 * reachedByMajority(configuration, voter => matched.get(voter.storeId) ?? 0);
 */
export function reachedByMajority(configuration: Configuration, valueOf: (voter: Member) => number): number {
    const values = findVoters(configuration).map(valueOf).sort((a, b) => b - a);
    return values[majorityOf(configuration) - 1] ?? 0;
}

/** Adds a learner; learners of the same host with an older data folder go, since that folder is gone. */
export function addLearner(configuration: Configuration, learner: Member): Configuration {
    const gone = configuration.members.filter(member => member.host === learner.host && member.role === "learner");
    const cleaned = gone.reduce((rest, member) => removeMember(rest, member.storeId), configuration);
    return { ...cleaned, members: [...cleaned.members, learner] };
}

export function promoteLearner(configuration: Configuration, storeId: StoreId): Configuration {
    return changeMember(configuration, storeId, member => ({ ...member, role: "voter" }));
}

export function moveMember(configuration: Configuration, storeId: StoreId, address: Address): Configuration {
    return changeMember(configuration, storeId, member => ({ ...member, address }));
}

export function removeMember(configuration: Configuration, storeId: StoreId): Configuration {
    const members = configuration.members.filter(member => member.storeId !== storeId);
    const retired = [...configuration.retired, storeId].slice(-RETIRED_KEPT);
    return { ...configuration, members, retired };
}

/** The voter of the same host with an older data folder: dead, since a host has one folder. */
export function findPredecessor(configuration: Configuration, member: Member): Member | undefined {
    return configuration.members.find(other =>
        other.host === member.host && other.storeId !== member.storeId && other.since <= member.since
    );
}

function changeMember(
    configuration: Configuration,
    storeId: StoreId,
    change: (member: Member) => Member,
): Configuration {
    const members = configuration.members.map(member => member.storeId === storeId ? change(member) : member);
    return { ...configuration, members };
}
