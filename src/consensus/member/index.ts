import { HostId, LogIndex, StoreId } from "../../ids/index.js";
import { Address } from "../../ports/index.js";

/** One replica in a configuration: a host together with the identity of its data folder. */
export interface Member {
    readonly host: HostId;
    readonly storeId: StoreId;
    readonly address: Address;
    /** A learner receives all entries but neither votes nor counts for a majority. */
    readonly role: "voter" | "learner";
    /** Index of the entry that added the member; 0 for the initial members. */
    readonly since: LogIndex;
}

/**
 * Members that replicate the log from some index on. Fields added by newer versions are preserved when it is changed.
 */
export interface Configuration {
    readonly members: readonly Member[];
    /**
     * Store ids of members that were removed for good: on request, or because their host has a newer data folder. They are
     * never admitted again; their hosts may rejoin with a new data folder.
     */
    readonly retired: readonly StoreId[];
    /** Number of changes so far, as counted by leaders of versions that know this field. */
    readonly version?: number;
}

/** Number of removed store ids that are kept. */
const MAX_RETIRED_COUNT = 100;

/** Returns the members that vote. */
export function findVoters(configuration: Configuration): Member[] {
    return configuration.members.filter(member => member.role === "voter");
}

/** Returns the member with a store id, if any. */
export function findMember(configuration: Configuration, storeId: StoreId): Member | undefined {
    return configuration.members.find(member => member.storeId === storeId);
}

/** Returns whether a store id belongs to a voter. */
export function isVoter(configuration: Configuration, storeId: StoreId): boolean {
    return findMember(configuration, storeId)?.role === "voter";
}

/** Returns the number of voters that form a majority. */
export function majoritySize(configuration: Configuration): number {
    return Math.floor(findVoters(configuration).length / 2) + 1;
}

/**
 * Returns the highest value that a majority of the voters has reached.
 *
 * @param configuration - Provides the voters.
 * @param valueOf - Returns the value that one voter has reached.
 * @returns 0 when there are no voters.
 * @example
 * reachedByMajority(configuration, voter => matched.get(voter.storeId) ?? 0);
 */
export function reachedByMajority(configuration: Configuration, valueOf: (voter: Member) => number): number {
    const values = findVoters(configuration).map(valueOf).sort((a, b) => b - a);
    return values[majoritySize(configuration) - 1] ?? 0;
}

/** Adds a learner and removes learners of the same host with an older data folder, since that folder is lost. */
export function addLearner(configuration: Configuration, learner: Member): Configuration {
    const replaced = configuration.members.filter(member => member.host === learner.host && member.role === "learner");
    const withoutReplaced = replaced.reduce((rest, member) => retireMember(rest, member.storeId), configuration);
    return { ...withoutReplaced, members: [...withoutReplaced.members, learner] };
}

/** Returns a configuration in which a learner is a voter. */
export function promoteLearner(configuration: Configuration, storeId: StoreId): Configuration {
    return updateMember(configuration, storeId, member => ({ ...member, role: "voter" }));
}

/** Returns a configuration in which a member has another address. */
export function updateMemberAddress(configuration: Configuration, storeId: StoreId, address: Address): Configuration {
    return updateMember(configuration, storeId, member => ({ ...member, address }));
}

/** Returns a configuration without a member, which may join again with the same data folder. */
export function removeMember(configuration: Configuration, storeId: StoreId): Configuration {
    return { ...configuration, members: configuration.members.filter(member => member.storeId !== storeId) };
}

/** Returns a configuration without a member, whose store id is never admitted again. */
export function retireMember(configuration: Configuration, storeId: StoreId): Configuration {
    const retired = [...configuration.retired, storeId].slice(-MAX_RETIRED_COUNT);
    return { ...removeMember(configuration, storeId), retired };
}

/**
 * Returns the earlier member of the same host with another data folder. It is dead, since a host has only one data
 * folder.
 */
export function findReplacedMember(configuration: Configuration, member: Member): Member | undefined {
    return configuration.members.find(other =>
        other.host === member.host && other.storeId !== member.storeId && other.since <= member.since
    );
}

function updateMember(
    configuration: Configuration,
    storeId: StoreId,
    change: (member: Member) => Member,
): Configuration {
    const members = configuration.members.map(member => member.storeId === storeId ? change(member) : member);
    return { ...configuration, members };
}
