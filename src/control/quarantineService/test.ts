import assert from "node:assert/strict";
import { afterEach, describe, it } from "node:test";
import { RoutedFleet } from "../../faultInjection/index.js";
import { RequestFingerprint } from "../../ids/index.js";
import { QuarantinedRequest } from "../../quarantine/index.js";
import { makeDocument, makeRoute } from "../../routing/index.js";

const CRASHING = "a prompt that no engine survives";
const UPSTREAM = { slots: 8, workMs: 20, crashesOn: CRASHING, restartMs: 2_000 };

describe("QuarantineService", () => {
    const current = { fleet: undefined as RoutedFleet | undefined };

    /** Starts a fleet in which one request is quarantined. */
    async function startFleet(): Promise<RoutedFleet> {
        const upstreams = Array.from({ length: 5 }, () => UPSTREAM);
        const fleet = new RoutedFleet({ entries: 2, upstreams, queueHosts: true });
        current.fleet = fleet;
        await fleet.start(makeDocument({ routes: [makeRoute({ keyless: true })] }));
        for (let time = 0; time < 4; time++) {
            await fleet.call({ entry: time % 2, path: "/orders/1", body: CRASHING });
            await fleet.advance(200);
        }
        return fleet;
    }

    async function read(fleet: RoutedFleet, control: number): Promise<readonly QuarantinedRequest[] | undefined> {
        const answer = await fleet.run(fleet.controls[control]!.routing!.quarantine.read());
        return answer.toMaybe().extract();
    }

    function lift(fleet: RoutedFleet, fingerprint: RequestFingerprint, control: number) {
        return fleet.run(fleet.controls[control]!.routing!.quarantine.lift(fingerprint));
    }

    afterEach(() => current.fleet?.close());

    it("lists the same at each control process, with the runs that crashed", async () => {
        const fleet = await startFleet();
        const lists = [];
        for (const control of [0, 1, 2, 3, 4]) lists.push(await read(fleet, control));
        assert.equal(new Set(lists.map(list => JSON.stringify(list))).size, 1);
        const [{ crashed, rounds }] = lists[0]!;
        assert.deepEqual([crashed.length, rounds], [3, 1]);
    });

    it("lifts through any control process, and again when it is asked again", async () => {
        const fleet = await startFleet();
        const [{ fingerprint }] = (await read(fleet, 0))!;
        const states = [];
        for (const control of [1, 3]) states.push((await lift(fleet, fingerprint, control)).unsafeCoerce().state);
        assert.deepEqual(states, ["changed", "unchanged"]);
        assert.deepEqual(await read(fleet, 4), []);
    });

    it("fails without a reachable majority", async () => {
        const fleet = await startFleet();
        const [{ fingerprint }] = (await read(fleet, 0))!;
        for (const number of [1, 2, 3]) await fleet.run(fleet.killControl(number));
        await fleet.advance(3_000);
        assert.equal(await read(fleet, 0), undefined);
        assert.equal((await lift(fleet, fingerprint, 0)).isLeft(), true);
    });
});
