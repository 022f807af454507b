import { Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { SeededRandom } from "../../ports/index.js";
import { CallerResult } from "../world/caller.js";
import { FleetWorld } from "../world/index.js";

interface PowerWorld extends FleetWorld {
    /** Number of requests that were answered before the loss of power. */
    answeredBefore: number;
}

When(
    "chats and orders keep coming for a random time, by seed {int}",
    async function(this: PowerWorld, seed: number) {
        const random = new SeededRandom(seed);
        const { clock } = this.fleet;
        const endAt = clock.monotonic() + random.between(300, 3_000);
        const holderLostAt = random.next() < 0.5 ? endAt - random.between(0, 1_500) : Infinity;
        const syncMs = random.pick([0, 1, 5, 20]);
        for (const disk of this.fleet.disks) disk.syncDurationMs = syncMs;
        const answered: CallerResult[] = [];
        while (clock.monotonic() < endAt) {
            if (clock.monotonic() >= holderLostAt && this.fleet.holder() >= 0) await loseHolderOnce(this);
            void sendRandomRequest(this, random).then(result => result.outcome === "answered" && answered.push(result));
            await this.fleet.advance(random.between(0, 60));
        }
        this.answeredBefore = answered.length;
    },
);

Then(
    "each chat and order that was answered before the loss is billed, and none that did not run",
    function(this: PowerWorld) {
        const { emulator } = this.fleet;
        const lines = emulator.platform.usage.received.flatMap(({ report }) => report.lines);
        const billed = lines.reduce((sum, line) => sum + line.requests, 0);
        const ran = emulator.chatLedger.list().length + emulator.runLedger.distinctCallCount;
        assert.ok(this.answeredBefore > 0, "no request was answered");
        assert.ok(billed >= this.answeredBefore, `${billed} of ${this.answeredBefore} answered requests are billed`);
        assert.ok(billed <= ran, `${billed} requests are billed, ${ran} ran`);
    },
);

Then("no order has run twice", function(this: FleetWorld) {
    assert.deepEqual(this.fleet.emulator.runLedger.doubled(), []);
});

/** Kills the holder of the control lease, unless another control process is down already. */
async function loseHolderOnce({ fleet }: FleetWorld): Promise<void> {
    const isAnyDown = fleet.controlNumbers().some(number => !fleet.controls[number]);
    if (!isAnyDown) await fleet.run(fleet.killControl(fleet.holder()));
}

/** Sends a short chat, or an order under a new idempotency key, to a random entry. */
function sendRandomRequest(world: FleetWorld, random: SeededRandom): Promise<CallerResult> {
    const entry = random.integer(1, world.fleet.layout.entries + 1);
    if (random.next() < 0.7) return world.sendChat("hotel", random.integer(1, 12), entry).result;
    const name = `order ${world.orders.length}`;
    return world.sendOrder("hotel", name, name, entry).result;
}
