import fc from "fast-check";
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { ZoneId } from "../../ids/index.js";
import { ZoneBook, ZoneCommand } from "./index.js";

const VOGAR = "vogar" as ZoneId;
const KEFLAVIK = "keflavik" as ZoneId;

describe("ZoneBook", () => {
    describe("apply", () => {
        it("evacuates a zone and restores it, each with the revision of its order", () => {
            const book = new ZoneBook();
            assert.deepEqual(book.apply({ kind: "zone.evacuate", zone: VOGAR }, 4), { state: "changed", revision: 4 });
            assert.equal(book.isEvacuated(VOGAR), true);
            assert.equal(book.isEvacuated(KEFLAVIK), false);
            assert.deepEqual(book.apply({ kind: "zone.restore", zone: VOGAR }, 7), { state: "changed", revision: 7 });
            assert.deepEqual(book.list(), []);
        });

        it("changes nothing when the same order comes again after a lost answer", () => {
            const book = new ZoneBook();
            book.apply({ kind: "zone.evacuate", zone: VOGAR }, 4);
            const again = book.apply({ kind: "zone.evacuate", zone: VOGAR }, 5);
            assert.deepEqual(again, { state: "unchanged", revision: 4 });
            assert.deepEqual(book.list(), [{ zone: VOGAR, revision: 4 }]);
        });

        it("keeps several zones, also all of them", () => {
            const book = new ZoneBook();
            book.apply({ kind: "zone.evacuate", zone: VOGAR }, 1);
            book.apply({ kind: "zone.evacuate", zone: KEFLAVIK }, 2);
            assert.deepEqual(book.list().map(({ zone }) => zone), [KEFLAVIK, VOGAR]);
        });
    });

    describe("restore", () => {
        it("goes on from any snapshot as the book itself does", () => {
            const command: fc.Arbitrary<ZoneCommand> = fc.record({
                kind: fc.constantFrom("zone.evacuate" as const, "zone.restore" as const),
                zone: fc.constantFrom(VOGAR, KEFLAVIK),
            });
            fc.assert(fc.property(fc.array(command), fc.nat(), (commands, at) => {
                const whole = new ZoneBook();
                const restored = new ZoneBook();
                const cut = at % (commands.length + 1);
                commands.slice(0, cut).forEach((each, index) => whole.apply(each, index + 1));
                restored.restore(whole.snapshot());
                commands.slice(cut).forEach((each, index) => {
                    const position = cut + index + 1;
                    assert.deepEqual(restored.apply(each, position), whole.apply(each, position));
                });
                assert.deepEqual(restored.snapshot(), whole.snapshot());
            }));
        });

        it("knows no evacuation from a snapshot of before there were any", () => {
            const book = new ZoneBook();
            book.apply({ kind: "zone.evacuate", zone: VOGAR }, 4);
            book.restore(undefined);
            assert.deepEqual(book.snapshot(), { revision: 0, evacuated: [] });
        });
    });
});
