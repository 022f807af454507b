import fc from "fast-check";
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { KeyHash, LogIndex, WorkspaceId } from "../../ids/index.js";
import { decodeValue, encodeValue } from "../../wire/index.js";
import { hashKey } from "../../workspace/index.js";
import { ControlState, packChange, ViewCache, ViewChange } from "../index.js";

const WORKSPACES = ["w0", "w1", "w2"] as WorkspaceId[];
const KEYS = ["k0", "k1", "k2", "k3"].map(id => ({ id, hash: hashKey(id) }));

const step = fc.record({
    operation: fc.constantFrom(
        "template",
        "create",
        "limit",
        "remove",
        "grant",
        "grant",
        "withdraw",
        "pull",
        "pull",
        "restart",
    ),
    target: fc.nat(3),
    replaysOld: fc.boolean(),
});

function makeChange(operation: string, target: number, state: ControlState): object {
    const id = WORKSPACES[target % WORKSPACES.length];
    const key = KEYS[target];
    const base = state.registry.workspace(id)?.revision ?? 0;
    const classes = [{ name: "a", tier: 0, firstTokenMs: 1, tokenMs: 1, maxWaitMs: 1, guaranteedShare: 0 }];
    const spec = { parameters: [], weight: target + 1, classes, defaultClass: "a", pools: [], nonRepeatable: [] };
    if (operation === "template") {
        const templateBase = state.registry.template("t" as never)?.revision ?? 0;
        return { kind: "template.put", name: "t", spec, base: templateBase };
    }
    if (operation === "create") return { kind: "workspace.create", id, template: "t", parameters: [] };
    if (operation === "limit") return { kind: "workspace.limit", id, tokenLimit: target, base };
    if (operation === "remove") return { kind: "workspace.remove", id, base };
    if (operation === "grant") return { kind: "key.grant", workspace: id, keyId: key.id, hash: key.hash };
    return { kind: "key.withdraw", keyId: key.id };
}

/** Lists the workspaces to which the keys give access in a cache. */
function listAccess(cache: ViewCache): unknown[] {
    return KEYS.map(({ hash }) => cache.findByKey(hash as KeyHash));
}

function checkSchedule(steps: readonly { operation: string; target: number; replaysOld: boolean; }[]): void {
    let state = new ControlState();
    let index = 0;
    const cache = new ViewCache();
    const held: ViewChange[] = [];
    const withdrawn = new Set<KeyHash>();
    const setUp = ["template", "create", "create", "create"].map((operation, target) => ({
        operation,
        target,
        replaysOld: false,
    }));
    for (const { operation, target, replaysOld } of [...setUp, ...steps]) {
        if (operation === "restart") {
            const bytes = encodeValue(state.snapshot());
            state = new ControlState();
            state.restore(decodeValue(bytes));
        }
        else if (operation === "pull") {
            const plain = state.changeSince(cache.revision);
            const change = decodeValue(encodeValue(target % 2 === 0 ? packChange(plain) : plain)) as ViewChange;
            cache.apply(change);
            held.push(change);
            // An old reply that was delayed in the network.
            if (replaysOld) cache.apply(held[target % held.length]);
            const fresh = new ViewCache();
            fresh.apply(state.changeSince(0));
            assert.deepEqual(listAccess(cache), listAccess(fresh));
        }
        else {
            index++;
            const change = { changeId: `c${index}`, operator: "anna", ...makeChange(operation, target, state) };
            const result = state.apply(change, { index: index as LogIndex, proposedAt: index }) as { kind: string; };
            if (operation === "withdraw" && result.kind === "done") withdrawn.add(KEYS[target].hash);
        }
        for (const hash of withdrawn) assert.equal(state.registry.viewKey(hash), undefined);
    }
}

describe("ViewHistory", () => {
    describe("any order of changes, pulls, delayed replies and restarts", () => {
        it("provides the same access by deltas as a full view, and none by withdrawn keys", () => {
            fc.assert(fc.property(fc.array(step, { maxLength: 60 }), checkSchedule), { numRuns: 1_000, seed: 21 });
        });
    });
});
