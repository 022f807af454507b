import assert from "node:assert/strict";
import { OperatorApi } from "../../cli/index.js";
import { expectedAnswer } from "../../emulator/index.js";
import { ChangeId, KeyId, TemplateName, WorkspaceId } from "../../ids/index.js";
import {
    CrossCheck,
    crossCheck,
    DEFAULT_CALLER,
    EmulatorClient,
    replayTrace,
    RequestResult,
    Trace,
} from "../../load/index.js";
import { NodeHttp, parseAddress, SystemClock, SystemRandom } from "../../ports/index.js";
import { DEFAULT_PLAN, deployTrace, FleetPlan, ProcessFleet, waitFor } from "../../tools/index.js";
import { hashKey } from "../../workspace/index.js";
import { CallerResult, sendChat } from "./caller.js";
import { makeMixedTrace, MIXED_MODEL, MIXED_WORKSPACES, MixedTracePlan } from "./mixedTrace.js";

/** Maximum wait for a condition. It ends a run that hangs, and is no latency target. */
export const WAIT_TIMEOUT_MS = 60_000;
const WINDOW_MS = 1_000;
const WINDOW_GRACE_MS = 300;
const OPERATOR = "anna";

/** Usage reports as the emulated platform counted them. */
export interface UsageStats {
    readonly windows: number;
    readonly requests: number;
    /** Report ids received again with different figures. */
    readonly conflicting: number;
    readonly doubledWindows: number;
    readonly reversals: number;
}

interface EmulatorStats {
    readonly platform: { readonly usage: UsageStats; };
    readonly keys: { readonly watchedKeys: number; readonly credentialHeaders: number; };
}

/** A chat whose answer an entry is streaming. */
export interface OpenStream {
    readonly expected: string;
    readonly result: Promise<CallerResult>;
    received: string;
}

/** One scenario's fleet of operating-system processes, and the requests sent to it. */
export class ProcessRun {
    readonly results: RequestResult[] = [];
    readonly streams: OpenStream[] = [];
    /** Workspaces whose creation and key grant were acknowledged, in addition to those of the trace. */
    readonly acceptedWorkspaces: string[] = [];
    private replayResults: Promise<RequestResult[]> | undefined;
    private trace: Trace | undefined;

    private constructor(
        readonly fleet: ProcessFleet,
        readonly api: OperatorApi,
        private readonly ports: { clock: SystemClock; random: SystemRandom; http: NodeHttp; },
        readonly keys: ReadonlyMap<string, string>,
    ) {}

    /** Starts the processes and creates the workspaces of the mixed trace. */
    static async start(plan: Partial<FleetPlan>): Promise<ProcessRun> {
        const fleet = await ProcessFleet.start({
            ...DEFAULT_PLAN,
            windowMs: WINDOW_MS,
            windowGraceMs: WINDOW_GRACE_MS,
            ...plan,
        });
        try {
            const ports = { clock: new SystemClock(), random: new SystemRandom(), http: new NodeHttp() };
            const api = new OperatorApi({ ...ports, controlAddresses: fleet.operatorAddresses });
            const { header } = makeMixedTrace({ chats: 0, orders: 0, withinMs: 0 });
            const run = new ProcessRun(fleet, api, ports, await deployTrace(api, ports.random, header));
            await run.watchKeys();
            return run;
        }
        catch (err) {
            await fleet.close();
            throw err;
        }
    }

    /** Starts to replay a mixed trace; `finish` waits for its end. */
    replay(plan: MixedTracePlan): void {
        const { ports, fleet, keys } = this;
        this.trace = makeMixedTrace(plan);
        const cfg = { ...DEFAULT_CALLER, addresses: fleet.callerAddresses, keys, speed: 1, resends: 10 };
        this.replayResults = replayTrace(
            ports,
            this.trace,
            { ...cfg, chatResends: "always" },
            result => this.results.push(result),
        );
    }

    /** Waits until all requests of the trace have a final result. */
    async finish(): Promise<readonly RequestResult[]> {
        assert.ok(this.replayResults, "nothing was sent");
        return this.replayResults;
    }

