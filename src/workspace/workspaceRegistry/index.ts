import type { ApplyContext } from "../../consensus/index.js";
import type { KeyHash, Revision, TemplateName, WorkspaceId } from "../../ids/index.js";
import { copyString, SharedValues } from "../_lib/sharedValues.js";
import type {
    ChangeRefusal,
    ChangeResult,
    ConfigChange,
    CreateWorkspaceChange,
    GrantKeyChange,
    LimitWorkspaceChange,
    PutTemplateChange,
    RemoveWorkspaceChange,
    WithdrawKeyChange,
} from "../change/index.js";
import { ChangeMemory, StoredChangeResult } from "../changeMemory/index.js";
import { KeyRecord, KeyRing, LastChange } from "../keyRing/index.js";
import { ParameterAssignment, resolveTemplate, TemplateSpec, WorkspaceProfile } from "../template/index.js";
import type { KeyView, WorkspaceView } from "../workspaceView/index.js";

/** A template and its last change. */
export interface TemplateRecord extends LastChange {
    readonly name: TemplateName;
    readonly spec: TemplateSpec;
}

/** A workspace and its last change. */
export interface WorkspaceRecord extends LastChange {
    readonly id: WorkspaceId;
    readonly template: TemplateName;
    readonly parameters: readonly ParameterAssignment[];
    /** Tokens per usage window; takes precedence over the template's limit. */
    readonly tokenLimit?: number;
}

/** The workspaces and keys whose views at the entries are outdated by a change. */
export interface AffectedViews {
    readonly workspaces: readonly WorkspaceId[];
    readonly keys: readonly KeyHash[];
}

/** The result of a change, and the views that it affects if it was applied. */
export interface ChangeOutcome {
    readonly result: ChangeResult;
    readonly touched?: AffectedViews;
}

/** Complete state of the registry. */
export interface RegistrySnapshot {
    readonly revision: number;
    readonly templates: readonly TemplateRecord[];
    readonly workspaces: readonly WorkspaceRecord[];
    readonly keys: readonly KeyRecord[];
    readonly changes: readonly StoredChangeResult[];
}

/**
 * Templates, workspaces and keys, and the validation of their changes, as deterministic state of the control log: the same changes in
 * the same order produce the same state.
 *
 * @example
 * const { result, touched } = registry.apply(change, context);
 */
export class WorkspaceRegistry {
    private readonly templates = new Map<TemplateName, TemplateRecord>();
    private readonly workspaces = new Map<WorkspaceId, WorkspaceRecord>();
    private readonly keys = new KeyRing();
    private readonly sharedValues = new SharedValues();
    private readonly changeResults = new ChangeMemory();
    /** Resolved profiles by template and parameters (as JSON): workspaces with the same parameters share one object. */
    private readonly profilesByTemplate = new Map<TemplateName, Map<string, WorkspaceProfile>>();
    private latestRevision = 0;

    /** Revision of the last applied change; 0 before the first. */
    get revision(): Revision {
        return this.latestRevision as Revision;
    }

    /** Applies a change. A resent change gets its first result again and has no effect. */
    apply(change: ConfigChange, context: ApplyContext): ChangeOutcome {
        const subject = describeSubject(change);
        const earlierResult = this.changeResults.find(change.changeId);
        if (earlierResult?.subject === subject) return { result: earlierResult.result };
        if (earlierResult) return refuse("change-id-reused", `the change id was used for ${earlierResult.subject}`);
        const outcome = this.applyNew(change, context);
        if (outcome.touched) this.latestRevision = context.index;
        this.changeResults.add({
            changeId: change.changeId,
            subject,
            result: outcome.result,
            at: context.proposedAt,
        });
        return outcome;
    }

    template(name: TemplateName): TemplateRecord | undefined {
        return this.templates.get(name);
    }

    workspace(id: WorkspaceId): WorkspaceRecord | undefined {
        return this.workspaces.get(id);
    }

    listTemplates(): readonly TemplateRecord[] {
        return [...this.templates.values()];
    }

    listWorkspaces(): readonly WorkspaceRecord[] {
        return [...this.workspaces.values()];
    }

    /** Lists the keys of a workspace, including withdrawn keys. */
    listKeys(workspace: WorkspaceId): readonly KeyRecord[] {
        return this.keys.list(workspace);
    }

