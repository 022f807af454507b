import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { RejectionGuard } from "./index.js";

describe("RejectionGuard", () => {
    function makeGuard(limit: number | undefined, outstanding = 0, share = 1): RejectionGuard {
        const guard = new RejectionGuard(() => share);
        guard.update(limit, 0, outstanding);
        return guard;
    }

    /** Sends as many requests as the guard allows at a time; returns how many there are then. */
    function sendAllowed(guard: RejectionGuard, now: number, outstanding: number): number {
        let sent = outstanding;
        while (guard.available(now, sent) > 0 && sent < 1_000) guard.recordSent(now, ++sent);
        return sent;
    }

    it("allows any number without a limit", () => {
        assert.equal(makeGuard(undefined).available(0, 500), Number.POSITIVE_INFINITY);
    });

    it("allows what the upstream has taken before, and one more", () => {
        const guard = makeGuard(100, 6);
        assert.equal(guard.available(0, 4), 2 + 1);
        assert.equal(sendAllowed(guard, 0, 4), 7);
    });

    it("allows no more at once than may be turned away", () => {
        const guard = makeGuard(10, 12);
        assert.equal(sendAllowed(guard, 0, 0), 4);
        assert.equal(sendAllowed(guard, 30, 4), 8);
    });

    it("learns that there is more room from requests that are not turned away", () => {
        const guard = makeGuard(100, 6);
        assert.equal(sendAllowed(guard, 0, 6), 7);
        assert.equal(sendAllowed(guard, 25, 7), 7);
        assert.equal(sendAllowed(guard, 30, 7), 8);
    });

    it("learns that there is less room, and sends nothing more within the second after too many rejections", () => {
        const guard = makeGuard(10, 12);
        assert.equal(sendAllowed(guard, 0, 8), 12);
        for (let rejected = 0; rejected < 4; rejected++) guard.recordRejection(10, 8);
        assert.equal(guard.available(20, 4), 0);
        assert.equal(guard.available(1_011, 4), 4);
        assert.equal(guard.available(1_011, 8), 1);
    });

    it("keeps the rejections of any second below the limit, whatever the room", () => {
        for (const room of [1, 3, 8, 20]) {
            const guard = makeGuard(10, 12);
            const rejectedAt: number[] = [];
            for (let now = 0; now < 20_000; now += 25) {
                // Each request ends within the step: the upstream is under the highest load that the guard allows.
                const sent = sendAllowed(guard, now, 0);
                for (let rejected = room; rejected < sent; rejected++) {
                    guard.recordRejection(now + 2, room);
                    rejectedAt.push(now + 2);
                }
            }
            const worst = Math.max(...rejectedAt.map(at => rejectedAt.filter(t => t >= at && t < at + 1_000).length));
            assert.ok(worst <= 10, `${worst} with room for ${room}`);
        }
    });

    it("allows no more than the upstream has taken before with a limit of 0, and nothing for a second after a rejection", () => {
        const guard = makeGuard(0, 2);
        assert.equal(guard.available(0, 0), 1);
        assert.equal(guard.available(0, 2), 0);
        guard.recordRejection(10, 0);
        assert.equal(guard.available(20, 0), 0);
        assert.equal(guard.available(1_011, 0), 1);
    });

    it("allows a host that has a small share as much", () => {
        assert.equal(sendAllowed(makeGuard(10, 5, 0.5), 0, 0), 2);
        assert.equal(sendAllowed(makeGuard(10, 5, 0.01), 0, 0), 1);
    });

    it("ends with an answer without a limit, and not with an older one", () => {
        const guard = new RejectionGuard(() => 1);
        guard.update(10, 100, 1);
        guard.update(undefined, 50, 1);
        assert.equal(guard.perSecond, 10);
        guard.update(undefined, 150, 1);
        assert.equal(guard.perSecond, undefined);
    });
});
