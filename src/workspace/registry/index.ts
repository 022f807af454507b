import type { ApplyContext } from "../../consensus/index.js";
import type { KeyHash, Revision, TemplateName, WorkspaceId } from "../../ids/index.js";
import { copyText, SharedValues } from "../_lib/sharedValues.js";
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
import { ChangeMemory, RememberedChange } from "../changeMemory/index.js";
import { Authorship, KeyRecord, KeyRing } from "../keyRing/index.js";
import { ParameterAssignment, resolveTemplate, TemplateSpec, WorkspaceProfile } from "../template/index.js";
import type { KeyView, WorkspaceView } from "../workspaceView/index.js";

export interface TemplateRecord extends Authorship {
    readonly name: TemplateName;
    readonly spec: TemplateSpec;
}

export interface WorkspaceRecord extends Authorship {
    readonly id: WorkspaceId;
    readonly template: TemplateName;
    readonly parameters: readonly ParameterAssignment[];
    /** Goes before the template's limit. */
    readonly tokenLimit?: number;
}

/** What a change made entries' views differ in. */
export interface TouchedViews {
    readonly workspaces: readonly WorkspaceId[];
    readonly keys: readonly KeyHash[];
}

/** A change's answer, and what it touched when it was done. */
export interface ChangeOutcome {
    readonly result: ChangeResult;
    readonly touched?: TouchedViews;
}

/** The registry's whole state. */
export interface RegistrySnapshot {
    readonly revision: number;
    readonly templates: readonly TemplateRecord[];
    readonly workspaces: readonly WorkspaceRecord[];
    readonly keys: readonly KeyRecord[];
    readonly changes: readonly RememberedChange[];
}

/**
 * Templates, workspaces and keys, with the rules of their changes. Equal changes in an equal order give equal states.
 *
 * @example
 * const { result, touched } = registry.apply(change, context);
 */
export class WorkspaceRegistry {
    private readonly templates = new Map<TemplateName, TemplateRecord>();
    private readonly workspaces = new Map<WorkspaceId, WorkspaceRecord>();
    private readonly keys = new KeyRing();
    private readonly shared = new SharedValues();
    private readonly memory = new ChangeMemory();
    /** Resolved profiles by template and parameters: workspaces with the same ones share one object. */
    private readonly profiles = new Map<TemplateName, Map<string, WorkspaceProfile>>();
    private latest = 0;

    /** The revision of the last change that was done; 0 before the first. */
    get revision(): Revision {
        return this.latest as Revision;
    }

