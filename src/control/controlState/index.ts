import { ApplyContext, StateMachine } from "../../consensus/index.js";
import { Revision } from "../../ids/index.js";
import { CallLedger, CallRecord, CloseCallsResult, FinishCallCommand } from "../../ledger/index.js";
import { OrderIntentCommand, OrderLedger, OrderOutcomeCommand, OrderSnapshot } from "../../order/index.js";
import {
    LiftPartCommand,
    LiftQuarantineCommand,
    PartCommand,
    PartResult,
    PartTable,
    PartTableSnapshot,
    QuarantineCommand,
    QuarantineResult,
    QuarantineSnapshot,
    QuarantineTable,
} from "../../quarantine/index.js";
import { DocumentStore, ReplaceDocumentCommand, ReplaceDocumentResult, StoredDocument } from "../../routing/index.js";
import {
    CloseStartsCommand,
    CloseUsageCommand,
    RecordStartsCommand,
    ReserveCommand,
    RunStarts,
    RunStartWindows,
    SpendLedger,
    SpendSnapshot,
    StartLedger,
    StartsReportedCommand,
    StartsSnapshot,
    UsageLedger,
    UsageReportedCommand,
    UsageSnapshot,
} from "../../usage/index.js";
import { ChangeOutcome, ConfigChange, RegistrySnapshot, WorkspaceRegistry } from "../../workspace/index.js";
import { EvacuationTable, ZoneCommand, ZoneResult, ZoneSnapshot } from "../../zone/index.js";
import { AnnounceHolderCommand, ControlAddress, ControlDirectory } from "../controlDirectory/index.js";
import { EntryCommand } from "../entryCommand/index.js";
import { ViewChange } from "../view/index.js";
import { ViewHistory } from "../viewHistory/index.js";

/**
 * Versions of the snapshot layout: without zones and quarantine, with zones only, with both, and with quarantined parts of prompts. Fields may be added without raising the
 * version.
 */
const PLAIN_VERSION = 1;
const ZONES_VERSION = 2;
const QUARANTINE_VERSION = 3;
const PARTS_VERSION = 4;
/** Minimum program versions that support zone commands and quarantine commands. */
const ZONES_ENTRY_VERSION = 2;
const QUARANTINE_ENTRY_VERSION = 3;
const PARTS_ENTRY_VERSION = 4;

/** A command in the control log. */
export type ControlCommand =
    | EntryCommand
    | ConfigChange
    | CloseUsageCommand
    | UsageReportedCommand
    | OrderIntentCommand
    | OrderOutcomeCommand
    | AnnounceHolderCommand
    | ReplaceDocumentCommand
    | CloseStartsCommand
    | RecordStartsCommand
    | StartsReportedCommand
    | ZoneCommand
    | LiftQuarantineCommand
    | LiftPartCommand;

/**
 * Result of a command whose kind this version does not know. Each new kind gets its own entry version, so that older replicas stop at it:
 * replicas that skip a command would diverge from those that apply it.
 */
export interface UnsupportedResult {
    readonly state: "unsupported";
}

interface ControlSnapshot {
    readonly version: number;
    readonly registry: RegistrySnapshot;
    readonly calls: readonly CallRecord[];
    readonly usage: UsageSnapshot;
    readonly spend: SpendSnapshot;
    readonly orders: OrderSnapshot;
    /** Missing in snapshots of older versions. */
    readonly directory?: readonly ControlAddress[];
    /** Missing while there is no document, and in snapshots of older versions. */
    readonly document?: StoredDocument;
    /** Missing in snapshots of older versions. */
    readonly starts?: StartsSnapshot;
    /** Missing in snapshots of older versions. */
    readonly openStarts?: readonly RunStartWindows[];
    /** Missing in snapshots of older versions. */
    readonly zones?: ZoneSnapshot;
    /** Missing in snapshots of older versions. */
    readonly quarantine?: QuarantineSnapshot;
    /** Missing in snapshots of older versions. */
    readonly parts?: PartTableSnapshot;
}

/**
 * State machine of the control log: the state replicated to all control processes.
 *
 * @example
 * const state = new ControlState();
 * const log = await ReplicatedLog.open({ state, ...options });
 */
