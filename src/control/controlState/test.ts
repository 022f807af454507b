import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { LogIndex, OrderId } from "../../ids/index.js";
import { decodeValue, encodeValue } from "../../wire/index.js";
import { hashKey } from "../../workspace/index.js";
import { ControlState } from "../index.js";

const CLASSES = [{ name: "a", tier: 0, firstTokenMs: 1, tokenMs: 1, maxWaitMs: 1, guaranteedShare: 0, later: "kept" }];
const SPEC = { parameters: [], weight: 1, classes: CLASSES, defaultClass: "a", pools: [], nonRepeatable: [] };
const LINE = { workspace: "w", pool: "p", class: "a", requests: 1, prompt_tokens: 2, completion_tokens: 3 };
const RUN = { host: "e1", incarnation: "1" };
const CALL = { workspace: "w", key: "k", request: "r1" };
const TARGET = { to: "platform", body: { action: "stop", zone: "z", pool: "p", reclaimable: false, upstream: "u" } };
const COMMANDS = [
    { kind: "template.put", changeId: "1", operator: "anna", name: "t", spec: SPEC, base: 0 },
    {
        kind: "workspace.create",
        changeId: "2",
        operator: "anna",
        id: "w",
        template: "t",
        parameters: [],
        tokenLimit: 50,
    },
    { kind: "key.grant", changeId: "3", operator: "anna", workspace: "w", keyId: "k1", hash: hashKey("k1") },
    { kind: "key.grant", changeId: "4", operator: "anna", workspace: "w", keyId: "k2", hash: hashKey("k2") },
    { kind: "key.withdraw", changeId: "5", operator: "anna", keyId: "k1" },
    { kind: "call.begin", ...CALL, digest: "d", ...RUN },
    { kind: "call.begin", ...CALL, key: "k2", digest: "d", ...RUN },
    {
        kind: "call.finish",
        ...CALL,
        outcome: "answered",
        answer: { status: 200, contentType: "t", body: Buffer.from("x") },
    },
    { kind: "usage.batch", ...RUN, sequence: 1, sums: [{ window: 0, line: LINE }] },
    { kind: "usage.batch", ...RUN, sequence: 3, sums: [{ window: 1_000, line: LINE }] },
    { kind: "spend.reserve", workspace: "w", window: 1_000, ...RUN, sequence: 1, tokens: 20 },
    { kind: "usage.close", window: 0, windowMs: 1_000 },
    { kind: "usage.batch", ...RUN, sequence: 2, sums: [{ window: 0, line: LINE }] },
    { kind: "order.intent", orderId: "o1", fencingToken: 1, target: TARGET, reason: "x" },
    { kind: "order.intent", orderId: "o2", fencingToken: 1, target: TARGET, reason: "x" },
    { kind: "order.outcome", orderId: "o1", outcome: "done", upstreams: ["u"], detail: "" },
    { kind: "holder.announce", host: "c1", operatorAddress: "10.0.0.1:80" },
    { kind: "zone.evacuate", zone: "vogar" },
    { kind: "zone.evacuate", zone: "keflavik" },
    { kind: "zone.restore", zone: "vogar" },
];
const CRASHES = [1, 2, 3].map(incarnation => ({ upstream: "u", incarnation, fingerprints: ["f1"] }));
const QUARANTINE_COMMANDS = [
    { kind: "crash.note", crashes: CRASHES.slice(0, 1) },
    { kind: "crash.note", crashes: CRASHES },
    { kind: "quarantine.lift", fingerprint: "f2" },
];
const PART_COMMANDS = [
    ...[1, 2, 3].map(incarnation => ({
        kind: "parts.crashed",
        crashes: [{ upstream: "u", incarnation, at: 1_000, calls: [["p1", "p2"]] }],
    })),
    { kind: "parts.answered", parts: [{ part: "p1", count: 1 }] },
    { kind: "parts.try", part: "p2", host: "e1" },
    { kind: "parts.lift", part: "p3" },
];
const ALL_COMMANDS = [...COMMANDS, ...QUARANTINE_COMMANDS, ...PART_COMMANDS];

function applyAll(state: ControlState, commands: readonly object[], from = 0): unknown[] {
    return commands.map((command, offset) => {
        const index = from + offset + 1 as LogIndex;
        return state.apply(decodeValue(encodeValue(command)), { index, proposedAt: 1_000 });
    });
}

function takeSnapshot(state: ControlState): unknown {
    return decodeValue(encodeValue(state.snapshot()));
}

