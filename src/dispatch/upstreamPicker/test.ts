import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { ZoneId } from "../../ids/index.js";
import { SeededRandom, VirtualClock } from "../../ports/index.js";
import { makeAnnouncement, UpstreamRegistry } from "../../upstream/index.js";
import { makeTicket } from "../_lib/fixtures.js";
import { LocalDispatcher } from "../localDispatcher/index.js";
import { Ticket } from "../ticket/index.js";

const SLOTS = 4;
const STREAM = { gapMs: 500, tokenMs: 50 };

describe("UpstreamPicker", () => {
    /** Makes an owner of a queue whose upstreams run the given versions, and lists where it grants tickets. */
    function makePool(versions: readonly string[]) {
        const clock = new VirtualClock();
        const registry = new UpstreamRegistry({ clock });
        const dispatcher = new LocalDispatcher({
            clock,
            registry,
            random: new SeededRandom(1),
            zone: "vogar" as ZoneId,
        });
        for (const [number, software_version] of versions.entries()) {
            registry.announce(makeAnnouncement({ id: `u${number}`, slots: SLOTS, software_version }));
        }
        async function grant(count: number, fields: Partial<Record<keyof Ticket, unknown>>): Promise<string[]> {
            const granted: string[] = [];
            for (let number = 0; number < count; number++) {
                const ticket = makeTicket({ request: `r${clock.monotonic()}-${number}`, ...fields });
                const decision = dispatcher.submit(ticket, new AbortController().signal);
                void decision.then(settled => settled.ifRight(({ upstream }) => granted.push(upstream)));
                await clock.advance(1);
            }
            return granted;
        }
        return grant;
    }

    describe("for a new stream", () => {
        it("leaves out the only upstream of a version while others can take it", async () => {
            // Nobody could continue a stream that begins there.
            const grant = makePool(["1.0", "1.0", "1.0", "2.0"]);
            const granted = await grant(2 * SLOTS, STREAM);
            assert.equal(granted.length, 2 * SLOTS);
            assert.ok(!granted.includes("u3"));
        });

        it("takes it rather than let the stream wait, and where each is the only one of its version", async () => {
            const grant = makePool(["1.0", "1.0", "1.0", "2.0"]);
            assert.equal((await grant(4 * SLOTS, STREAM)).length, 4 * SLOTS);
            const grantEach = makePool(["1.0", "2.0", "3.0"]);
            assert.equal(new Set(await grantEach(2 * SLOTS, STREAM)).size, 3);
        });
    });

    it("uses the only upstream of a version like any other for answers that are not streams", async () => {
        const grant = makePool(["1.0", "1.0", "1.0", "2.0"]);
        assert.ok((await grant(2 * SLOTS, {})).includes("u3"));
    });
});