    /** Compares the outcomes that callers received with the runs that the emulator recorded. */
    async crossCheckRuns(): Promise<CrossCheck> {
        const results = await this.finish();
        const client = new EmulatorClient(new NodeHttp(), this.fleet.emulatorAddress);
        return crossCheck(this.trace!, results, await client.fetchRuns());
    }

    /** Starts a streamed chat over an entry, and waits for its first text. */
    async openStream(entry: number, tokens: number): Promise<void> {
        const prompt = `stream ${this.streams.length} [tokens=${tokens}]`;
        const stream: OpenStream = {
            expected: expectedAnswer([{ role: "user", content: prompt }], tokens),
            received: "",
            result: sendChat(this.ports.http, this.fleet.callerAddresses[entry], {
                key: this.keys.get(MIXED_WORKSPACES[0])!,
                model: MIXED_MODEL,
                prompt,
                maxTokens: tokens,
                onText: text => stream.received = text,
            }),
        };
        this.streams.push(stream);
        await this.waitUntil("the stream's first text", () => stream.received !== "");
    }

    /** Sends a short chat to an entry with the key of the first workspace. */
    sendChat(entry: number): Promise<CallerResult> {
        const key = this.keys.get(MIXED_WORKSPACES[0])!;
        return sendChat(this.ports.http, this.fleet.callerAddresses[entry], { key, model: MIXED_MODEL, prompt: "one" });
    }

    /** Creates workspaces one after the other, each with a key. `onCreated` receives the number created so far. */
    async createWorkspaces(count: number, onCreated: (created: number) => void = () => undefined): Promise<void> {
        for (let created = 1; created <= count; created++) {
            const name = `more-${this.acceptedWorkspaces.length}`;
            const makeOrigin = (action: string) => ({ operator: OPERATOR, changeId: `${action}-${name}` as ChangeId });
            const id = name as WorkspaceId;
            const template = "mixed" as TemplateName;
            await this.applyChange({ kind: "workspace.create", id, template, parameters: [], ...makeOrigin("create") });
            const hash = hashKey(name);
            await this.applyChange({
                kind: "key.grant",
                workspace: id,
                keyId: name as KeyId,
                hash,
                ...makeOrigin("grant"),
            });
            this.acceptedWorkspaces.push(name);
            onCreated(created);
        }
    }

    /** Withdraws the key of the first workspace. */
    async withdrawKey(): Promise<void> {
        const keyId = `${MIXED_WORKSPACES[0]}-1` as KeyId;
        await this.applyChange({ kind: "key.withdraw", keyId, operator: OPERATOR, changeId: "withdraw" as ChangeId });
    }

    /** Waits until a control process other than `except` holds the lease, and returns its number. */
    async awaitHolder(except?: number): Promise<number> {
        const found = await waitFor(async () => {
            const holder = await this.fleet.findHolder();
            return holder === except ? undefined : holder;
        }, WAIT_TIMEOUT_MS);
        assert.ok(found !== undefined, "no control process holds the lease");
        return found;
    }

    async stats(): Promise<EmulatorStats> {
        return await this.fleet.emulatorStats() as EmulatorStats;
    }

    /** Waits until a condition holds. `description` names it in the error message. */
    async waitUntil(description: string, condition: () => boolean | Promise<boolean>): Promise<void> {
        const found = await waitFor(async () => await condition() ? true : undefined, WAIT_TIMEOUT_MS);
        assert.ok(found, `timed out waiting for ${description}`);
    }

    private async applyChange(change: Parameters<OperatorApi["change"]>[0]): Promise<void> {
        const { result } = await this.api.change(change);
        assert.equal(result.kind, "done", JSON.stringify(result));
    }

    private async watchKeys(): Promise<void> {
        const client = new EmulatorClient(this.ports.http, parseAddress(this.fleet.emulatorControlAddress)!);
        await client.apply({ action: "watch-keys", keys: [...this.keys.values()] });
    }
}
