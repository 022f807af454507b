import { ClusterId, HostId, LogIndex, StoreId, Term } from "../../ids/index.js";
import { Address } from "../../ports/index.js";
import { Configuration } from "../member/index.js";

/** The methods that replicas answer to each other. */
export const Method = {
    Vote: "consensus.vote",
    Standing: "consensus.standing",
    Heartbeat: "consensus.heartbeat",
    Append: "consensus.append",
    Snapshot: "consensus.snapshot",
    Status: "consensus.status",
    Join: "consensus.join",
    ReadIndex: "consensus.readIndex",
} as const;

/**
 * What each message between members carries. `to` names the data folder, not the host: a host that lost its folder
 * refuses what was meant for the lost one.
 */
export interface MemberMessage {
    readonly cluster: ClusterId;
    readonly from: StoreId;
    readonly to: StoreId;
    readonly term: Term;
}

/** Asks for a vote; with `pre`, whether one would be given, which changes nothing. */
export interface VoteRequest extends MemberMessage {
    readonly pre: boolean;
    readonly lastIndex: LogIndex;
    readonly lastTerm: Term;
}

export interface VoteReply {
    readonly term: Term;
    readonly granted: boolean;
}

/** Asks, after a restart, whether the one asked may lead and count on what was promised to it before. */
export interface StandingRequest {
    readonly cluster: ClusterId;
    readonly host: HostId;
    /** The data folder that is meant. */
    readonly to: StoreId;
}

export type StandingReply =
    | { readonly kind: "leads"; }
    | {
        readonly kind: "follows";
        /** The index of the entry that the newest list of members is from. */
        readonly configurationIndex: LogIndex;
    }
    /** The host has another data folder now, so that the process with the one that is meant has ended. */
    | { readonly kind: "folder-lost"; };

/** What the leader sends. */
export interface LeaderMessage extends MemberMessage {
    readonly host: HostId;
}

/** Renews the lease; answered without waiting for the disk. */
export interface HeartbeatRequest extends LeaderMessage {
    readonly commit: LogIndex;
}

export interface HeartbeatReply {
    readonly term: Term;
    readonly ok: boolean;
}

export interface AppendRequest extends LeaderMessage {
    readonly prevIndex: LogIndex;
    readonly prevTerm: Term;
    readonly commit: LogIndex;
    /** What follows `prevIndex`, in order. */
    readonly entries: readonly WireEntry[];
}

/** The index follows from the place in the request. */
export type WireEntry = readonly [term: Term, payload: Uint8Array];

/** Answered once the entries are synced. */
export interface AppendReply {
    readonly term: Term;
    readonly ok: boolean;
    /** Where the leader should try next when the entries did not fit. */
    readonly lastIndex: LogIndex;
}

/** One chunk of an encoded snapshot. */
export interface SnapshotRequest extends LeaderMessage {
    readonly index: LogIndex;
    readonly indexTerm: Term;
    readonly configuration: Configuration;
    readonly offset: number;
    readonly size: number;
    readonly bytes: Uint8Array;
}

export interface SnapshotReply {
    readonly term: Term;
    readonly ok: boolean;
}

/** Asks a host of the settings' list whether it has a history. Comes from a host without one. */
export interface StatusRequest {
    readonly host: HostId;
    readonly storeId: StoreId;
    /** `IP:port` of the sender, for lists that name addresses only. */
    readonly address?: string;
}

export interface StatusReply {
    readonly host: HostId;
    readonly storeId: StoreId;
    /** Undefined while the host has no history. */
    readonly cluster?: ClusterId;
    readonly founding?: Configuration;
}

/** Asks the leader to make the sender a member. */
export interface JoinRequest {
    readonly cluster: ClusterId;
    readonly host: HostId;
    readonly storeId: StoreId;
    readonly address: Address;
}

export interface JoinReply {
    readonly result: "member" | "added" | "busy" | "not-leader" | "retired";
    /** Whom to ask instead. */
    readonly leader?: Address;
}

export interface ReadIndexReply {
    /** Undefined when the one asked does not hold the lease. */
    readonly index?: LogIndex;
}