    /** Returns a workspace as entries see it; undefined when it does not exist. */
    viewWorkspace(id: WorkspaceId): WorkspaceView | undefined {
        const record = this.workspaces.get(id);
        if (!record) return undefined;
        const profile = this.resolveProfile(record.template, record.parameters);
        const tokenLimit = record.tokenLimit ?? profile.tokenLimit;
        return { id, template: record.template, ...profile, ...(tokenLimit === undefined ? {} : { tokenLimit }) };
    }

    /** Returns a key as entries see it; undefined when it is withdrawn or was never granted. */
    viewKey(hash: KeyHash): KeyView | undefined {
        return this.keys.view(hash);
    }

    /** Returns all active keys, as entries see them. */
    viewKeys(): readonly KeyView[] {
        return this.keys.viewAll();
    }

    /** Returns a workspace's token limit per usage window; undefined when it has none. */
    tokenLimit(id: WorkspaceId): number | undefined {
        return this.viewWorkspace(id)?.tokenLimit;
    }

    snapshot(): RegistrySnapshot {
        return {
            revision: this.latestRevision,
            templates: this.listTemplates(),
            workspaces: this.listWorkspaces(),
            keys: this.keys.snapshot(),
            changes: this.changeResults.snapshot(),
        };
    }

    restore(snapshot: RegistrySnapshot): void {
        for (const map of [this.templates, this.workspaces, this.profilesByTemplate]) map.clear();
        this.latestRevision = snapshot.revision;
        for (const template of snapshot.templates) this.templates.set(template.name, template);
        for (const workspace of snapshot.workspaces) this.storeWorkspace(workspace);
        this.keys.restore(snapshot.keys.map(key => ({ ...key, workspace: this.canonicalId(key.workspace) })));
        this.changeResults.restore(snapshot.changes);
    }

    private applyNew(change: ConfigChange, context: ApplyContext): ChangeOutcome {
        switch (change.kind) {
            case "template.put":
                return this.putTemplate(change, context);
            case "workspace.create":
                return this.createWorkspace(change, context);
            case "workspace.limit":
                return this.limitWorkspace(change, context);
            case "workspace.remove":
                return this.removeWorkspace(change, context);
            case "key.grant":
                return this.grantKey(change, context);
            case "key.withdraw":
                return this.withdrawKey(change, context);
        }
    }

    private putTemplate(change: PutTemplateChange, context: ApplyContext): ChangeOutcome {
        const { name, spec } = change;
        const current = this.templates.get(name);
        if ((current?.revision ?? 0) !== change.base) return describeConflict(current, `template ${name}`);
        const users = [...this.workspaces.values()].filter(workspace => workspace.template === name);
        // Equal parameters are interned, so each set of parameters is validated once.
        const usersByParameters = new Map(users.map(workspace => [workspace.parameters, workspace]));
        for (const workspace of usersByParameters.values()) {
            const problem = resolveTemplate(spec, workspace.parameters).swap().toMaybe().extract();
            if (problem) return refuse("invalid", `workspace ${workspace.id}: ${problem.message}`);
        }
        this.templates.set(name, { name, spec, ...toLastChange(change, context) });
        this.profilesByTemplate.delete(name);
        return done(context, { workspaces: users.map(workspace => workspace.id), keys: [] });
    }

    private createWorkspace(change: CreateWorkspaceChange, context: ApplyContext): ChangeOutcome {
        const { id, template, parameters, tokenLimit } = change;
        const current = this.workspaces.get(id);
        if (current) return describeConflict(current, `workspace ${id}`);
        const source = this.templates.get(template);
        if (!source) return refuse("not-found", `there is no template ${template}`);
        const problem = resolveTemplate(source.spec, parameters).swap().toMaybe().extract();
        if (problem) return refuse("invalid", problem.message);
        const limit = tokenLimit === undefined ? {} : { tokenLimit };
        this.storeWorkspace({ id, template, parameters, ...limit, ...toLastChange(change, context) });
        return done(context, { workspaces: [id], keys: [] });
    }

    private limitWorkspace(change: LimitWorkspaceChange, context: ApplyContext): ChangeOutcome {
        const { id, tokenLimit } = change;
        const current = this.workspaces.get(id);
        if (!current || current.revision !== change.base) return describeConflict(current, `workspace ${id}`);
        const { template, parameters } = current;
        const limit = tokenLimit === undefined ? {} : { tokenLimit };
        this.storeWorkspace({ id, template, parameters, ...limit, ...toLastChange(change, context) });
        return done(context, { workspaces: [id], keys: [] });
    }

