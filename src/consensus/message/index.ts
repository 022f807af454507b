import { ClusterId, HostId, LogIndex, StoreId, Term } from "../../ids/index.js";
import { Address } from "../../ports/index.js";
import { Configuration } from "../member/index.js";
import { SilenceReport } from "../reportedSilences/index.js";

/** RPC methods that replicas call on each other. */
export const RpcMethod = {
    Vote: "consensus.vote",
    LeadershipStatus: "consensus.standing",
    Heartbeat: "consensus.heartbeat",
    Append: "consensus.append",
    Snapshot: "consensus.snapshot",
    BootstrapStatus: "consensus.status",
    Join: "consensus.join",
    Leave: "consensus.leave",
    TakeOver: "consensus.takeOver",
    ReadIndex: "consensus.readIndex",
} as const;

/**
 * Fields of every message between members. `to` identifies the data folder, not the host: a host that lost its folder
 * rejects messages meant for the lost one.
 */
export interface MemberMessage {
    readonly cluster: ClusterId;
    readonly from: StoreId;
    readonly to: StoreId;
    readonly term: Term;
}

/** Requests a vote. With `pre`, asks only whether a vote would be granted, which changes no state. */
export interface VoteRequest extends MemberMessage {
    readonly pre: boolean;
    /** Index of the last entry in the candidate's log. */
    readonly lastIndex: LogIndex;
    /** Term of that entry. */
    readonly lastTerm: Term;
    /** The leader that has handed over to the candidate; it relies on no promise made to it any more. */
    readonly releasedBy?: StoreId;
}

/** Reply to a vote or pre-vote request. */
export interface VoteReply {
    readonly term: Term;
    readonly granted: boolean;
}

/**
 * Sent after a restart to learn whether the receiver leads and may still rely on a promise that the sender made before
 * the restart.
 */
export interface LeadershipStatusRequest {
    readonly cluster: ClusterId;
    readonly host: HostId;
    /** Data folder of the intended receiver. */
    readonly to: StoreId;
}

/** Reply to a leadership status request. */
export type LeadershipStatusReply =
    | { readonly kind: "leads"; }
    | {
        readonly kind: "follows";
        /** Index of the entry that contains the receiver's newest configuration. */
        readonly configurationIndex: LogIndex;
    }
    /** The host now has a different data folder, so the process that used the requested one has ended. */
    | { readonly kind: "folder-lost"; };

/** Fields of every message from the leader. */
export interface LeaderMessage extends MemberMessage {
    readonly host: HostId;
}

/** Renews the lease. Answered without waiting for the disk. */
export interface HeartbeatRequest extends LeaderMessage {
    /** The leader's commit index. */
    readonly commit: LogIndex;
    /** Members that do not answer the leader, except for those that were silent for a moment only. */
    readonly silences?: readonly SilenceReport[];
}

/** Reply to a heartbeat. `ok` means that the sender renewed its promise to the leader. */
export interface HeartbeatReply {
    readonly term: Term;
    readonly ok: boolean;
}

/** Entries to append to a follower's log. */
export interface AppendRequest extends LeaderMessage {
    /** Index of the entry before the sent ones. */
    readonly prevIndex: LogIndex;
    /** Term of that entry. A follower whose entry has another term rejects the request. */
    readonly prevTerm: Term;
    /** The leader's commit index. */
    readonly commit: LogIndex;
    /** Entries after `prevIndex`, in order. */
    readonly entries: readonly WireEntry[];
}

/** One entry of an append request. Its index is `prevIndex` plus its position in the request, counted from 1. */
export type WireEntry = readonly [term: Term, payload: Uint8Array];

/** Reply to an append request, sent once the entries are synced to disk. */
export interface AppendReply {
    readonly term: Term;
    readonly ok: boolean;
    /** Index after which the leader should continue when the entries were rejected. */
    readonly lastIndex: LogIndex;
}

/** One chunk of an encoded snapshot. */
export interface SnapshotRequest extends LeaderMessage {
    /** Index of the last entry that the snapshot covers. */
    readonly index: LogIndex;
    /** Term of that entry. */
    readonly indexTerm: Term;
    readonly configuration: Configuration;
    /** Position of the chunk, in bytes. */
    readonly offset: number;
    /** Size of the whole encoded snapshot, in bytes. */
    readonly size: number;
    readonly bytes: Uint8Array;
}

/** Reply to a snapshot chunk. */
export interface SnapshotReply {
    readonly term: Term;
    readonly ok: boolean;
}

/**
 * Asks a host of the bootstrap list whether its data folder belongs to a cluster. Sent by a host whose folder does not.
 */
export interface BootstrapStatusRequest {
    readonly host: HostId;
    readonly storeId: StoreId;
    /** `IP:port` of the sender, for bootstrap lists that contain only addresses. */
    readonly address?: string;
}

/** Identity of a host's data folder, and the cluster that it belongs to. */
export interface BootstrapStatusReply {
    readonly host: HostId;
    readonly storeId: StoreId;
    /** Undefined while the host's data folder belongs to no cluster. */
    readonly cluster?: ClusterId;
    /** Initial configuration of that cluster. */
    readonly founding?: Configuration;
}

/** Asks the leader to add the sender as a member. */
export interface JoinRequest {
    readonly cluster: ClusterId;
    readonly host: HostId;
    readonly storeId: StoreId;
    readonly address: Address;
}

/** Result of a join request. */
export interface JoinReply {
    /**
     * `member`: the sender already is one. `added`: it was added as a learner. `busy`: it can't be added at the moment.
     * `retired`: its data folder was removed permanently.
     */
    readonly result: "member" | "added" | "busy" | "not-leader" | "retired";
    /** Address of the leader to ask instead. */
    readonly leader?: Address;
}

/** Asks the leader to find a successor for the sender, which is about to stop as planned. */
export interface LeaveRequest {
    readonly cluster: ClusterId;
    readonly storeId: StoreId;
}

/** Result of a leave request. */
export interface LeaveReply {
    /**
     * `left`: the sender is no member any more. `waiting`: a successor is taking its place. `no-successor`: nobody can, and it
     * stays a member. `not-leader`: ask another one.
     */
    readonly result: "left" | "waiting" | "no-successor" | "not-leader";
}

/** Sent by a leader that has stepped down: asks the receiver to campaign at once. */
export type TakeOverRequest = LeaderMessage;

/** Reply to a take-over request, once the election has ended. */
export interface TakeOverReply {
    readonly isLeader: boolean;
}

/** Index that a replica must have applied for an up-to-date read. */
export interface ReadIndexReply {
    /** Undefined when the receiver does not hold the lease. */
    readonly index?: LogIndex;
}
