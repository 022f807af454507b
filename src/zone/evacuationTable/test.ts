import fc from "fast-check";
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { ZoneId } from "../../ids/index.js";
import { EvacuationTable, ZoneCommand } from "./index.js";

const VOGAR = "vogar" as ZoneId;
const KEFLAVIK = "keflavik" as ZoneId;

describe("EvacuationTable", () => {
    describe("apply", () => {
        it("evacuates a zone and restores it, each with the revision of its command", () => {
            const table = new EvacuationTable();
            assert.deepEqual(table.apply({ kind: "zone.evacuate", zone: VOGAR }, 4), { state: "changed", revision: 4 });
            assert.equal(table.isEvacuated(VOGAR), true);
            assert.equal(table.isEvacuated(KEFLAVIK), false);
            assert.deepEqual(table.apply({ kind: "zone.restore", zone: VOGAR }, 7), { state: "changed", revision: 7 });
            assert.deepEqual(table.list(), []);
        });

        it("changes nothing when the same command is sent again after a lost answer", () => {
            const table = new EvacuationTable();
            table.apply({ kind: "zone.evacuate", zone: VOGAR }, 4);
            const again = table.apply({ kind: "zone.evacuate", zone: VOGAR }, 5);
            assert.deepEqual(again, { state: "unchanged", revision: 4 });
            assert.deepEqual(table.list(), [{ zone: VOGAR, revision: 4 }]);
        });

        it("evacuates several zones, even all of them", () => {
            const table = new EvacuationTable();
            table.apply({ kind: "zone.evacuate", zone: VOGAR }, 1);
            table.apply({ kind: "zone.evacuate", zone: KEFLAVIK }, 2);
            assert.deepEqual(table.list().map(({ zone }) => zone), [KEFLAVIK, VOGAR]);
        });
    });

    describe("restore", () => {
        it("continues from any snapshot as the original table does", () => {
            const command: fc.Arbitrary<ZoneCommand> = fc.record({
                kind: fc.constantFrom("zone.evacuate" as const, "zone.restore" as const),
                zone: fc.constantFrom(VOGAR, KEFLAVIK),
            });
            fc.assert(fc.property(fc.array(command), fc.nat(), (commands, at) => {
                const original = new EvacuationTable();
                const restored = new EvacuationTable();
                const snapshotAt = at % (commands.length + 1);
                commands.slice(0, snapshotAt).forEach((each, index) => original.apply(each, index + 1));
                restored.restore(original.snapshot());
                commands.slice(snapshotAt).forEach((each, index) => {
                    const position = snapshotAt + index + 1;
                    assert.deepEqual(restored.apply(each, position), original.apply(each, position));
                });
                assert.deepEqual(restored.snapshot(), original.snapshot());
            }));
        });

        it("restores no evacuation from a snapshot that is older than the feature", () => {
            const table = new EvacuationTable();
            table.apply({ kind: "zone.evacuate", zone: VOGAR }, 4);
            table.restore(undefined);
            assert.deepEqual(table.snapshot(), { revision: 0, evacuated: [] });
        });
    });
});