    private removeWorkspace(change: RemoveWorkspaceChange, context: ApplyContext): ChangeOutcome {
        const { id } = change;
        const current = this.workspaces.get(id);
        if (!current || current.revision !== change.base) return describeConflict(current, `workspace ${id}`);
        const active = this.listKeys(id).filter(key => key.withdrawnAt === undefined);
        for (const key of active) this.keys.withdraw(key, toLastChange(change, context), context.proposedAt);
        this.workspaces.delete(id);
        return done(context, { workspaces: [id], keys: active.map(key => key.hash) });
    }

    private grantKey(change: GrantKeyChange, context: ApplyContext): ChangeOutcome {
        const { keyId, hash, workspace } = change;
        if (!this.workspaces.has(workspace)) return refuse("not-found", `there is no workspace ${workspace}`);
        const existing = this.keys.findUsed(keyId, hash);
        if (existing?.withdrawnAt !== undefined) return refuse("withdrawn", `the key ${existing.id} was withdrawn`);
        if (existing) return refuse("exists", `the key ${existing.id} is there already`);
        this.keys.put({
            id: keyId,
            hash,
            workspace: this.canonicalId(workspace),
            grantedAt: context.proposedAt,
            ...toLastChange(change, context),
        });
        return done(context, { workspaces: [], keys: [hash] });
    }

    private withdrawKey(change: WithdrawKeyChange, context: ApplyContext): ChangeOutcome {
        const key = this.keys.find(change.keyId);
        if (!key) return refuse("not-found", `there is no key ${change.keyId}`);
        if (key.withdrawnAt !== undefined) return { result: { kind: "done", revision: key.revision } };
        this.keys.withdraw(key, toLastChange(change, context), context.proposedAt);
        return done(context, { workspaces: [], keys: [key.hash] });
    }

    private storeWorkspace(record: WorkspaceRecord): void {
        const id = copyString(record.id);
        this.workspaces.set(id, {
            ...record,
            id,
            changeId: copyString(record.changeId),
            template: this.sharedValues.intern(record.template),
            parameters: this.sharedValues.intern(record.parameters),
            operator: this.sharedValues.intern(record.operator),
        });
    }

    /** Returns the stored copy of a workspace id. Another copy may be a slice that keeps its log entry in memory. */
    private canonicalId(id: WorkspaceId): WorkspaceId {
        return this.workspaces.get(id)?.id ?? id;
    }

    private resolveProfile(name: TemplateName, parameters: readonly ParameterAssignment[]): WorkspaceProfile {
        const profiles = this.profilesByTemplate.get(name) ?? new Map<string, WorkspaceProfile>();
        this.profilesByTemplate.set(name, profiles);
        const parametersJson = JSON.stringify(parameters);
        const cached = profiles.get(parametersJson);
        if (cached) return cached;
        const profile = resolveTemplate(this.templates.get(name)!.spec, parameters).unsafeCoerce();
        profiles.set(parametersJson, profile);
        return profile;
    }
}

function describeSubject(change: ConfigChange): string {
    if (change.kind === "template.put") return `${change.kind} ${change.name} ${change.base}`;
    if (change.kind === "key.grant") return `${change.kind} ${change.keyId} ${change.hash}`;
    if (change.kind === "key.withdraw") return `${change.kind} ${change.keyId}`;
    return `${change.kind} ${change.id}`;
}

function toLastChange(change: ConfigChange, context: ApplyContext): LastChange {
    return {
        revision: context.index as number as Revision,
        operator: change.operator,
        changeId: change.changeId,
    };
}

function describeConflict(current: LastChange | undefined, item: string): ChangeOutcome {
    if (!current) return refuse("not-found", `there is no ${item}`);
    const { revision, operator, changeId } = current;
    return { result: { kind: "conflict", revision, winner: operator, winningChange: changeId } };
}

function refuse(reason: ChangeRefusal, message: string): ChangeOutcome {
    return { result: { kind: "refused", reason, message } };
}

function done(context: ApplyContext, touched: AffectedViews): ChangeOutcome {
    return { result: { kind: "done", revision: context.index as number as Revision }, touched };
}
