import { Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { applyAction, ControlAction, emulatorSettingsSchema } from "../../emulator/index.js";
import { ChangeId, KeyId, TemplateName, WorkspaceId } from "../../ids/index.js";
import {
    crossCheck,
    DEFAULT_CALLER,
    makeTraceTemplate,
    parseTrace,
    replayTrace,
    RequestResult,
    summarizeReplay,
    Trace,
    WEIGHT_PARAMETER,
} from "../../load/index.js";
import { FileDisk, SeededRandom } from "../../ports/index.js";
import { hashKey } from "../../workspace/index.js";
import { keyOf } from "../world/deployment.js";
import { FleetWorld } from "../world/index.js";
import { CALLER_HOST } from "../world/memoryFleet.js";

const REPLAY_TIMEOUT_MS = 300_000;

interface TraceWorld extends FleetWorld {
    trace: Trace;
    results: RequestResult[];
    replayMs: number;
}

async function readTrace(name: string): Promise<Trace> {
    const bytes = await new FileDisk("traces").read(`${name}.jsonl`);
    return parseTrace(Buffer.from(bytes!).toString("utf8")).unsafeCoerce();
}

async function deployTrace(world: TraceWorld): Promise<void> {
    const { header } = world.trace;
    const template = header.name as TemplateName;
    const makeOrigin = (id: string) => ({ operator: "anna", changeId: id as ChangeId });
    const { fleet } = world;
    await fleet.applyChange({
        kind: "template.put",
        name: template,
        spec: makeTraceTemplate(header),
        base: 0,
        ...makeOrigin("t"),
    });
    for (const { name, weight } of header.workspaces) {
        const id = name as WorkspaceId;
        const parameters = [{ name: WEIGHT_PARAMETER, value: weight }];
        await fleet.applyChange({
            kind: "workspace.create",
            id,
            template,
            parameters,
            ...makeOrigin(`create ${name}`),
        });
        const keyId = `${name}-1` as KeyId;
        const hash = hashKey(keyOf(name));
        await fleet.applyChange({ kind: "key.grant", workspace: id, keyId, hash, ...makeOrigin(`grant ${name}`) });
    }
}

Given(
    "the fleet of the trace {string} with {int} entries and {int} control processes",
    async function(this: TraceWorld, name: string, entries: number, controls: number) {
        this.trace = await readTrace(name);
        const emulator = emulatorSettingsSchema.partial().parse(this.trace.header.emulator);
        const overrides = Object.fromEntries(
            Object.entries(emulator).filter(([key]) => key in this.trace.header.emulator),
        );
        await this.startFleet({ entries, controls, emulator: overrides, windowMs: 5_000 });
        await deployTrace(this);
    },
);

When("the trace is replayed", async function(this: TraceWorld) {
    const { fleet, trace } = this;
    const keys = new Map(trace.header.workspaces.map(({ name }) => [name, keyOf(name)]));
    const ports = { clock: fleet.clock, random: new SeededRandom(7), http: fleet.web.http(CALLER_HOST) };
    const addresses = fleet.entryNumbers().map(number => fleet.entryAddress(number));
    const applyFault = async (action: ControlAction): Promise<void> => {
        applyAction(fleet.emulator, fleet.keyWatch, action).unsafeCoerce();
    };
    const startedAt = fleet.clock.monotonic();
    const replay = replayTrace(ports, trace, { ...DEFAULT_CALLER, addresses, keys, speed: 1, applyFault });
    this.results = await fleet.run(replay, REPLAY_TIMEOUT_MS);
    this.replayMs = fleet.clock.monotonic() - startedAt;
    await fleet.advance(20_000);
});

Then("the trace's stated outcome holds", function(this: TraceWorld) {
    const report = summarizeReplay(this.trace, this.results, this.replayMs);
    assert.deepEqual(report.missed, []);
});

Then("each refused request has not run, and no call has run twice", function(this: TraceWorld) {
    const { runLedger: ledger, chatLedger: chats } = this.fleet.emulator;
    const runs = { chats: chats.list(), calls: ledger.list() };
    const { untruthful, doubledCalls } = crossCheck(this.trace, this.results, runs);
    assert.deepEqual({ untruthful, doubledCalls }, { untruthful: [], doubledCalls: [] });
});

Then("what was answered is reported to the platform exactly once", function(this: TraceWorld) {
    const { usage } = this.fleet.emulator.platform;
    const { conflicting, doubledWindows } = usage.stats();
    assert.deepEqual({ conflicting, doubledWindows }, { conflicting: 0, doubledWindows: 0 });
    const billedLines = usage.received.flatMap(({ report }) => report.lines);
    for (const { name } of this.trace.header.workspaces) {
        const requests = billedLines.filter(line => line.workspace === name).reduce(
            (sum, line) => sum + line.requests,
            0,
        );
        // A caller that disconnected during a stream is billed for the tokens it received.
        const workspaceResults = this.results.filter((_, index) => this.trace.requests[index].workspace === name);
        const answered = workspaceResults.filter(({ verdict }) => verdict === "answered").length;
        const disconnected = workspaceResults.filter(({ verdict }) => verdict === "left").length;
        assert.ok(
            requests >= answered && requests <= answered + disconnected,
            `${name}: ${requests} billed, ${answered} answered`,
        );
    }
});
