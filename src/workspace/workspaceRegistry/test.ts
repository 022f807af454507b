import assert from "node:assert/strict";
import { describe, it } from "node:test";
import type { ChangeId, KeyHash, KeyId, LogIndex, TemplateName, WorkspaceId } from "../../ids/index.js";
import { decodeValue, encodeValue } from "../../wire/index.js";
import { ConfigChange, hashKey, RegistrySnapshot, TemplateSpec, WorkspaceRegistry } from "../index.js";

const TEMPLATE = "butcher" as TemplateName;
const SCHOOL = "school" as WorkspaceId;
const KEY_ID = "k1" as KeyId;
const HASH = hashKey("sqm-secret");
const SPEC: TemplateSpec = {
    parameters: [{ name: "wait", default: 5_000 }],
    weight: 1,
    classes: [{ name: "sheet", tier: 0, firstTokenMs: 900, tokenMs: 40, maxWaitMs: "$wait", guaranteedShare: 0 }],
    defaultClass: "sheet",
    pools: [],
    nonRepeatable: [],
};

/** Creates a registry with one template and one workspace, and functions that apply changes and restart it from a snapshot. */
function startRegistry() {
    let index = 0;
    let registry = new WorkspaceRegistry();
    const apply = (change: object, changeId = `c${index}`, operator = "anna") => {
        const full = { changeId: changeId as ChangeId, operator, ...change } as ConfigChange;
        return registry.apply(full, { index: ++index as LogIndex, proposedAt: index }).result;
    };
    const restart = () => {
        const bytes = encodeValue(registry.snapshot());
        registry = new WorkspaceRegistry();
        registry.restore(decodeValue(bytes) as RegistrySnapshot);
    };
    apply({ kind: "template.put", name: TEMPLATE, spec: SPEC, base: 0 });
    apply({ kind: "workspace.create", id: SCHOOL, template: TEMPLATE, parameters: [] });
    return { apply, restart, registry: () => registry };
}

describe("WorkspaceRegistry", () => {
    describe("two operators who edit the same revision", () => {
        it("applies the first change and names its author in the conflict", () => {
            // Prevents a lost update: two operators read the workspace at revision 2 and set its limit, and without a check of
            // the base revision the second write would silently replace the first.
            const { apply, registry } = startRegistry();
            const anna = apply({ kind: "workspace.limit", id: SCHOOL, tokenLimit: 10, base: 2 }, "a1", "anna");
            const bjorn = apply({ kind: "workspace.limit", id: SCHOOL, tokenLimit: 99, base: 2 }, "b1", "bjorn");
            assert.deepEqual(anna, { kind: "done", revision: 3 });
            assert.deepEqual(bjorn, { kind: "conflict", revision: 3, winner: "anna", winningChange: "a1" });
            assert.equal(registry().tokenLimit(SCHOOL), 10);
        });

        it("applies to templates, and to two operators who create the same workspace", () => {
            const { apply } = startRegistry();
            const edit = { kind: "template.put", name: TEMPLATE, spec: { ...SPEC, weight: 3 }, base: 1 };
            assert.equal(apply(edit, "a1").kind, "done");
            assert.equal(apply(edit, "b1", "bjorn").kind, "conflict");
            assert.equal(
                apply({ kind: "workspace.create", id: SCHOOL, template: TEMPLATE, parameters: [] }).kind,
                "conflict",
            );
        });
    });

    describe("a resend after a lost answer", () => {
        it("gets the first answer, also after a snapshot", () => {
            // Prevents an operator's change from conflicting with itself: the answer is lost, the tool resends the change, and
            // its base is older than the revision that its first application made.
            const { apply, restart, registry } = startRegistry();
            const change = { kind: "workspace.limit", id: SCHOOL, tokenLimit: 10, base: 2 };
            const first = apply(change, "a1");
            restart();
            assert.deepEqual(apply(change, "a1"), first);
            assert.equal(registry().revision, 3);
        });

        it("is refused when the change id was used for another change", () => {
            const { apply } = startRegistry();
            apply({ kind: "workspace.limit", id: SCHOOL, tokenLimit: 10, base: 2 }, "a1");
            const other = apply({ kind: "key.grant", workspace: SCHOOL, keyId: KEY_ID, hash: HASH }, "a1");
            assert.equal(other.kind === "refused" && other.reason, "change-id-reused");
        });
    });

    describe("a withdrawn key", () => {
        const grant = { kind: "key.grant", workspace: SCHOOL, keyId: KEY_ID, hash: HASH };

        it("never becomes valid again, even after another grant or a restore from a snapshot", () => {
            // Prevents a leaked key from working again after its withdrawal: a delayed grant of the same key arrives, or the
            // host restarts from its snapshot, and no record of the withdrawal was kept.
            const { apply, restart, registry } = startRegistry();
            apply(grant, "g1");
            assert.equal(registry().viewKey(HASH)?.workspace, SCHOOL);
            apply({ kind: "key.withdraw", keyId: KEY_ID });
            restart();
            assert.equal(apply(grant, "g2").kind, "refused");
            assert.equal(apply({ ...grant, keyId: "k2" }, "g3").kind, "refused");
            assert.equal(apply({ ...grant, hash: hashKey("other") }, "g4").kind, "refused");
            assert.equal(registry().viewKey(HASH), undefined);
            assert.deepEqual(registry().viewKeys(), []);
        });

        it("is withdrawn with its workspace, and stays withdrawn when the workspace is created again", () => {
            const { apply, registry } = startRegistry();
            apply(grant, "g1");
            assert.equal(apply({ kind: "workspace.remove", id: SCHOOL, base: 2 }).kind, "done");
            apply({ kind: "workspace.create", id: SCHOOL, template: TEMPLATE, parameters: [] }, "again");
            assert.equal(registry().viewKey(HASH), undefined);
            assert.equal(registry().viewKey("0" as KeyHash), undefined);
        });
    });

    describe("a template's edit", () => {
        it("applies to its workspaces, and is refused when it is invalid for one of them", () => {
            const { apply, registry } = startRegistry();
            apply({
                kind: "workspace.create",
                id: "home",
                template: TEMPLATE,
                parameters: [{ name: "wait", value: 9 }],
            });
            apply({ kind: "template.put", name: TEMPLATE, spec: { ...SPEC, weight: 4 }, base: 1 });
            assert.equal(registry().viewWorkspace("home" as WorkspaceId)?.weight, 4);
            assert.equal(registry().viewWorkspace("home" as WorkspaceId)?.classes[0].maxWaitMs, 9);
            assert.equal(registry().viewWorkspace(SCHOOL)?.classes[0].maxWaitMs, 5_000);
            const specWithoutDefault = { ...SPEC, parameters: [{ name: "wait" }] };
            const refused = apply({ kind: "template.put", name: TEMPLATE, spec: specWithoutDefault, base: 4 });
            assert.match(JSON.stringify(refused), /workspace school: the parameter wait has no value/);
        });
    });
});
