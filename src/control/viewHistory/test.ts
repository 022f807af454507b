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
    act: fc.constantFrom(
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
    which: fc.nat(3),
    stale: fc.boolean(),
});

function describeChange(act: string, which: number, state: ControlState): object {
    const id = WORKSPACES[which % WORKSPACES.length];
    const key = KEYS[which];
    const base = state.registry.workspace(id)?.revision ?? 0;
    const classes = [{ name: "a", tier: 0, firstTokenMs: 1, tokenMs: 1, maxWaitMs: 1, guaranteedShare: 0 }];
    const spec = { parameters: [], weight: which + 1, classes, defaultClass: "a", pools: [], nonRepeatable: [] };
    if (act === "template") {
        const templateBase = state.registry.template("t" as never)?.revision ?? 0;
        return { kind: "template.put", name: "t", spec, base: templateBase };
    }
    if (act === "create") return { kind: "workspace.create", id, template: "t", parameters: [] };
    if (act === "limit") return { kind: "workspace.limit", id, tokenLimit: which, base };
    if (act === "remove") return { kind: "workspace.remove", id, base };
    if (act === "grant") return { kind: "key.grant", workspace: id, keyId: key.id, hash: key.hash };
    return { kind: "key.withdraw", keyId: key.id };
}

/** Lists the workspace to which each key gives access in a cache. */
function listAccess(cache: ViewCache): unknown[] {
    return KEYS.map(({ hash }) => cache.findByKey(hash as KeyHash));
}

function checkSchedule(steps: readonly { act: string; which: number; stale: boolean; }[]): void {
    let state = new ControlState();
    let index = 0;
    const cache = new ViewCache();
    const held: ViewChange[] = [];
    const withdrawn = new Set<KeyHash>();
    const setUp = ["template", "create", "create", "create"].map((act, which) => ({ act, which, stale: false }));
    for (const { act, which, stale } of [...setUp, ...steps]) {
        if (act === "restart") {
            const bytes = encodeValue(state.snapshot());
            state = new ControlState();
            state.restore(decodeValue(bytes));
        }
        else if (act === "pull") {
            const plain = state.changeSince(cache.revision);
            const change = decodeValue(encodeValue(which % 2 === 0 ? packChange(plain) : plain)) as ViewChange;
            cache.apply(change);
            held.push(change);
            // An old reply that was delayed in the network.
            if (stale) cache.apply(held[which % held.length]);
            const fresh = new ViewCache();
            fresh.apply(state.changeSince(0));
            assert.deepEqual(listAccess(cache), listAccess(fresh));
        }
        else {
            index++;
            const change = { changeId: `c${index}`, operator: "anna", ...describeChange(act, which, state) };
            const result = state.apply(change, { index: index as LogIndex, proposedAt: index }) as { kind: string; };
            if (act === "withdraw" && result.kind === "done") withdrawn.add(KEYS[which].hash);
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