    /** Takes in a change; one that was answered before gets that answer again and touches nothing. */
    apply(change: ConfigChange, context: ApplyContext): ChangeOutcome {
        const subject = describeSubject(change);
        const earlier = this.memory.find(change.changeId);
        if (earlier?.subject === subject) return { result: earlier.result };
        if (earlier) return refuse("change-id-reused", `the change id was used for ${earlier.subject}`);
        const outcome = this.applyNew(change, context);
        if (outcome.touched) this.latest = context.index;
        this.memory.remember({
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

    /** The keys of a workspace, withdrawn ones too. */
    listKeys(workspace: WorkspaceId): readonly KeyRecord[] {
        return this.keys.list(workspace);
    }

    /** A workspace as entries see it; undefined when it is not there. */
    viewWorkspace(id: WorkspaceId): WorkspaceView | undefined {
        const record = this.workspaces.get(id);
        if (!record) return undefined;
        const profile = this.profileOf(record.template, record.parameters);
        const tokenLimit = record.tokenLimit ?? profile.tokenLimit;
        return { id, template: record.template, ...profile, ...(tokenLimit === undefined ? {} : { tokenLimit }) };
    }

    /** A key as entries see it; undefined when it is withdrawn or was never granted. */
    viewKey(hash: KeyHash): KeyView | undefined {
        return this.keys.view(hash);
    }

    /** All keys in force, as entries see them. */
    viewKeys(): readonly KeyView[] {
        return this.keys.viewAll();
    }

    /** A workspace's token limit for one usage window; undefined when it has none. */
    tokenLimit(id: WorkspaceId): number | undefined {
        return this.viewWorkspace(id)?.tokenLimit;
    }

    snapshot(): RegistrySnapshot {
        return {
            revision: this.latest,
            templates: this.listTemplates(),
            workspaces: this.listWorkspaces(),
            keys: this.keys.snapshot(),
            changes: this.memory.snapshot(),
        };
    }

    restore(snapshot: RegistrySnapshot): void {
        for (const map of [this.templates, this.workspaces, this.profiles]) map.clear();
        this.latest = snapshot.revision;
        for (const template of snapshot.templates) this.templates.set(template.name, template);
        for (const workspace of snapshot.workspaces) this.keepWorkspace(workspace);
        this.keys.restore(snapshot.keys.map(key => ({ ...key, workspace: this.ownId(key.workspace) })));
        this.memory.restore(snapshot.changes);
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
        // Equal parameters are shared, so each set of them is tried once.
        const examples = new Map(users.map(workspace => [workspace.parameters, workspace]));
        for (const workspace of examples.values()) {
            const problem = resolveTemplate(spec, workspace.parameters).swap().toMaybe().extract();
            if (problem) return refuse("invalid", `workspace ${workspace.id}: ${problem.message}`);
        }
        this.templates.set(name, { name, spec, ...authorOf(change, context) });
        this.profiles.delete(name);
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
        this.keepWorkspace({ id, template, parameters, ...limit, ...authorOf(change, context) });
        return done(context, { workspaces: [id], keys: [] });
    }

    private limitWorkspace(change: LimitWorkspaceChange, context: ApplyContext): ChangeOutcome {
        const { id, tokenLimit } = change;
        const current = this.workspaces.get(id);
        if (!current || current.revision !== change.base) return describeConflict(current, `workspace ${id}`);
        const { template, parameters } = current;
        const limit = tokenLimit === undefined ? {} : { tokenLimit };
        this.keepWorkspace({ id, template, parameters, ...limit, ...authorOf(change, context) });
        return done(context, { workspaces: [id], keys: [] });
    }

    private removeWorkspace(change: RemoveWorkspaceChange, context: ApplyContext): ChangeOutcome {
        const { id } = change;
        const current = this.workspaces.get(id);
        if (!current || current.revision !== change.base) return describeConflict(current, `workspace ${id}`);
        const active = this.listKeys(id).filter(key => key.withdrawnAt === undefined);
        for (const key of active) this.keys.withdraw(key, authorOf(change, context), context.proposedAt);
        this.workspaces.delete(id);
        return done(context, { workspaces: [id], keys: active.map(key => key.hash) });
    }

    private grantKey(change: GrantKeyChange, context: ApplyContext): ChangeOutcome {
        const { keyId, hash, workspace } = change;
        if (!this.workspaces.has(workspace)) return refuse("not-found", `there is no workspace ${workspace}`);
        const earlier = this.keys.findTaken(keyId, hash);
        if (earlier?.withdrawnAt !== undefined) return refuse("withdrawn", `the key ${earlier.id} was withdrawn`);
        if (earlier) return refuse("exists", `the key ${earlier.id} is there already`);
        this.keys.keep({
            id: keyId,
            hash,
            workspace: this.ownId(workspace),
            grantedAt: context.proposedAt,
            ...authorOf(change, context),
        });
        return done(context, { workspaces: [], keys: [hash] });
    }

    private withdrawKey(change: WithdrawKeyChange, context: ApplyContext): ChangeOutcome {
        const key = this.keys.find(change.keyId);
        if (!key) return refuse("not-found", `there is no key ${change.keyId}`);
        if (key.withdrawnAt !== undefined) return { result: { kind: "done", revision: key.revision } };
        this.keys.withdraw(key, authorOf(change, context), context.proposedAt);
        return done(context, { workspaces: [], keys: [key.hash] });
    }

    private keepWorkspace(record: WorkspaceRecord): void {
        const id = copyText(record.id);
        this.workspaces.set(id, {
            ...record,
            id,
            changeId: copyText(record.changeId),
            template: this.shared.share(record.template),
            parameters: this.shared.share(record.parameters),
            operator: this.shared.share(record.operator),
        });
    }

    /** The workspace's own copy of its id: a key that holds another keeps its log entry in memory. */
    private ownId(id: WorkspaceId): WorkspaceId {
        return this.workspaces.get(id)?.id ?? id;
    }

    private profileOf(name: TemplateName, parameters: readonly ParameterAssignment[]): WorkspaceProfile {
        const profiles = this.profiles.get(name) ?? new Map<string, WorkspaceProfile>();
        this.profiles.set(name, profiles);
        const signature = JSON.stringify(parameters);
        const known = profiles.get(signature);
        if (known) return known;
        const profile = resolveTemplate(this.templates.get(name)!.spec, parameters).unsafeCoerce();
        profiles.set(signature, profile);
        return profile;
    }
}

function describeSubject(change: ConfigChange): string {
    if (change.kind === "template.put") return `${change.kind} ${change.name} ${change.base}`;
    if (change.kind === "key.grant") return `${change.kind} ${change.keyId} ${change.hash}`;
    if (change.kind === "key.withdraw") return `${change.kind} ${change.keyId}`;
    return `${change.kind} ${change.id}`;
}

function authorOf(change: ConfigChange, context: ApplyContext): Authorship {
    return {
        revision: context.index as number as Revision,
        operator: change.operator,
        changeId: change.changeId,
    };
}

function describeConflict(current: Authorship | undefined, what: string): ChangeOutcome {
    if (!current) return refuse("not-found", `there is no ${what}`);
    const { revision, operator, changeId } = current;
    return { result: { kind: "conflict", revision, winner: operator, winningChange: changeId } };
}

function refuse(reason: ChangeRefusal, message: string): ChangeOutcome {
    return { result: { kind: "refused", reason, message } };
}

function done(context: ApplyContext, touched: TouchedViews): ChangeOutcome {
    return { result: { kind: "done", revision: context.index as number as Revision }, touched };
}