export class ControlState extends StateMachine {
    readonly registry = new WorkspaceRegistry();
    readonly ledger = new CallLedger();
    readonly usage = new UsageLedger();
    readonly spend = new SpendLedger();
    readonly orders = new OrderLedger();
    readonly directory = new ControlDirectory();
    readonly documents = new DocumentStore();
    readonly starts = new StartLedger();
    /** Recorded counts of request starts in windows that are not closed. */
    readonly openStarts = new RunStarts();
    readonly zones = new EvacuationTable();
    /** Quarantined requests, which have crashed upstreams. */
    readonly quarantine = new QuarantineTable();
    /** Parts of prompts that are suspected to have crashed upstreams, or quarantined for it. */
    readonly parts = new PartTable();
    private readonly history = new ViewHistory();
    private readonly listeners = new Set<() => void>();

    /** Revision of the entries' view: workspaces, keys, fleet document, zones and quarantined requests. */
    get revision(): Revision {
        const revisions = [this.registry, this.documents, this.zones, this.quarantine, this.parts];
        return Math.max(...revisions.map(({ revision }) => revision)) as Revision;
    }

    apply(command: unknown, context: ApplyContext): unknown {
        return this.applyCommand(command as ControlCommand, context);
    }

    override entryVersionOf(command: unknown): number {
        const { kind } = command as ControlCommand;
        if (kind === "zone.evacuate" || kind === "zone.restore") return ZONES_ENTRY_VERSION;
        if (kind === "crash.note" || kind === "quarantine.lift") return QUARANTINE_ENTRY_VERSION;
        if (kind.startsWith("parts.")) return PARTS_ENTRY_VERSION;
        return super.entryVersionOf(command);
    }

    /** Returns the changes of the view since a revision; the full view when the history doesn't go back that far. */
    changeSince(revision: number): ViewChange {
        const { registry, documents, zones, quarantine, parts } = this;
        const change = this.history.changeSince(Math.min(revision, registry.revision), registry);
        const isNewDocument = documents.revision > revision;
        const document = isNewDocument ? { document: documents.current!.document } : {};
        const evacuated = zones.revision > revision ? { evacuatedZones: zones.list().map(({ zone }) => zone) } : {};
        const quarantined = quarantine.revision > revision ? { quarantined: quarantine.list() } : {};
        const partView = parts.revision > revision ? { parts: parts.view() } : {};
        return { ...change, ...document, ...evacuated, ...quarantined, ...partView, revision: this.revision };
    }

    /** Registers a listener for changes of the revision; returns a function that removes it. */
    onRevision(listener: () => void): () => void {
        this.listeners.add(listener);
        return () => this.listeners.delete(listener);
    }

    snapshot(): unknown {
        return {
            version: this.snapshotVersion(),
            registry: this.registry.snapshot(),
            calls: this.ledger.snapshot(),
            usage: this.usage.snapshot(),
            spend: this.spend.snapshot(),
            orders: this.orders.snapshot(),
            directory: this.directory.snapshot(),
            document: this.documents.snapshot(),
            starts: this.starts.snapshot(),
            openStarts: this.openStarts.list(),
            zones: this.zones.snapshot(),
            quarantine: this.quarantine.snapshot(),
            parts: this.parts.snapshot(),
        } satisfies ControlSnapshot;
    }

    /** @throws Error when the snapshot's layout is newer than this version supports. */
    restore(snapshot: unknown): void {
        const { version, registry, calls, usage, spend, orders, ...optionalParts } = snapshot as ControlSnapshot;
        if (version > PARTS_VERSION) throw new Error(`unsupported snapshot version ${version}`);
        this.registry.restore(registry);
        this.ledger.restore(calls);
        this.usage.restore(usage);
        this.spend.restore(spend);
        this.orders.restore(orders);
        this.directory.restore(optionalParts.directory ?? []);
        this.documents.restore(optionalParts.document);
        if (optionalParts.starts) this.starts.restore(optionalParts.starts);
        this.openStarts.clear();
        this.openStarts.mergeAll(optionalParts.openStarts ?? []);
        this.zones.restore(optionalParts.zones);
        this.quarantine.restore(optionalParts.quarantine);
        this.parts.restore(optionalParts.parts);
        this.history.restart(this.registry.revision);
        this.notifyListeners();
    }

