import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { HostId, Incarnation, WindowStart, WorkspaceId } from "../../ids/index.js";
import { VirtualClock } from "../../ports/index.js";
import { SpendingAllotments } from "./index.js";

const W1 = "w1" as WorkspaceId;

/** A control log that grants reservations of all hosts up to one limit, after a round trip. */
class FakeControlLog {
    readonly clock = new VirtualClock();
    readonly sequences = new Set<string>();
    reserveCount = 0;
    granted = 0;
    isUnavailable = false;

    constructor(private readonly limit: number) {}

    createAllotments(name: string): SpendingAllotments {
        return new SpendingAllotments({
            clock: this.clock,
            host: name as HostId,
            incarnation: "1" as Incarnation,
            windowMs: 60_000,
            reserve: async command => {
                this.reserveCount++;
                this.sequences.add(`${command.host} ${command.sequence}`);
                await this.clock.sleep(5);
                if (this.isUnavailable) return undefined;
                const granted = Math.min(command.tokens, this.limit - this.granted);
                this.granted += granted;
                return { granted };
            },
        });
    }
}

describe("SpendingAllotments", () => {
    it("never lets the hosts together pass the limit", async () => {
        const log = new FakeControlLog(10_000);
        const hosts = [log.createAllotments("a"), log.createAllotments("b"), log.createAllotments("c")];
        const results = Array.from({ length: 60 }, (_, index) => hosts[index % 3].take(W1, 300));
        await log.clock.advance(1_000);
        const taken = (await Promise.all(results)).filter(result => result.isRight()).length;
        assert.ok(taken * 300 <= 10_000);
        assert.ok(taken >= 30, `${taken} of 33`);
        assert.equal(log.sequences.size, log.reserveCount);
    });

    it("reserves ahead, so that a steady load does not wait", async () => {
        const log = new FakeControlLog(1_000_000);
        const host = log.createAllotments("a");
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
        assert.ok(log.reserveCount < 60, `${log.reserveCount} reservations`);
    });

    it("refuses with over-limit at the limit and with unavailable without an answer", async () => {
        const log = new FakeControlLog(100);
        const host = log.createAllotments("a");
        assert.equal((await log.clock.runUntil(host.take(W1, 200), 100)).extract(), "over-limit");
        log.isUnavailable = true;
        assert.equal((await log.clock.runUntil(log.createAllotments("b").take(W1, 200), 100)).extract(), "unavailable");
    });

    it("returns unused tokens, within their own window only", async () => {
        const log = new FakeControlLog(2_000);
        const host = log.createAllotments("a");
        const window = (await log.clock.runUntil(host.take(W1, 2_000), 100)).extract() as WindowStart;
        host.giveBack(W1, (window - 60_000) as WindowStart, 500);
        assert.equal((await log.clock.runUntil(host.take(W1, 500), 100)).extract(), "over-limit");
        host.giveBack(W1, window, 500);
        assert.ok((await log.clock.runUntil(host.take(W1, 500), 100)).isRight());
    });
});
