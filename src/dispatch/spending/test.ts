import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { HostId, Incarnation, WindowStart, WorkspaceId } from "../../ids/index.js";
import { VirtualClock } from "../../ports/index.js";
import { SpendingAllotments } from "./index.js";

const W1 = "w1" as WorkspaceId;

/** The control log's side: a limit shared by all hosts, reached after a round trip. */
class Log {
    readonly clock = new VirtualClock();
    readonly sequences = new Set<string>();
    asked = 0;
    granted = 0;
    isDown = false;

    constructor(private readonly limit: number) {}

    host(name: string): SpendingAllotments {
        return new SpendingAllotments({
            clock: this.clock,
            host: name as HostId,
            incarnation: "1" as Incarnation,
            windowMs: 60_000,
            reserve: async command => {
                this.asked++;
                this.sequences.add(`${command.host} ${command.sequence}`);
                await this.clock.sleep(5);
                if (this.isDown) return undefined;
                const granted = Math.min(command.tokens, this.limit - this.granted);
                this.granted += granted;
                return { granted };
            },
        });
    }
}

describe("SpendingAllotments", () => {
    it("never lets the hosts together pass the limit", async () => {
        const log = new Log(10_000);
        const hosts = [log.host("a"), log.host("b"), log.host("c")];
        const takes = Array.from({ length: 60 }, (_, index) => hosts[index % 3].take(W1, 300));
        await log.clock.advance(1_000);
        const taken = (await Promise.all(takes)).filter(result => result.isRight()).length;
        assert.ok(taken * 300 <= 10_000);
        assert.ok(taken >= 30, `${taken} of 33`);
        assert.equal(log.sequences.size, log.asked);
    });

    it("asks ahead, so that a steady stream does not wait", async () => {
        const log = new Log(1_000_000);
        const host = log.host("a");
        let waits = 0;
        for (let index = 0; index < 200; index++) {
            let isSettled = false;
            const take = host.take(W1, 500).then(() => {
                isSettled = true;
            });
            await log.clock.advance(0);
            if (!isSettled) waits++;
            await log.clock.advance(50);
            await take;
        }
        assert.ok(waits <= 4, `${waits} waits`);
        assert.ok(log.asked < 60, `${log.asked} reservations`);
    });

    it("says over-limit at the limit and unavailable without an answer", async () => {
        const log = new Log(100);
        const host = log.host("a");
        assert.equal((await log.clock.runUntil(host.take(W1, 200), 100)).extract(), "over-limit");
        log.isDown = true;
        assert.equal((await log.clock.runUntil(log.host("b").take(W1, 200), 100)).extract(), "unavailable");
    });

    it("gives back what was not used, in its own window only", async () => {
        const log = new Log(2_000);
        const host = log.host("a");
        const window = (await log.clock.runUntil(host.take(W1, 2_000), 100)).extract() as WindowStart;
        host.giveBack(W1, (window - 60_000) as WindowStart, 500);
        assert.equal((await log.clock.runUntil(host.take(W1, 500), 100)).extract(), "over-limit");
        host.giveBack(W1, window, 500);
        assert.ok((await log.clock.runUntil(host.take(W1, 500), 100)).isRight());
    });
});