    private snapshotVersion(): number {
        if (!this.parts.isEmpty) return PARTS_VERSION;
        if (!this.quarantine.isEmpty) return QUARANTINE_VERSION;
        return this.zones.revision > 0 ? ZONES_VERSION : PLAIN_VERSION;
    }

    private applyCommand(command: ControlCommand, context: ApplyContext): unknown {
        switch (command.kind) {
            case "call.begin":
                return this.ledger.begin(command, context);
            case "call.finish":
                return this.finishCall(command, context);
            case "call.abandon":
                return this.ledger.abandon(command, context);
            case "usage.batch":
                return this.usage.count(command, context);
            case "usage.close":
                this.spend.closeWindows(command.window);
                return this.usage.close(command, context);
            case "usage.reported":
                return this.usage.markReported(command, context);
            case "spend.reserve":
                return this.reserveTokens(command, context);
            case "order.intent":
                return this.orders.intend(command, context);
            case "order.outcome":
                return this.orders.finish(command, context);
            case "holder.announce":
                return this.directory.announce(command);
            case "document.replace":
                return this.replaceDocument(command, context);
            case "starts.note":
                return this.recordStarts(command);
            case "starts.close":
                this.openStarts.dropBefore(command.window + 1);
                return this.starts.close(command);
            case "starts.reported":
                return this.starts.markReported(command);
            case "zone.evacuate":
            case "zone.restore":
                return this.applyZoneCommand(command, context);
            case "crash.note":
            case "quarantine.lift":
                return this.applyQuarantineCommand(command, context);
            case "parts.crashed":
            case "parts.answered":
            case "parts.try":
            case "parts.lift":
                return this.applyPartCommand(command, context);
            case "template.put":
            case "workspace.create":
            case "workspace.limit":
            case "workspace.remove":
            case "key.grant":
            case "key.withdraw":
                return this.applyConfigChange(command, context);
            default:
                return { state: "unsupported" } satisfies UnsupportedResult;
        }
    }

    /**
     * Closes a call's record and counts its usage in the same log entry. So the call is billed exactly once whichever host fails around
     * it, and a resend of the command changes nothing.
     */
    private finishCall(command: FinishCallCommand, context: ApplyContext): CloseCallsResult {
        const change = this.ledger.finish(command, context);
        if (change.changed > 0 && command.outcome === "answered" && command.usage) this.usage.addSum(command.usage);
        return change;
    }

    private replaceDocument(command: ReplaceDocumentCommand, context: ApplyContext): ReplaceDocumentResult {
        const result = this.documents.replace(command, context.index);
        if (result.state === "replaced") this.notifyListeners();
        return result;
    }

    /** Records counts of open windows; those of closed windows are too late and dropped. */
    private recordStarts({ runs }: RecordStartsCommand): void {
        for (const { run, windows } of runs) {
            this.openStarts.merge(run, windows.filter(({ window }) => !this.starts.isClosed(window)));
        }
    }

    private applyZoneCommand(command: ZoneCommand, context: ApplyContext): ZoneResult {
        const result = this.zones.apply(command, context.index);
        if (result.state === "changed") this.notifyListeners();
        return result;
    }

    private applyQuarantineCommand(command: QuarantineCommand, context: ApplyContext): QuarantineResult {
        const result = this.quarantine.apply(command, context);
        if (result.state === "changed") this.notifyListeners();
        return result;
    }

    private applyPartCommand(command: PartCommand, context: ApplyContext): PartResult {
        const result = this.parts.apply(command, context);
        if (result.state === "changed") this.notifyListeners();
        return result;
    }

    private reserveTokens(command: ReserveCommand, context: ApplyContext): unknown {
        // A removed workspace has no recorded limit and must not be mistaken for one without a limit.
        const isKnown = this.registry.workspace(command.workspace) !== undefined;
        const limit = isKnown ? this.registry.tokenLimit(command.workspace) : 0;
        return this.spend.reserve(command, limit, context);
    }

    private applyConfigChange(change: ConfigChange, context: ApplyContext): ChangeOutcome["result"] {
        const { result, touched } = this.registry.apply(change, context);
        if (touched) {
            this.history.record(this.revision, touched);
            this.notifyListeners();
        }
        return result;
    }

    private notifyListeners(): void {
        for (const listener of this.listeners) listener();
    }
}
