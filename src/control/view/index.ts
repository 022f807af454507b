import { KeyHash, Revision, WorkspaceId, ZoneId } from "../../ids/index.js";
import { PartView, QuarantinedRequest } from "../../quarantine/index.js";
import { FleetDocument } from "../../routing/index.js";
import { KeyView, WorkspaceView } from "../../workspace/index.js";

/** The properties shared by all workspaces of one template with equal parameters. */
export type ProfileView = Omit<WorkspaceView, "id" | "tokenLimit">;

/**
 * Workspaces and keys in columns: each profile is stored once, and a hash takes 32 bytes. This reduces the size of a full view of
 * 40,000 workspaces to a fraction, and the memory that its receiver needs.
 */
export interface PackedViews {
    readonly profiles: readonly ProfileView[];
    readonly ids: readonly WorkspaceId[];
    /** For each id, the index of its profile. */
    readonly profileOf: readonly number[];
    /** For each id, its token limit; -1 for no limit. */
    readonly tokenLimits: readonly number[];
    /** The keys' hashes, concatenated. */
    readonly hashes: Uint8Array;
    /** For each hash, the workspace to which the key gives access. */
    readonly workspaceOf: readonly WorkspaceId[];
}

/** The changes since a revision; with `full`, the complete view. */
export interface ViewChange {
    readonly full: boolean;
    readonly revision: Revision;
    readonly workspaces: readonly WorkspaceView[];
    readonly removedWorkspaces: readonly WorkspaceId[];
    readonly keys: readonly KeyView[];
    readonly withdrawnKeys: readonly KeyHash[];
    /** Replaces `workspaces` and `keys` for entries that support it. */
    readonly packed?: PackedViews;
    /** The fleet document, if it is newer than the requested revision. */
    readonly document?: FleetDocument;
    /** All evacuated zones, if they have changed since the requested revision. */
    readonly evacuatedZones?: readonly ZoneId[];
    /** All quarantined requests, if they have changed since the requested revision. */
    readonly quarantined?: readonly QuarantinedRequest[];
    /** All suspected and quarantined parts of prompts, if they have changed since the requested revision. */
    readonly parts?: PartView;
}

/** Peer method by which an entry pulls changes from the holder and renews its freshness lease. */
export const VIEW_PULL_METHOD = "view.pull";

/** An entry's request for the changes since `revision`: a long poll that waits up to `waitMs` for a change. */
export interface ViewPull {
    readonly host: string;
    readonly incarnation: string;
    readonly zone: string;
    /** `IP:port` of the entry's peer listener, by which other entries reach it. */
    readonly peerAddress: string;
    /** `IP:port` of the entry's listener for operators. */
    readonly adminAddress?: string;
    /** `IP:port` at which it sends requests to upstreams for hosts that have lost their paths; undefined: it sends none for others. */
    readonly relayAddress?: string;
    /** The revision that the entry uses; 0 for none. */
    readonly revision: number;
    /** Maximum wait for a change, in milliseconds. */
    readonly waitMs: number;
    /** The entry is about to stop: no new tickets should be sent to it. */
    readonly draining: boolean;
    /** It only owns queues of pools and serves no callers. */
    readonly ownsQueues?: boolean;
    /** The entry supports `ViewChange.packed`. */
    readonly takesPacked?: boolean;
    /** `entriesVersion` of the last reply: the holder omits the list of entries if it is unchanged. */
    readonly entriesVersion?: string;
    /** The entry supports `ViewPullReply.entriesChanged`. */
    readonly takesEntryChanges?: boolean;
}

/** Identifies one run of an entry process. */
export type EntryRunId = Pick<EntryView, "host" | "incarnation">;

/** An entry process as known to the holder from its pulls. */
export interface EntryView {
    readonly host: string;
    readonly incarnation: string;
    readonly zone: string;
    readonly peerAddress: string;
    readonly adminAddress?: string;
    readonly relayAddress?: string;
    readonly draining: boolean;
    /** It only owns queues of pools and serves no callers. */
    readonly ownsQueues?: boolean;
}

/** The holder's reply. The lease is counted from when the entry sent the pull. */
export interface ViewPullReply {
    readonly change?: ViewChange;
    /** Freshness lease of the view, in milliseconds. */
    readonly leaseMs: number;
    /** The live entries known to the holder; empty with `entriesUnchanged`. */
    readonly entries: readonly EntryView[];
    /** Version of the list of entries. */
    readonly entriesVersion?: string;
    /** `entries` holds only those changed since the version that the puller has, and `goneEntries` those that left. */
    readonly entriesChanged?: boolean;
    readonly goneEntries?: readonly EntryRunId[];
    /** The holder is new and may not have received a pull from every entry: entries missing from the list may still be live. */
    readonly entriesPartial?: boolean;
    /** The list is unchanged since the `entriesVersion` that the entry has. */
    readonly entriesUnchanged?: boolean;
    /** `IP:port` of the control processes that are members of the control log. */
    readonly controls?: readonly string[];
}