describe("ControlState", () => {
    describe("restore", () => {
        it("restores the complete state at each point, with fields that this version does not know", () => {
            for (let cut = 0; cut <= ALL_COMMANDS.length; cut++) {
                const whole = new ControlState();
                applyAll(whole, ALL_COMMANDS.slice(0, cut));
                const restored = new ControlState();
                restored.restore(takeSnapshot(whole));
                assert.deepEqual(takeSnapshot(restored), takeSnapshot(whole));
                const rest = ALL_COMMANDS.slice(cut);
                assert.deepEqual(applyAll(restored, rest, cut), applyAll(whole, rest, cut));
                assert.deepEqual(takeSnapshot(restored), takeSnapshot(whole));
                if (cut > 0) assert.match(JSON.stringify(restored.registry.listTemplates()), /"later":"kept"/);
            }
        });

        it("refuses an unsupported layout version", () => {
            assert.throws(() => new ControlState().restore({ version: 5 }), /version 5/);
        });
    });

    describe("entryVersionOf", () => {
        it("prevents replicas of the previous version from skipping zone commands, and no other commands", () => {
            // During an upgrade a replica of the previous version would skip an evacuation, and the replicas would diverge permanently.
            // Because of the entry's higher version the replica stops instead.
            const state = new ControlState();
            for (const command of COMMANDS) {
                const isNew = command.kind.startsWith("zone.");
                assert.equal(state.entryVersionOf(command), isNew ? 2 : 1, command.kind);
            }
            assert.equal((takeSnapshot(state) as { version: number; }).version, 1);
            applyAll(state, COMMANDS);
            assert.equal((takeSnapshot(state) as { version: number; }).version, 2);
        });

        it("prevents replicas of the previous version from skipping crash and quarantine commands", () => {
            const state = new ControlState();
            for (const command of QUARANTINE_COMMANDS) assert.equal(state.entryVersionOf(command), 3, command.kind);
            applyAll(state, QUARANTINE_COMMANDS.slice(0, 1));
            assert.equal((takeSnapshot(state) as { version: number; }).version, 3);
        });

        it("prevents replicas of the previous version from skipping commands about parts of prompts", () => {
            const state = new ControlState();
            for (const command of PART_COMMANDS) assert.equal(state.entryVersionOf(command), 4, command.kind);
            applyAll(state, PART_COMMANDS.slice(0, 1));
            assert.equal((takeSnapshot(state) as { version: number; }).version, 4);
        });
    });

    describe("apply", () => {
        it("skips a kind that it does not know", () => {
            const state = new ControlState();
            assert.deepEqual(applyAll(state, [{ kind: "from.the.future" }]), [{ state: "unsupported" }]);
        });

        it("includes the evacuated zones in changes since any revision", () => {
            const state = new ControlState();
            applyAll(state, COMMANDS);
            const revision = COMMANDS.length;
            assert.equal(state.revision, revision);
            for (const since of [0, 1, revision - 1]) {
                assert.deepEqual(state.changeSince(since).evacuatedZones, ["keflavik"]);
            }
            assert.equal(state.changeSince(revision).evacuatedZones, undefined);
        });

        it("includes the quarantined requests in changes since any revision", () => {
            const state = new ControlState();
            applyAll(state, [...COMMANDS, ...QUARANTINE_COMMANDS]);
            const revision = COMMANDS.length + 2;
            assert.equal(state.revision, revision);
            for (const since of [0, 1, revision - 1]) {
                assert.deepEqual(state.changeSince(since).quarantined?.map(({ fingerprint }) => fingerprint), ["f1"]);
            }
            assert.equal(state.changeSince(revision).quarantined, undefined);
        });

        it("includes the suspected parts of prompts in changes since any revision", () => {
            const state = new ControlState();
            applyAll(state, [...COMMANDS, ...PART_COMMANDS]);
            const revision = COMMANDS.length + 1;
            assert.equal(state.revision, revision);
            for (const since of [0, 1, revision - 1]) {
                assert.deepEqual(state.changeSince(since).parts, { suspects: ["p1", "p2"], quarantined: [] });
            }
            assert.equal(state.changeSince(revision).parts, undefined);
        });

        it("grants no tokens to a workspace that was removed", () => {
            const state = new ControlState();
            applyAll(state, COMMANDS.slice(0, 2));
            const remove = { kind: "workspace.remove", changeId: "r", operator: "anna", id: "w", base: 2 };
            const reserve = { kind: "spend.reserve", workspace: "w", window: 0, ...RUN, sequence: 1, tokens: 20 };
            assert.deepEqual(applyAll(state, [remove, reserve], 2)[1], { granted: 0 });
        });

        it("refuses an order of an older holder, and keeps the first outcome", () => {
            const state = new ControlState();
            applyAll(state, COMMANDS);
            const late = { kind: "order.intent", orderId: "o3", fencingToken: 0, target: TARGET, reason: "x" };
            const second = { kind: "order.outcome", orderId: "o1", outcome: "refused", upstreams: [], detail: "late" };
            assert.deepEqual(applyAll(state, [late, second], 20)[0], { state: "stale" });
            assert.equal(state.orders.listFinished()[0].orderId, "o1" as OrderId);
            assert.equal(state.orders.listFinished()[0].outcome, "done");
        });
    });
});
