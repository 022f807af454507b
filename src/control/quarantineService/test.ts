import assert from "node:assert/strict";
import { afterEach, describe, it } from "node:test";
import { RoutedFleet } from "../../faultInjection/index.js";
import { RequestFingerprint } from "../../ids/index.js";
import { QuarantinedRequest } from "../../quarantine/index.js";
import { makeDocument, makeRoute } from "../../routing/index.js";

const CRASHING = "a prompt that no engine survives";
const UPSTREAM = { slots: 8, workMs: 20, crashesOn: CRASHING, restartMs: 2_000 };

describe("QuarantineService", () => {
    const fleet = { running: undefined as RoutedFleet | undefined };

    /** Starts a fleet in which one request is quarantined. */
    async function startFleet(): Promise<RoutedFleet> {
        const upstreams = Array.from({ length: 5 }, () => UPSTREAM);
        const running = new RoutedFleet({ entries: 2, upstreams, queueHosts: true });
        fleet.running = running;
        await running.start(makeDocument({ routes: [makeRoute({ keyless: true })] }));
        for (let time = 0; time < 4; time++) {
            await running.call({ entry: time % 2, path: "/orders/1", body: CRASHING });
            await running.pass(200);
        }
        return running;
    }

    async function read(running: RoutedFleet, through: number): Promise<readonly QuarantinedRequest[] | undefined> {
        const answer = await running.run(running.controls[through]!.routing!.quarantine.read());
        return answer.toMaybe().extract();
    }

    function lift(running: RoutedFleet, fingerprint: RequestFingerprint, through: number) {
        return running.run(running.controls[through]!.routing!.quarantine.lift(fingerprint));
    }

    afterEach(() => fleet.running?.close());

    it("lists the same at each control process, with the runs that crashed", async () => {
        const running = await startFleet();
        const lists = [];
        for (const through of [0, 1, 2, 3, 4]) lists.push(await read(running, through));
        assert.equal(new Set(lists.map(list => JSON.stringify(list))).size, 1);
        const [{ crashed, rounds }] = lists[0]!;
        assert.deepEqual([crashed.length, rounds], [3, 1]);
    });

    it("lifts through any control process, and again when it is asked again", async () => {
        const running = await startFleet();
        const [{ fingerprint }] = (await read(running, 0))!;
        const states = [];
        for (const through of [1, 3]) states.push((await lift(running, fingerprint, through)).unsafeCoerce().state);
        assert.deepEqual(states, ["changed", "unchanged"]);
        assert.deepEqual(await read(running, 4), []);
    });

    it("fails without a reachable majority", async () => {
        const running = await startFleet();
        const [{ fingerprint }] = (await read(running, 0))!;
        for (const number of [1, 2, 3]) await running.run(running.killControl(number));
        await running.pass(3_000);
        assert.equal(await read(running, 0), undefined);
        assert.equal((await lift(running, fingerprint, 0)).isLeft(), true);
    });
});
