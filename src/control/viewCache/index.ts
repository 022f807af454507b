import { KeyHash, PartId, RequestFingerprint, Revision, WorkspaceId, ZoneId } from "../../ids/index.js";
import { PartView, QuarantinedPart, QuarantinedRequest } from "../../quarantine/index.js";
import { RouteTable } from "../../routing/index.js";
import { WorkspaceView } from "../../workspace/index.js";
import { HASH_BYTES, NO_LIMIT, packChange, packHash } from "../packedView/index.js";
import { PackedViews, ProfileView, ViewChange } from "../view/index.js";

/** Maximum size of the profile table; beyond it the table is cleared, while existing workspaces keep their shared profiles. */
const MAX_SHARED_PROFILES = 4_096;

/** Suspected and quarantined parts of prompts, for look-ups. */
export interface CachedParts {
    readonly suspects: ReadonlySet<PartId>;
    readonly quarantined: ReadonlyMap<PartId, QuarantinedPart>;
}

/**
 * An entry's view of workspaces, keys, fleet document, zones and quarantined requests. A workspace and a key take one map entry each
 * and profiles are shared, so that 40,000 workspaces fit into a process's memory beside everything else.
 *
 * @example
 * const workspace = cache.findByKey(hashKey(token));
 */
export class ViewCache {
    private workspaces = new Map<WorkspaceId, ProfileView>();
    private tokenLimits = new Map<WorkspaceId, number>();
    private keys = new Map<string, WorkspaceId>();
    private readonly sharedProfiles = new Map<string, ProfileView>();
    private latestRevision = 0;
    private routeTable: RouteTable | undefined;
    private evacuated: readonly ZoneId[] = [];
    private quarantinedRequests: ReadonlyMap<RequestFingerprint, QuarantinedRequest> = new Map();

    private cachedParts: CachedParts = { suspects: new Set(), quarantined: new Map() };

    /** Revision of the view; 0 before the first one. */
    get revision(): Revision {
        return this.latestRevision as Revision;
    }

    /** Routes of the fleet document; undefined before the first document. */
    get routes(): RouteTable | undefined {
        return this.routeTable;
    }

    /** Evacuated zones, whose upstreams get no work. */
    get evacuatedZones(): readonly ZoneId[] {
        return this.evacuated;
    }

    /** Quarantined requests, which must not run, by fingerprint. */
    get quarantined(): ReadonlyMap<RequestFingerprint, QuarantinedRequest> {
        return this.quarantinedRequests;
    }

    /** Parts of prompts that are suspected to crash upstreams, and those that are quarantined for it. */
    get parts(): CachedParts {
        return this.cachedParts;
    }

    get workspaceCount(): number {
        return this.workspaces.size;
    }

    get keyCount(): number {
        return this.keys.size;
    }

    /**
     * Applies a change. A change of a lower revision is dropped, so that a reply delayed in the network can't restore a withdrawn key.
     *
     * @returns Whether it was applied.
     */
    apply(change: ViewChange): boolean {
        if (change.revision < this.latestRevision) return false;
        if (change.full) this.clear();
        for (const id of change.removedWorkspaces) this.removeWorkspace(id);
        for (const hash of change.withdrawnKeys) this.keys.delete(packHash(hash));
        const packed = change.packed ?? packChange(change).packed!;
        this.storeWorkspaces(packed);
        this.storeKeys(packed);
        if (change.document) this.routeTable = new RouteTable(change.document);
        if (change.evacuatedZones) this.evacuated = change.evacuatedZones;
        if (change.quarantined) this.quarantinedRequests = mapByFingerprint(change.quarantined);
        if (change.parts) this.cachedParts = cacheParts(change.parts);
        this.latestRevision = change.revision;
        return true;
    }

    /** Returns the workspace of the key with this hash; undefined when the key is unknown or withdrawn. */
    findByKey(hash: KeyHash): WorkspaceView | undefined {
        const id = this.keys.get(packHash(hash));
        return id === undefined ? undefined : this.findWorkspace(id);
    }

    findWorkspace(id: WorkspaceId): WorkspaceView | undefined {
        const profile = this.workspaces.get(id);
        const tokenLimit = this.tokenLimits.get(id);
        return profile && { id, ...profile, ...(tokenLimit === undefined ? {} : { tokenLimit }) };
    }

    private clear(): void {
        this.workspaces = new Map();
        this.tokenLimits = new Map();
        this.keys = new Map();
    }

    private removeWorkspace(id: WorkspaceId): void {
        this.workspaces.delete(id);
        this.tokenLimits.delete(id);
    }

    private storeWorkspaces({ profiles, ids, profileOf, tokenLimits }: PackedViews): void {
        const interned = profiles.map(profile => this.internProfile(profile));
        ids.forEach((id, index) => {
            this.workspaces.set(id, interned[profileOf[index]]);
            if (tokenLimits[index] === NO_LIMIT) this.tokenLimits.delete(id);
            else this.tokenLimits.set(id, tokenLimits[index]);
        });
    }

    private storeKeys({ hashes, workspaceOf }: PackedViews): void {
        const bytes = Buffer.from(hashes.buffer, hashes.byteOffset, hashes.length);
        workspaceOf.forEach((workspace, index) => {
            this.keys.set(bytes.toString("latin1", index * HASH_BYTES, (index + 1) * HASH_BYTES), workspace);
        });
    }

    private internProfile(profile: ProfileView): ProfileView {
        if (this.sharedProfiles.size > MAX_SHARED_PROFILES) this.sharedProfiles.clear();
        const text = JSON.stringify(profile);
        const known = this.sharedProfiles.get(text);
        if (known) return known;
        this.sharedProfiles.set(text, profile);
        return profile;
    }
}

function mapByFingerprint(requests: readonly QuarantinedRequest[]): Map<RequestFingerprint, QuarantinedRequest> {
    return new Map(requests.map(each => [each.fingerprint, each]));
}

function cacheParts({ suspects, quarantined }: PartView): CachedParts {
    return { suspects: new Set(suspects), quarantined: new Map(quarantined.map(each => [each.part, each])) };
}
